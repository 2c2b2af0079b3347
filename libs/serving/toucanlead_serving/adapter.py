"""Interfaces that a platform implements for the serving processes.

An adapter translates names, formats and calls; it makes no decisions.
"""

import abc
from collections.abc import Callable

from attrs import frozen

from toucanlead_core.connection_budget import ConnectionBudget
from toucanlead_core.process_settings import ProcessSettings
from toucanlead_core.timers import Timers
from toucanlead_kv.kv import PollingStore
from toucanlead_kv.watch import ChangeSink
from toucanlead_peer.serving_interfaces import RelayHandler, RelayTransport
from toucanlead_replicas.registry import Registry
from toucanlead_replicas.replica_client import ReplicaClient

from .forwarder import Forwarder
from .planned_stop import PlannedStop
from .routes import CurrentRoutes
from .team_door import TeamDoor


@frozen
class WatchedPrefix:
    """A key prefix to watch and the sink of its changes; `name` identifies it in metrics."""

    name: str
    prefix: str
    sink: ChangeSink


@frozen
class RetirementKeys:
    """Keys and values for an operator's order to empty a disk.

    `order_key` is the key of the order, under `order_prefix`, and `status_key` that of the
    status report, whose value is `running_document` or `done_document`.
    """

    order_prefix: str
    order_key: str
    status_key: str
    running_document: bytes
    done_document: bytes


class CallerServer(abc.ABC):
    """Server that accepts callers' requests in one protocol and passes them to the forwarder."""

    @abc.abstractmethod
    async def start(self) -> None:
        """Open the listening sockets."""

    @abc.abstractmethod
    async def stop_accepting(self) -> None:
        """Close the listening socket for callers; connections stay open."""

    @abc.abstractmethod
    def close_unused(self) -> int:
        """Close the connections that the planned stop no longer needs; return how many are left."""

    @abc.abstractmethod
    def refuse_unread(self) -> None:
        """Refuse the requests whose bodies are still coming."""

    @abc.abstractmethod
    async def stop(self) -> None:
        """Close all sockets and connections."""


class Adapter(abc.ABC):
    """Factory for the platform-specific parts of a process."""

    @abc.abstractmethod
    def store(
        self, relay: RelayTransport, peers: Callable[[], list[str]], max_received: int
    ) -> PollingStore:
        """Return the client of the key-value service.

        All answers that are being received have up to `max_received` bytes. While the service
        rejects this process, calls go through `relay` to one of `peers()`, given as host:port.
        """

    @abc.abstractmethod
    def relay_handler(self) -> RelayHandler:
        """Return the handler that makes calls to the key-value service for peers."""

    @abc.abstractmethod
    def watched_prefixes(
        self, routes: CurrentRoutes, registry: Registry, now: Callable[[], float]
    ) -> list[WatchedPrefix]:
        """Return the prefixes that an entry watches, so that routes and registry are current.

        An archive watches the same ones, to pass changes on to entries.
        """

    @abc.abstractmethod
    def published_prefixes(self) -> list[str]:
        """Return the prefixes of `watched_prefixes`."""

    @abc.abstractmethod
    def replica_client(self, timers: Timers, region: str) -> ReplicaClient:
        """Return the client that sends requests to replicas."""

    @abc.abstractmethod
    def caller_server(
        self,
        settings: ProcessSettings,
        forwarder: Forwarder,
        timers: Timers,
        is_ready: Callable[[], bool],
        stop: PlannedStop,
        door: TeamDoor,
        budget: ConnectionBudget,
    ) -> CallerServer:
        """Return the server that accepts callers' requests.

        `stop` says when it is to end, `door` whom it admits; `budget` bounds what it holds for
        callers.
        """

    def learns_pace(self, settings: ProcessSettings) -> bool:
        """Return whether the pace of replicas is to be learned and pooled by the entries."""
        return False

    @abc.abstractmethod
    def retirement_keys(self, vm: str) -> RetirementKeys:
        """Return the keys and values for orders to empty a VM's disk."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close the connections that this adapter opened."""
