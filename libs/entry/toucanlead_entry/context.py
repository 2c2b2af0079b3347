"""Context: everything outside that the parts of one entry share."""

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
from toucanlead_kv.kv import KeyValueStore
from toucanlead_kv.settle import SettledWriter
from toucanlead_peer.transport import PeerTransport
from toucanlead_policy.beliefs import CacheBeliefs
from toucanlead_policy.fleet import Fleet
from toucanlead_policy.preset import Preset
from toucanlead_policy.routing import Router

from .metrics import Metrics

log = structlog.get_logger()


class StepObserver(abc.ABC):
    """Told of each step that a call reaches; tests bring about faults here."""

    @abc.abstractmethod
    async def reached(self, step: Step, program_id: str, seq: int) -> None:
        """Note a step."""


class NoObserver(StepObserver):
    """Does nothing."""

    async def reached(self, step: Step, program_id: str, seq: int) -> None:
        """Do nothing."""


@define
class ToolSpec:
    """A tool as the configuration describes it; the price is in tokens."""

    name: str
    service: str
    repeatable: bool
    price: int = 1
    deadline_s: float = 30.0


@define
class Identity:
    """Who this entry is."""

    entry: str
    peer_address: str
    zone: str
    region: str
    slots: int = 64


@define
class Backends:
    """Clients by the name of the replica or service."""

    engines: dict[str, ModelEngine] = field(factory=dict)
    services: dict[str, ToolService] = field(factory=dict)
    tools: dict[str, ToolSpec] = field(factory=dict)


@define
class Pacing:
    """Periods and bounds of the entry's own upkeep, in seconds."""

    lease_ttl_s: int = 3
    reconcile_s: float = 0.5
    commit_floor_s: float = 0.005
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
    """Dependencies, passed in so that tests can replace each."""

    identity: Identity
    store: KeyValueStore
    peers: PeerTransport
    backends: Backends
    timers: Timers
    rng: random.Random
    router: Router
    beliefs: CacheBeliefs
    fleet: Fleet
    preset: Preset = field(factory=Preset)
    pacing: Pacing = field(factory=Pacing)
    metrics: Metrics = field(factory=Metrics)
    observer: StepObserver = field(factory=NoObserver)
    tasks: TaskSet = field(factory=TaskSet)

    @property
    def writer(self) -> SettledWriter:
        """Return a writer that settles lost answers."""
        return SettledWriter(self.store, self.timers)

    def nonce(self) -> str:
        """Return a fresh random id."""
        return random_id(self.rng)

    async def reached(self, step: Step, program_id: str, seq: int) -> None:
        """Count a step and tell the observer."""
        self.metrics.steps.labels(step.value).inc()
        await self.observer.reached(step, program_id, seq)
