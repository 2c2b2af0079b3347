"""An event loop in virtual time with an in-memory network between named hosts.

Real servers and clients run on it unchanged: aiohttp, grpclib, and the product's own
connections. Tests inject faults between hosts: lost packets, resets, silent
connections, killed and paused hosts.
"""

import asyncio
import contextvars
import itertools
import weakref
from collections import deque
from collections.abc import Callable, Coroutine
from enum import Enum
from typing import Any, TypeVar

from attrs import define, field

from toucanlead_core.tasks import cancel_all

from .virtual_loop import VirtualLoop

T = TypeVar('T')

HOST: contextvars.ContextVar[str] = contextvars.ContextVar('host', default='test')
HIGH_WATER_BYTES = 65_536
LOCAL_LATENCY_S = 0.0005
CONNECT_TIMEOUT_S = 60.0  # connecting to an unreachable host hangs until the caller gives up
FIRST_EPHEMERAL_PORT = 40_000


class Partition(Enum):
    """What a partition does to open and to new connections between two hosts."""

    ALL_LOST = 'all lost'
    NEW_REFUSED = 'open live, new refused'
    RESET_NEW_REFUSED = 'open reset, new refused'
    RESET_NEW_LOST = 'open reset, new lost'
    LOST_NEW_REFUSED = 'open lost, new refused'

    @property
    def loses_packets(self) -> bool:
        """Return whether no packet of an open connection gets through."""
        return self is not Partition.NEW_REFUSED

    @property
    def resets_open(self) -> bool:
        """Return whether connections that are open when it begins are reset."""
        return self in (Partition.RESET_NEW_REFUSED, Partition.RESET_NEW_LOST)

    @property
    def refuses_new(self) -> bool:
        """Return whether new connections are refused; otherwise they hang."""
        return self not in (Partition.ALL_LOST, Partition.RESET_NEW_LOST)


def on_host(host: str, work: Coroutine[Any, Any, T]) -> 'asyncio.Task[T]':
    """Start a task on a host; the tasks that it creates run on that host too."""
    context = contextvars.copy_context()
    context.run(HOST.set, host)
    return asyncio.get_running_loop().create_task(work, context=context)


@define(eq=False)
class MemoryServer(asyncio.AbstractServer):
    """A listening socket of the in-memory network."""

    network: 'MemoryNetwork'
    address: tuple[str, int]
    factory: Callable[[], asyncio.BaseProtocol]
    context: contextvars.Context

    @property
    def sockets(self) -> list:
        """Return an empty list: no real sockets exist."""
        return []

    def is_serving(self) -> bool:
        """Return whether the server listens."""
        return self.network.servers.get(self.address) is self

    def close(self) -> None:
        """Stop listening."""
        if self.is_serving():
            del self.network.servers[self.address]

    async def start_serving(self) -> None:
        """Do nothing: the server listens from its creation on."""

    async def serve_forever(self) -> None:
        """Wait until cancelled."""
        await asyncio.Event().wait()

    async def wait_closed(self) -> None:
        """Return at once: closing takes no time."""


class MemoryTransport(asyncio.Transport):
    """One end of an in-memory connection.

    `host` and `port` are this end's address; its protocol runs in `context`.
    """

    def __init__(
        self, network: 'MemoryNetwork', host: str, port: int, context: contextvars.Context
    ) -> None:
        super().__init__({'peername': None, 'sockname': (host, port)})
        self.network = network
        self.host = host
        self.context = context
        self.peer: MemoryTransport | None = None
        self.protocol: asyncio.BaseProtocol | None = None
        self._closing = False
        self._ended = False
        self._reading = True
        self._receive_buffer: list[bytes] = []
        self._eof_arrived = False
        self._unread_bytes = 0
        self._writer_paused = False
        self._last_arrival_at = 0.0
        self._in_flight: deque[tuple[Callable[..., None], tuple]] = deque()

    def write(self, data: bytes) -> None:
        """Send bytes to the other end."""
        if self._closing or not data:
            return
        self._send(self.peer._receive, bytes(data))

    def writelines(self, parts) -> None:
        """Send several byte strings as one."""
        self.write(b''.join(parts))

    def get_write_buffer_size(self) -> int:
        """Return how many bytes the other end has not read, or 0 if at most HIGH_WATER_BYTES."""
        return self.peer._unread_bytes if self.peer._unread_bytes > HIGH_WATER_BYTES else 0

    def set_write_buffer_limits(self, high=None, low=None) -> None:
        """Ignore the limits: HIGH_WATER_BYTES is fixed."""

    def can_write_eof(self) -> bool:
        """Return True: the connection can be half-closed."""
        return True

    def write_eof(self) -> None:
        """Send an end-of-file; the other end can still write."""
        self._send(self.peer._receive_eof)

    def is_closing(self) -> bool:
        """Return whether the transport is closing or closed."""
        return self._closing

    def close(self) -> None:
        """Close; what was written before is still delivered."""
        if self._closing:
            return
        self._closing = True
        self._send(self.peer._receive_eof)
        self._call_soon(self._end_connection, None)

    def abort(self) -> None:
        """Close at once; the other end sees a connection reset."""
        if self._ended:
            return
        self._closing = True
        self._send(self.peer._receive_reset)
        self._call_soon(self._end_connection, None)

    def pause_reading(self) -> None:
        """Stop passing received bytes to the protocol."""
        self._reading = False

    def resume_reading(self) -> None:
        """Pass received bytes on again, buffered ones first."""
        self._reading = True
        self._call_soon(self._deliver)

    def is_reading(self) -> bool:
        """Return whether received bytes are passed to the protocol."""
        return self._reading

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Set the protocol."""
        self.protocol = protocol

    def get_protocol(self) -> asyncio.BaseProtocol:
        """Return the protocol."""
        return self.protocol

    def reset(self, exc: Exception | None = None) -> None:
        """Close this end as if a connection reset had arrived."""
        self._end_connection(exc or ConnectionResetError('connection reset'))

    def _send(self, handler: Callable[..., None], *args: Any) -> None:
        """Schedule an arrival at the other end, in sending order, unless packets are lost."""
        network = self.network
        if self.peer is None or not network.reachable(self, self.peer):
            return
        if network.hold_if_partitioned(self, handler, *args):
            return
        now = network.loop.time()
        arrives_at = max(
            now + network.latency_s(self.host, self.peer.host), self.peer._last_arrival_at
        )
        self.peer._last_arrival_at = arrives_at
        self.peer._in_flight.append((handler, args))
        network.loop.call_at(arrives_at, self.peer._handle_next_arrival, context=self.peer.context)

    def _handle_next_arrival(self) -> None:
        """Handle the arrival that was sent first.

        Timers due at the same time run in no defined order, so that a timer must not
        be bound to one arrival.
        """
        handler, args = self._in_flight.popleft()
        handler(*args)

    def _call_soon(self, callback: Callable[..., None], *args: Any) -> None:
        self.network.loop.call_soon(callback, *args, context=self.context)

    def _receive(self, data: bytes) -> None:
        if self._ended or self.network.hold_if_paused(self.host, self._receive, data):
            return
        self._receive_buffer.append(data)
        self._unread_bytes += len(data)
        if self._unread_bytes > HIGH_WATER_BYTES and not self.peer._writer_paused:
            self.peer._writer_paused = True
            self.peer.protocol.pause_writing()
        self._deliver()

    def _receive_eof(self) -> None:
        if self._ended or self.network.hold_if_paused(self.host, self._receive_eof):
            return
        self._eof_arrived = True
        self._deliver()

    def _receive_reset(self) -> None:
        if not self.network.hold_if_paused(self.host, self._receive_reset):
            self.reset()

    def _deliver(self) -> None:
        while self._receive_buffer and self._reading and not self._ended and not self._closing:
            data = self._receive_buffer.pop(0)
            self._unread_bytes -= len(data)
            if self.peer._writer_paused and self._unread_bytes <= HIGH_WATER_BYTES:
                self.peer._writer_paused = False
                self.peer._call_soon(self.peer.protocol.resume_writing)
            self.protocol.data_received(data)
        if self._eof_arrived and not self._receive_buffer and not self._ended and not self._closing:
            self._eof_arrived = False
            if not self.protocol.eof_received():
                self.close()

    def _end_connection(self, exc: Exception | None) -> None:
        if self._ended:
            return
        self._ended = self._closing = True
        self.network.transports.discard(self)
        self.protocol.connection_lost(exc)


@define(eq=False)
class MemoryNetwork:
    """Servers, connections and faults of the in-memory network.

    `regions` maps hosts to their regions; `region_latency_s` is the one-way latency
    between regions.
    """

    loop: 'MemoryLoop'
    servers: dict[tuple[str, int], MemoryServer] = field(factory=dict)
    transports: set[MemoryTransport] = field(factory=set)
    regions: dict[str, str] = field(factory=dict)
    region_latency_s: float = 0.02
    _ports: itertools.count = field(factory=lambda: itertools.count(FIRST_EPHEMERAL_PORT))
    _cuts: dict[frozenset[str], Partition] = field(factory=dict)
    _unacknowledged: dict[frozenset[str], list] = field(factory=dict)
    _silenced: set[MemoryTransport] = field(factory=set)
    _powered_off: set[str] = field(factory=set)
    _paused: dict[str, list] = field(factory=dict)

    def latency_s(self, src: str, dst: str) -> float:
        """Return the one-way latency between hosts."""
        same = self.regions.get(src) == self.regions.get(dst)
        return LOCAL_LATENCY_S if same else self.region_latency_s

    def reachable(self, src: MemoryTransport, dst: MemoryTransport) -> bool:
        """Return whether packets can get through, now or at the end of a partition."""
        return (
            src not in self._silenced
            and dst not in self._silenced
            and src.host not in self._powered_off
            and dst.host not in self._powered_off
        )

    def cut(self, one: str, other: str, partition: Partition = Partition.ALL_LOST) -> None:
        """Partition two hosts; what is sent meanwhile arrives at the end, as in TCP."""
        pair = frozenset((one, other))
        self._cuts[pair] = partition
        if partition.resets_open:
            for transport in [t for t in self.transports if {t.host, t.peer.host} == pair]:
                transport._call_soon(transport.reset)

    def end_cuts(self) -> None:
        """End all partitions."""
        for pair in list(self._cuts):
            self._end_cut(pair)

    def end_cut(self, one: str, other: str) -> None:
        """End the partition between two hosts, if there is one."""
        self._end_cut(frozenset((one, other)))

    def _end_cut(self, pair: frozenset[str]) -> None:
        self._cuts.pop(pair, None)
        for transport, handler, args in self._unacknowledged.pop(pair, []):
            transport._send(handler, *args)

    def hold_if_partitioned(
        self, src: MemoryTransport, handler: Callable[..., None], *args: Any
    ) -> bool:
        """Hold back an arrival if a partition loses packets; return whether one does."""
        if not self._loses_packets(src.host, src.peer.host):
            return False
        pair = frozenset((src.host, src.peer.host))
        self._unacknowledged.setdefault(pair, []).append((src, handler, args))
        return True

    def _loses_packets(self, one: str, other: str) -> bool:
        """Return whether a partition between two hosts loses the packets of open connections."""
        partition = self._cuts.get(frozenset((one, other)))
        return partition is not None and partition.loses_packets

    def silence_connections(self, host: str) -> None:
        """Drop all packets on the host's open connections for good; new ones work."""
        self._silenced |= {t for t in self.transports if t.host == host}

    def reset_connections(self, host: str) -> None:
        """Reset the open connections of a host at both ends."""
        for transport in [t for t in self.transports if t.host == host]:
            peer = transport.peer
            transport._call_soon(transport.reset)
            peer._call_soon(peer.reset)

    def kill(self, host: str, *, power_loss: bool = False) -> None:
        """End a host's processes.

        Its peers see resets; with `power_loss`, they see nothing.
        """
        for task in self.loop.tasks_of(host):
            task.cancel()
        for address in [a for a in self.servers if a[0] == host]:
            del self.servers[address]
        for transport in [t for t in self.transports if t.host == host]:
            if not power_loss and not self._loses_packets(host, transport.peer.host):
                transport.peer._call_soon(transport.peer.reset)
            transport._ended = transport._closing = True
            self.transports.discard(transport)
        if power_loss:
            self._powered_off.add(host)

    def power_on(self, host: str) -> None:
        """Make a host reachable again after a power loss."""
        self._powered_off.discard(host)

    def pause(self, host: str) -> None:
        """Hold back everything that arrives at a host until `resume`."""
        self._paused[host] = []

    def resume(self, host: str) -> None:
        """Handle what has arrived while the host was paused."""
        for handler, args in self._paused.pop(host, []):
            self.loop.call_soon(handler, *args)

    def hold_if_paused(self, host: str, handler: Callable[..., None], *args: Any) -> bool:
        """Hold back an arrival if the host is paused; return whether it is."""
        held_back = self._paused.get(host)
        if held_back is None:
            return False
        held_back.append((handler, args))
        return True

    async def connect(
        self, factory: Callable[[], asyncio.BaseProtocol], host: str, port: int
    ) -> tuple[MemoryTransport, asyncio.BaseProtocol]:
        """Open a connection from the host of the running task."""
        src = HOST.get()
        await asyncio.sleep(2 * self.latency_s(src, host))
        partition = self._cuts.get(frozenset((src, host)))
        if partition is not None and partition.refuses_new:
            raise ConnectionRefusedError(f'{host}:{port} refused the connection')
        if partition is not None or host in self._powered_off:
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            raise TimeoutError('connection timed out')
        server = self.servers.get((host, port))
        if server is None:
            raise ConnectionRefusedError(f'{host}:{port} refused the connection')
        client_end = MemoryTransport(self, src, next(self._ports), contextvars.copy_context())
        server_end = MemoryTransport(self, host, port, server.context.copy())
        client_end.peer, server_end.peer = server_end, client_end
        for transport in (client_end, server_end):
            transport._extra['peername'] = transport.peer.get_extra_info('sockname')
        protocol = factory()
        client_end.protocol = protocol
        server_end.protocol = server_end.context.run(server.factory)
        self.transports |= {client_end, server_end}
        server_end.context.run(server_end.protocol.connection_made, server_end)
        protocol.connection_made(client_end)
        return client_end, protocol


class MemoryLoop(VirtualLoop):
    """A virtual-time event loop with an in-memory network."""

    def __init__(self) -> None:
        super().__init__()
        self.network = MemoryNetwork(self)
        self._host_tasks: dict[str, weakref.WeakSet[asyncio.Task]] = {}
        self.set_task_factory(self._new_task)

    def tasks_of(self, host: str) -> list[asyncio.Task]:
        """Return the tasks that run on a host."""
        return [task for task in self._host_tasks.get(host, ()) if not task.done()]

    def _new_task(self, loop, coro, **kwargs) -> asyncio.Task:
        context = kwargs.get('context')
        host = context.get(HOST) if context is not None else HOST.get()
        task = asyncio.Task(coro, loop=loop, **kwargs)
        self._host_tasks.setdefault(host or 'test', weakref.WeakSet()).add(task)
        return task

    async def create_connection(self, protocol_factory, host=None, port=None, **kwargs):
        """Open a connection over the in-memory network."""
        return await self.network.connect(protocol_factory, host, port)

    async def create_server(self, protocol_factory, host=None, port=None, **kwargs):
        """Listen on the in-memory network; OSError when the address is in use."""
        address = (host, port)
        if address in self.network.servers:
            raise OSError(f'{host}:{port} is in use')
        server = MemoryServer(self.network, address, protocol_factory, contextvars.copy_context())
        self.network.servers[address] = server
        return server


def run_in_memory(main: Callable[[MemoryNetwork], Coroutine[Any, Any, T]]) -> T:
    """Run a coroutine to its end in virtual time, with an in-memory network."""

    async def with_network() -> T:
        try:
            return await main(asyncio.get_running_loop().network)
        finally:
            await cancel_all(asyncio.all_tasks() - {asyncio.current_task()})

    with asyncio.Runner(loop_factory=MemoryLoop) as runner:
        return runner.run(with_network())
