"""gRPC connections on which the messages that arrive are bounded and checked."""

from grpclib.client import Channel
from grpclib.config import Configuration
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.protocol import H2Protocol, Stream
from grpclib.server import Server

from toucanlead_core.received_bytes import ALWAYS_HELD_BYTES, ReceivedBytes, TooManyBytes

MAX_MESSAGE_BYTES = 16_777_216  # a chain of turns, and one more turn of the longest body and answer
MAX_RECEIVED_BYTES = 25_165_824  # of all messages that a process is receiving from peers


class _LimitedStream(Stream):
    def __init__(self, received: ReceivedBytes, *args, **options) -> None:
        super().__init__(*args, **options)
        self._received = received
        self._length_is_next = True

    async def recv_data(self, size: int) -> bytes:
        """Return `size` bytes, or none at the stream's end.

        grpclib reads the flag and length of each message, then the message itself. Raises
        GRPCError if a message is cut off, too long, or compressed.
        """
        is_length, self._length_is_next = self._length_is_next, not self._length_is_next
        try:
            data = await self._recv_bounded(size)
        except AssertionError as exc:  # grpclib's sign of a stream that ends early
            raise GRPCError(Status.DATA_LOSS, 'the message is cut off') from exc
        if len(data) < size and not (is_length and not data):
            raise GRPCError(Status.DATA_LOSS, 'the message is cut off')
        if is_length and data[:1] not in (b'', b'\x00'):
            raise GRPCError(Status.INTERNAL, 'the message is compressed')
        return data

    async def _recv_bounded(self, size: int) -> bytes:
        if size <= ALWAYS_HELD_BYTES:
            return await super().recv_data(size)
        if size > MAX_MESSAGE_BYTES:
            raise GRPCError(
                Status.RESOURCE_EXHAUSTED, f'message of {size} bytes exceeds {MAX_MESSAGE_BYTES}'
            )
        try:
            return await self._recv_counted(size)
        except TooManyBytes as exc:
            raise GRPCError(Status.RESOURCE_EXHAUSTED, str(exc)) from exc

    async def _recv_counted(self, size: int) -> bytes:
        data = bytearray()
        async with self._received.hold() as held:
            while len(data) < size:
                piece = await super().recv_data(min(size - len(data), ALWAYS_HELD_BYTES))
                if not piece:
                    break
                held.add(len(piece))
                data += piece
            return bytes(data)


class _LimitedProtocol(H2Protocol):
    def __init__(self, received: ReceivedBytes, unlimited: H2Protocol) -> None:
        super().__init__(unlimited.handler, unlimited.config, unlimited.h2_config)
        self._received = received

    def connection_made(self, transport) -> None:
        super().connection_made(transport)
        # grpclib has no option for the class of its streams
        self.connection.create_stream = self._create_stream

    def _create_stream(self, *, stream_id=None, wrapper=None) -> Stream:
        conn = self.connection
        return _LimitedStream(
            self._received,
            conn,
            conn._connection,
            conn._transport,
            stream_id=stream_id,
            wrapper=wrapper,
        )


class LimitedChannel(Channel):
    """A channel to a peer."""

    def __init__(
        self, received: ReceivedBytes, host: str, port: int, config: Configuration
    ) -> None:
        """`received` counts the messages of all channels and servers of a process."""
        super().__init__(host, port, config=config)
        self._received = received

    @property
    def open_protocol(self) -> H2Protocol | None:
        """Return the protocol of the connection, None while there is none."""
        return self._protocol if self._connected else None

    def _protocol_factory(self) -> H2Protocol:
        return _LimitedProtocol(self._received, super()._protocol_factory())


class LimitedServer(Server):
    """A server for calls of peers."""

    def __init__(self, received: ReceivedBytes, servicers: list) -> None:
        """`received` is as for LimitedChannel."""
        super().__init__(servicers)
        self._received = received

    def _protocol_factory(self) -> H2Protocol:
        return _LimitedProtocol(self._received, super()._protocol_factory())
