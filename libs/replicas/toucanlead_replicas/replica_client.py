"""Interface for sending requests to replicas, independent of the protocol."""

import abc
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager

from toucanlead_core.errors import PeerError

from .registry import Replica
from .request import ReplicaCall, ReplicaResponseHead


class NotExecuted(PeerError):
    """Raised when a replica reports that it did not run the request.

    `wrong_replica` means that another replica answered at the address; `rate_limit_per_s`
    and `leaving` are as in ReplicaResponse.
    """

    def __init__(
        self,
        detail: str,
        *,
        peer: str,
        wrong_replica: bool = False,
        rate_limit_per_s: float | None = None,
        leaving: bool = False,
    ) -> None:
        super().__init__(detail, step='send', peer=peer)
        self.leaving = leaving
        self.wrong_replica = wrong_replica
        self.rate_limit_per_s = rate_limit_per_s


class ReplicaResponse(abc.ABC):
    """A response whose head has arrived, which proves that the replica ran the request."""

    @property
    @abc.abstractmethod
    def head(self) -> ReplicaResponseHead:
        """Return status and end-to-end headers."""

    @property
    @abc.abstractmethod
    def rate_limit_per_s(self) -> float | None:
        """Return the requests a second that the replica accepts from all entries together.

        None means that it names no limit.
        """

    @property
    @abc.abstractmethod
    def leaving(self) -> bool:
        """Return whether the replica says that it will end, and is to get nothing new."""

    @abc.abstractmethod
    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives; raise OutcomeUnknown if it ends early."""


class ReplicaClient(abc.ABC):
    """Sends requests to replicas."""

    @abc.abstractmethod
    def send(
        self, replica: Replica, call: ReplicaCall
    ) -> AbstractAsyncContextManager[ReplicaResponse]:
        """Send a request and yield the response.

        Raises NotSent when nothing was sent, NotExecuted when the replica reports that
        it did not run the request, and OutcomeUnknown when it may have run. Exiting the
        context before the whole body is read cancels the request at the replica.
        """

    @abc.abstractmethod
    def open_connections(self, replica: Replica) -> int:
        """Return the number of open connections to a replica."""

    @abc.abstractmethod
    def idle_connections(self, replica: Replica) -> int:
        """Return the number of open connections to a replica that carry no request."""

    @abc.abstractmethod
    def opened_count(self, replica: Replica) -> int:
        """Return how many connections to a replica have been opened so far."""

    @abc.abstractmethod
    async def open_connection(self, replica: Replica) -> None:
        """Open a connection to a replica, to be used later; raise NotSent if that fails."""

    @abc.abstractmethod
    async def is_down(self, replica: Replica) -> bool:
        """Return whether a replica has ended: no connection is open, and none is accepted.

        It is not down if it does not answer at all.
        """

    @abc.abstractmethod
    def keep_only(self, replicas: list[Replica]) -> None:
        """Close connections to replicas not in the list, once they are idle."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close all connections."""
