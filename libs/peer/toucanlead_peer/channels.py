"""A pool of grpclib channels to peers, one per address."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from attrs import frozen
from google.protobuf.message import DecodeError
from grpclib.client import Channel
from grpclib.config import Configuration
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.protocol import H2Protocol

from toucanlead_core.errors import NotSent, OutcomeUnknown
from toucanlead_core.received_bytes import ReceivedBytes
from toucanlead_core.sockets import set_dead_peer_timeouts, split_address

from .message_limits import MAX_RECEIVED_BYTES, LimitedChannel

T = TypeVar('T')

CONNECT_TIMEOUT_S = 0.4  # about ten round trips between regions
DETACHED_CLOSE_DELAY_S = 3.0  # other calls on a channel with a timed-out call may still succeed
HTTP2_KEEPALIVE_S = 10.0
HTTP2_KEEPALIVE_TIMEOUT_S = 3.0
RPC_ERRORS = (
    GRPCError,
    StreamTerminatedError,
    DecodeError,
    ConnectionError,
    OSError,
    asyncio.TimeoutError,
)


@frozen
class ReceiveWindows:
    """Bytes that a peer may send before this process reads them, on a channel and a stream."""

    channel_bytes: int = 4_194_304
    stream_bytes: int = 4_194_304


class ChannelPool:
    """Opens channels by host:port, and replaces those that fail."""

    def __init__(
        self,
        resolve: Callable[[str], str] = str,
        windows: ReceiveWindows | None = None,
        received: ReceivedBytes | None = None,
    ) -> None:
        """Use `resolve` to map each address to the host:port to connect to.

        `received` counts what all pools and servers of a process are receiving.
        """
        self._resolve = resolve
        self._received = received or ReceivedBytes(MAX_RECEIVED_BYTES)
        self._channels: dict[str, LimitedChannel] = {}
        self._protocols_with_timeouts: dict[str, H2Protocol] = {}
        windows = windows or ReceiveWindows()
        self._config = Configuration(
            _keepalive_time=HTTP2_KEEPALIVE_S,
            _keepalive_timeout=HTTP2_KEEPALIVE_TIMEOUT_S,
            http2_connection_window_size=windows.channel_bytes,
            http2_stream_window_size=windows.stream_bytes,
        )

    async def open(self, address: str, timeout_s: float = CONNECT_TIMEOUT_S) -> Channel:
        """Return a connected channel; raise NotSent if the peer cannot be reached."""
        channel = self._channels.get(address)
        if channel is None:
            try:
                host, port = split_address(self._resolve(address))
            except ValueError as exc:
                raise NotSent(str(exc), step='connect', peer=address) from exc
            channel = LimitedChannel(self._received, host, port, self._config)
            self._channels[address] = channel
        if channel.open_protocol is not None:  # without the task that a time limit costs
            return channel
        try:
            async with asyncio.timeout(timeout_s):  # wait_for may swallow a cancellation
                protocol = await channel.__connect__()
        except (OSError, asyncio.TimeoutError) as exc:
            self.drop(address, channel)
            raise NotSent(repr(exc), step='connect', peer=address) from exc
        self._set_socket_options(address, protocol)
        return channel

    async def call(
        self,
        address: str,
        step: str,
        rpc: Callable[[Channel], Awaitable[T]],
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> T:
        """Make one call on the channel to an address.

        Raises NotSent if the connection fails, and OutcomeUnknown if the call fails later.
        """
        channel = await self.open(address, connect_timeout_s)
        try:
            return await rpc(channel)
        except asyncio.TimeoutError as exc:
            self._detach(address, channel)
            raise OutcomeUnknown('no response in time', step=step, peer=address) from exc
        except RPC_ERRORS as exc:
            self.drop(address, channel)
            raise OutcomeUnknown(repr(exc), step=step, peer=address) from exc

    def drop(self, address: str, failed: Channel | None = None) -> None:
        """Close the channel to an address; with `failed`, only if it is still that channel."""
        channel = self._channels.get(address)
        if channel is not None and failed in (None, channel):
            del self._channels[address]
            self._protocols_with_timeouts.pop(address, None)
            channel.close()

    def retire(self, address: str, channel: Channel) -> None:
        """Use a new channel for later calls; the caller closes this one once it is unused."""
        if self.holds(address, channel):
            del self._channels[address]
            self._protocols_with_timeouts.pop(address, None)

    def holds(self, address: str, channel: Channel) -> bool:
        """Return whether later calls to an address use this channel."""
        return self._channels.get(address) is channel

    def close(self) -> None:
        """Close all channels."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()

    def _detach(self, address: str, channel: Channel) -> None:
        """Use a new channel for later calls; close this one after a delay."""
        if self.holds(address, channel):
            self.retire(address, channel)
            asyncio.get_running_loop().call_later(DETACHED_CLOSE_DELAY_S, channel.close)

    def _set_socket_options(self, address: str, protocol: H2Protocol) -> None:
        if self._protocols_with_timeouts.get(address) is protocol:
            return
        self._protocols_with_timeouts[address] = protocol
        sock = protocol.connection._transport.get_extra_info('socket')
        if sock is not None:
            set_dead_peer_timeouts(sock)
