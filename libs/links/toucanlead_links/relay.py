"""Interface for sending requests to replicas through a peer, independent of the transport."""

import abc
from contextlib import AbstractAsyncContextManager
from enum import Enum

from toucanlead_core.errors import NotSent
from toucanlead_replicas.registry import Replica
from toucanlead_replicas.replica_client import ReplicaResponse
from toucanlead_replicas.request import ReplicaCall


class RelayRefusal(str, Enum):
    """Why a peer did not pass a request on."""

    CUT_OFF = 'cut_off'  # it reaches no replica either
    BUSY = 'busy'  # it carries as much for others as it has room for
    STOPPING = 'stopping'
    UNKNOWN_REPLICA = 'unknown_replica'  # not registered there, another run, or leaving
    REPLICA_UNREACHED = 'replica_unreached'  # it reaches others, but not this replica
    NO_ANSWER = 'no_answer'  # it did not say in time that it is ready
    UNREACHABLE = 'unreachable'  # there is no connection to the peer


class NotRelayed(NotSent):
    """Raised when a peer certainly did not pass a request on to the replica.

    `suggested_peer` is the address of a peer that reached replicas a moment ago, or empty.
    """

    def __init__(
        self, refusal: RelayRefusal, detail: str, *, peer: str, suggested_peer: str = ''
    ) -> None:
        super().__init__(f'{refusal.value}: {detail}', step='relay', peer=peer)
        self.refusal = refusal
        self.suggested_peer = suggested_peer


class ReplicaRelay(abc.ABC):
    """Sends requests to replicas through other entries."""

    @abc.abstractmethod
    def send(
        self, peer: str, replica: Replica, call: ReplicaCall
    ) -> AbstractAsyncContextManager[ReplicaResponse]:
        """Have the entry at a peer address send a call, and yield the replica's response.

        Raises NotRelayed when the peer did not pass the call on, NotExecuted when the replica
        reports that it did not run it, and OutcomeUnknown when it may have run. Exiting the
        context before the whole body is read cancels the request at the replica.
        """
