"""Dependencies and settings that the components of one entry share."""

import abc
import random

import structlog
from attrs import define, field

from toucanlead_backends.engine import ModelEngine
from toucanlead_backends.tool import ToolService
from toucanlead_core.errors import Step
from toucanlead_core.ids import random_id
from toucanlead_core.tasks import TaskSet
from toucanlead_core.timers import Timers
from toucanlead_kv.conditional_writer import ConditionalWriter
from toucanlead_kv.kv import KeyValueStore
from toucanlead_peer.transport import PeerTransport
from toucanlead_policy.cache_estimates import CacheEstimates
from toucanlead_policy.fleet import Fleet
from toucanlead_policy.preset import Preset
from toucanlead_policy.routing import Router

from .metrics import Metrics

log = structlog.get_logger()


class StepObserver(abc.ABC):
    """Interface notified of each step that a call reaches; trials inject faults through it."""

    @abc.abstractmethod
    async def step_reached(self, step: Step, program_id: str, seq: int) -> None:
        """Handle a step that the call `seq` of a program has reached."""


class NoObserver(StepObserver):
    """Observer that ignores all steps."""

    async def step_reached(self, step: Step, program_id: str, seq: int) -> None:
        """Ignore the step."""


@define
class ToolSpec:
    """Configuration of a tool; `price` is in tokens per call."""

    name: str
    service: str
    repeatable: bool
    price: int = 1
    deadline_s: float = 30.0


@define
class Identity:
    """Name, peer address and location of an entry.

    `slots` is the number of shards into which the programs of all entries are divided.
    """

    entry: str
    peer_address: str
    zone: str
    region: str
    slots: int = 64


@define
class Backends:
    """Clients of engines by replica and of tool services by name; tool settings by tool name."""

    engines: dict[str, ModelEngine] = field(factory=dict)
    services: dict[str, ToolService] = field(factory=dict)
    tools: dict[str, ToolSpec] = field(factory=dict)


@define
class Intervals:
    """Intervals, timeouts and write rate of an entry's background work."""

    lease_ttl_s: int = 3
    reconcile_s: float = 0.5
    min_commit_interval_s: float = 0.005
    writes_per_s: float = 300.0
    forward_wait_s: float = 15.0
    load_poll_s: float = 0.5
    sweep_s: float = 3.0
    doubt_poll_s: float = 1.0
    tail_sweep_s: float = 1.0
    seal_stagger_s: float = 0.2
    idle_evict_s: float = 60.0
    ended_retention_s: float = 300.0
    probe_s: float = 1.0
    vm_list_s: float = 1.0
    config_poll_s: float = 1.5
    rescan_s: float = 10.0


@define
class Context:
    """Dependencies of an entry's components, passed in so that tests can replace each."""

    identity: Identity
    store: KeyValueStore
    peers: PeerTransport
    backends: Backends
    timers: Timers
    rng: random.Random
    router: Router
    cache_estimates: CacheEstimates
    fleet: Fleet
    preset: Preset = field(factory=Preset)
    intervals: Intervals = field(factory=Intervals)
    metrics: Metrics = field(factory=Metrics)
    observer: StepObserver = field(factory=NoObserver)
    tasks: TaskSet = field(factory=TaskSet)

    @property
    def writer(self) -> ConditionalWriter:
        """Return a writer that reads a key back when the answer to a write is lost."""
        return ConditionalWriter(self.store, self.timers)

    def nonce(self) -> str:
        """Return a new random id."""
        return random_id(self.rng)

    async def step_reached(self, step: Step, program_id: str, seq: int) -> None:
        """Count a step in the metrics and notify the observer."""
        self.metrics.steps.labels(step.value).inc()
        await self.observer.step_reached(step, program_id, seq)
