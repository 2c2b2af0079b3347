"""Client of replicas: what sending a request may come to, whatever protocol they speak."""

import abc
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager

from toucanlead_core.errors import PeerError

from .registry import Replica
from .request import AnswerHead, ReplicaCall


class NotExecuted(PeerError):
    """The replica states that it did not run the request.

    `wrong_replica` says that another replica answered at the address.
    """

    def __init__(self, detail: str, *, peer: str, wrong_replica: bool = False) -> None:
        """Keep what the answer says of the replica."""
        super().__init__(detail, step='send', peer=peer)
        self.wrong_replica = wrong_replica


class ReplicaAnswer(abc.ABC):
    """An answer that has begun; its request ran."""

    @property
    @abc.abstractmethod
    def head(self) -> AnswerHead:
        """Return status and end-to-end headers."""

    @abc.abstractmethod
    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives; OutcomeUnknown when it is cut off."""


class ReplicaClient(abc.ABC):
    """Sends requests to replicas."""

    @abc.abstractmethod
    def send(
        self, replica: Replica, call: ReplicaCall
    ) -> AbstractAsyncContextManager[ReplicaAnswer]:
        """Send a request and enter with its answer.

        Raises NotSent when nothing went out, NotExecuted when the replica says that
        it did not run the request, OutcomeUnknown when neither is known. Leaving the
        context before the body is read tells the replica to stop.
        """

    @abc.abstractmethod
    def open_connections(self, replica: Replica) -> int:
        """Return how many connections to a replica are open."""

    @abc.abstractmethod
    def keep_only(self, replicas: list[Replica]) -> None:
        """Close connections to replicas that are gone, once they are idle."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close all connections."""
