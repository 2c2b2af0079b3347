"""Messages and interfaces for requests that an entry sends to replicas for another entry.

replica_relay_transport.py implements them. A stream carries one request: RelayOffer, RelayReady,
RelayRequest, RelayHead, any RelayChunks, RelayEnd.
"""

import abc
from collections.abc import AsyncGenerator, Awaitable, Callable
from contextlib import AbstractAsyncContextManager

from attrs import field, frozen

MAX_CHUNK_BYTES = 65_536  # of a RelayChunk

HeaderPairs = tuple[tuple[str, str], ...]


class MalformedRelayMessage(ValueError):
    """Raised for a message that cannot be decoded, or comes out of order."""


@frozen
class RelayOffer:
    """What a peer needs in order to decide whether it takes a request.

    `request` and `replica` are ids, `started_ms` is the start time of the replica's run or 0.
    `same_run` says that no other run of the replica may get the request, `repeatable` that it
    may run more than once.
    """

    request: str
    replica: str
    service: str
    started_ms: int
    body_bytes: int
    remaining_s: float
    same_run: bool = False
    repeatable: bool = False


@frozen
class RelayRequest:
    """The offered request; `resume_after` is the id of the last event that the caller holds."""

    method: str
    target: str
    host: str
    headers: HeaderPairs
    body: bytes
    priority: int | None = None
    resume_after: str | None = None


@frozen
class RelayReady:
    """The peer waits for the request."""


@frozen
class RelayRefused:
    """The peer did not pass the request on, and will not.

    `suggested_peer` is the address of an entry that reached replicas a moment ago, or empty.
    """

    reason: str
    detail: str = ''
    suggested_peer: str = ''


@frozen
class RelayHead:
    """The head of the replica's response; `leaving` says that the replica will end."""

    status: int
    headers: HeaderPairs = field(factory=tuple)
    streamed: bool = False
    rate_limit_per_s: float | None = None
    leaving: bool = False


@frozen
class RelayChunk:
    """Part of the response's body, at most MAX_CHUNK_BYTES."""

    data: bytes


@frozen
class RelayEnd:
    """The response's body is complete."""


@frozen
class RelayNotExecuted:
    """The replica reports that it did not run the request.

    `wrong_replica` says that another replica answered at the address.
    """

    detail: str
    wrong_replica: bool = False
    rate_limit_per_s: float | None = None
    leaving: bool = False


@frozen
class RelayFailed:
    """The replica may have run the request; `step` is the step of the send that failed.

    `replica_ended` says that the replica has ended, which the request may have caused.
    """

    detail: str
    step: str
    replica_ended: bool = False


RelayReply = (
    RelayReady | RelayRefused | RelayHead | RelayChunk | RelayEnd | RelayNotExecuted | RelayFailed
)


class RelayStream(abc.ABC):
    """One request on its way through a peer."""

    @abc.abstractmethod
    async def send(self, message: RelayOffer | RelayRequest) -> None:
        """Send a message; raise OutcomeUnknown if the stream has ended.

        Raises MalformedRelayMessage, and sends nothing, if the message cannot be encoded.
        """

    @abc.abstractmethod
    async def receive(self) -> RelayReply:
        """Return the peer's next message.

        Raises NotSent if the peer does not know the service, and OutcomeUnknown if the stream
        has ended or the message is malformed.
        """

    @abc.abstractmethod
    def avoid_channel(self) -> None:
        """Use another connection for later streams to the peer; those in progress go on."""


class ReplicaRelayTransport(abc.ABC):
    """Opens streams to peers that send requests to replicas."""

    @abc.abstractmethod
    def open(self, address: str, timeout_s: float) -> AbstractAsyncContextManager[RelayStream]:
        """Open a stream to the peer at an address.

        Raises NotSent if the peer cannot be reached. Exiting the context before RelayEnd has
        come cancels the request at the peer.
        """


ReceiveRequest = Callable[[], Awaitable[RelayRequest | None]]


class ReplicaRelayHandler(abc.ABC):
    """Serves the requests that peers relay through this entry."""

    @abc.abstractmethod
    def relay(
        self, offer: RelayOffer, origin: str, receive_request: ReceiveRequest
    ) -> AsyncGenerator[RelayReply, None]:
        """Yield the replies to an offer.

        `origin` is the offering host. `receive_request` returns the request, or None if none
        will come, and raises MalformedRelayMessage. The generator is closed when the origin
        leaves; that cancels the request at the replica.
        """
