"""Adapter: what a platform brings, as this product uses it.

An adapter knows names, formats and calls; it decides nothing.
"""

import abc
from collections.abc import Callable

from attrs import frozen

from toucanlead_core.process_settings import ProcessSettings
from toucanlead_core.timers import Timers
from toucanlead_kv.follow import ChangeSink
from toucanlead_kv.kv import PollingStore
from toucanlead_peer.turns import RelayHandler, RelayTransport

from .forwarder import Forwarder
from .registry import Registry
from .replica_client import ReplicaClient
from .routes import CurrentRoutes


@frozen
class Followed:
    """A prefix to follow, and who takes its changes; metrics call it by `name`."""

    name: str
    prefix: str
    sink: ChangeSink


@frozen
class RetirementKeys:
    """Where an operator's order to empty a disk stands, and where its progress is reported."""

    order: str
    report: str
    running: bytes
    done: bytes


class Door(abc.ABC):
    """Takes callers' requests by one protocol and hands them to the forwarder."""

    @abc.abstractmethod
    async def start(self) -> None:
        """Open the listening sockets."""

    @abc.abstractmethod
    def leave(self) -> None:
        """Ask callers to go elsewhere: not ready, and connections end with their answer."""

    @abc.abstractmethod
    async def close_idle(self) -> None:
        """Take no new connections and close those that wait."""

    @abc.abstractmethod
    async def stop(self) -> None:
        """Close everything."""


class Adapter(abc.ABC):
    """One platform."""

    @abc.abstractmethod
    def store(self, relay: RelayTransport, peers: Callable[[], list[str]]) -> PollingStore:
        """Return the key-value service; peers, by host:port, make calls when it turns us away."""

    @abc.abstractmethod
    def relay(self) -> RelayHandler:
        """Return what makes peers' calls to the key-value service."""

    @abc.abstractmethod
    def followed(
        self, routes: CurrentRoutes, registry: Registry, now: Callable[[], float]
    ) -> list[Followed]:
        """Return what keeps the routes and the registry up to date."""

    @abc.abstractmethod
    def replicas(self, timers: Timers, region: str) -> ReplicaClient:
        """Return the client of replicas."""

    @abc.abstractmethod
    def door(
        self,
        settings: ProcessSettings,
        forwarder: Forwarder,
        timers: Timers,
        is_ready: Callable[[], bool],
    ) -> Door:
        """Return the door for callers."""

    @abc.abstractmethod
    def retirement(self, vm: str) -> RetirementKeys:
        """Return where orders to empty a VM's disk stand."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close what this adapter has opened."""
