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
from typing import Any, TypeVar

from attrs import define, field

from .virtual_loop import VirtualLoop

T = TypeVar('T')

HOST: contextvars.ContextVar[str] = contextvars.ContextVar('host', default='test')
HIGH_WATER_BYTES = 65_536
LATENCY_S = 0.0005
CONNECT_PATIENCE_S = 60.0  # connecting to an unreachable host hangs until the caller gives up
FIRST_PORT = 40_000


def on_host(host: str, work: Coroutine[Any, Any, T]) -> 'asyncio.Task[T]':
    """Start a task on a host; the tasks that it creates run on that host too."""
    context = contextvars.copy_context()
    context.run(HOST.set, host)
    return asyncio.get_running_loop().create_task(work, context=context)


@define(eq=False)
class MemoryServer(asyncio.AbstractServer):
    """A listening socket of the in-memory network."""

    network: 'Network'
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
    """One end of an in-memory connection."""

    def __init__(
        self, network: 'Network', host: str, port: int, context: contextvars.Context
    ) -> None:
        """Take this end's address, and the context in which its protocol runs."""
        super().__init__({'peername': None, 'sockname': (host, port)})
        self.network = network
        self.host = host
        self.context = context
        self.other: MemoryTransport | None = None
        self.protocol: asyncio.BaseProtocol | None = None
        self._closing = False
        self._lost = False
        self._reading = True
        self._inbox: list[bytes] = []
        self._eof = False
        self._unread = 0
        self._paused_writer = False
        self._last_arrival = 0.0
        self._under_way: deque[tuple[Callable[..., None], tuple]] = deque()

    def write(self, data: bytes) -> None:
        """Send bytes to the other end."""
        if self._closing or not data:
            return
        self._send(self.other._arrive, bytes(data))

    def writelines(self, parts) -> None:
        """Send several byte strings as one."""
        self.write(b''.join(parts))

    def get_write_buffer_size(self) -> int:
        """Return the bytes that the other end has not read, 0 up to the high-water mark."""
        return self.other._unread if self.other._unread > HIGH_WATER_BYTES else 0

    def set_write_buffer_limits(self, high=None, low=None) -> None:
        """Ignore the limits: HIGH_WATER_BYTES is fixed."""

    def can_write_eof(self) -> bool:
        """Return True: the connection can be half-closed."""
        return True

    def write_eof(self) -> None:
        """Send an end-of-file; the other end can still write."""
        self._send(self.other._arrive_eof)

    def is_closing(self) -> bool:
        """Return whether the transport is closing or closed."""
        return self._closing

    def close(self) -> None:
        """Close; what was written before is still delivered."""
        if self._closing:
            return
        self._closing = True
        self._send(self.other._arrive_eof)
        self._later(self._lose, None)

    def abort(self) -> None:
        """Close at once; the other end sees a connection reset."""
        if self._lost:
            return
        self._closing = True
        self._send(self.other._arrive_reset)
        self._later(self._lose, None)

    def pause_reading(self) -> None:
        """Stop passing received bytes to the protocol."""
        self._reading = False

    def resume_reading(self) -> None:
        """Pass received bytes on again, buffered ones first."""
        self._reading = True
        self._later(self._deliver)

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
        self._lose(exc or ConnectionResetError('connection reset'))

    def _send(self, arrive: Callable[..., None], *args: Any) -> None:
        """Schedule an arrival at the other end, in sending order, unless packets are lost."""
        network = self.network
        if self.other is None or not network.passes(self, self.other):
            return
        now = network.loop.time()
        at = max(now + network.latency_s(self.host, self.other.host), self.other._last_arrival)
        self.other._last_arrival = at
        self.other._under_way.append((arrive, args))
        network.loop.call_at(at, self.other._next_arrives, context=self.other.context)

    def _next_arrives(self) -> None:
        """Handle the arrival that was sent first.

        Timers due at the same time run in no defined order, so that a timer must not
        be bound to one arrival.
        """
        arrive, args = self._under_way.popleft()
        arrive(*args)

    def _later(self, work: Callable[..., None], *args: Any) -> None:
        self.network.loop.call_soon(work, *args, context=self.context)

    def _arrive(self, data: bytes) -> None:
        if self._lost or self.network.frozen(self.host, self._arrive, data):
            return
        self._inbox.append(data)
        self._unread += len(data)
        if self._unread > HIGH_WATER_BYTES and not self.other._paused_writer:
            self.other._paused_writer = True
            self.other.protocol.pause_writing()
        self._deliver()

    def _arrive_eof(self) -> None:
        if self._lost or self.network.frozen(self.host, self._arrive_eof):
            return
        self._eof = True
        self._deliver()

    def _arrive_reset(self) -> None:
        if not self.network.frozen(self.host, self._arrive_reset):
            self.reset()

    def _deliver(self) -> None:
        while self._inbox and self._reading and not self._lost and not self._closing:
            data = self._inbox.pop(0)
            self._unread -= len(data)
            if self.other._paused_writer and self._unread <= HIGH_WATER_BYTES:
                self.other._paused_writer = False
                self.other._later(self.other.protocol.resume_writing)
            self.protocol.data_received(data)
        if self._eof and not self._inbox and not self._lost and not self._closing:
            self._eof = False
            if not self.protocol.eof_received():
                self.close()

    def _lose(self, exc: Exception | None) -> None:
        if self._lost:
            return
        self._lost = self._closing = True
        self.network.transports.discard(self)
        self.protocol.connection_lost(exc)


@define(eq=False)
class Network:
    """Servers, connections and faults of the in-memory network.

    `regions` maps hosts to their regions; `far_latency_s` is the one-way latency
    between regions.
    """

    loop: 'MemoryLoop'
    servers: dict[tuple[str, int], MemoryServer] = field(factory=dict)
    transports: set[MemoryTransport] = field(factory=set)
    regions: dict[str, str] = field(factory=dict)
    far_latency_s: float = 0.02
    _ports: itertools.count = field(factory=lambda: itertools.count(FIRST_PORT))
    _cuts: set[tuple[str, str]] = field(factory=set)
    _silent: set[MemoryTransport] = field(factory=set)
    _dark: set[str] = field(factory=set)
    _frozen: dict[str, list] = field(factory=dict)

    def latency_s(self, src: str, dst: str) -> float:
        """Return the one-way latency between hosts."""
        same = self.regions.get(src) == self.regions.get(dst)
        return LATENCY_S if same else self.far_latency_s

    def passes(self, src: MemoryTransport, dst: MemoryTransport) -> bool:
        """Return whether packets get through now."""
        return (
            (src.host, dst.host) not in self._cuts
            and src not in self._silent
            and dst not in self._silent
            and src.host not in self._dark
            and dst.host not in self._dark
        )

    def cut(self, one: str, other: str) -> None:
        """Lose all packets between two hosts."""
        self._cuts |= {(one, other), (other, one)}

    def heal(self) -> None:
        """End all cuts."""
        self._cuts.clear()

    def silence(self, host: str) -> None:
        """Drop all packets on the host's open connections for good; new ones work."""
        self._silent |= {t for t in self.transports if t.host == host}

    def reset_connections(self, host: str) -> None:
        """Reset the open connections of a host at both ends."""
        for transport in [t for t in self.transports if t.host == host]:
            other = transport.other
            transport._later(transport.reset)
            other._later(other.reset)

    def kill(self, host: str, *, dark: bool = False) -> None:
        """End a host's processes.

        Its peers see resets; with `dark`, as after a power failure, they see nothing.
        """
        for task in self.loop.tasks_of(host):
            task.cancel()
        for address in [a for a in self.servers if a[0] == host]:
            del self.servers[address]
        for transport in [t for t in self.transports if t.host == host]:
            if not dark:
                transport.other._later(transport.other.reset)
            transport._lost = transport._closing = True
            self.transports.discard(transport)
        if dark:
            self._dark.add(host)

    def lighten(self, host: str) -> None:
        """Make a host reachable again after `kill(host, dark=True)`."""
        self._dark.discard(host)

    def freeze(self, host: str) -> None:
        """Hold back everything that arrives at a host until it resumes."""
        self._frozen[host] = []

    def thaw(self, host: str) -> None:
        """Handle what has arrived while the host was paused."""
        for arrive, args in self._frozen.pop(host, []):
            self.loop.call_soon(arrive, *args)

    def frozen(self, host: str, arrive: Callable[..., None], *args: Any) -> bool:
        """Hold back an arrival if the host is paused; return whether it is."""
        waiting = self._frozen.get(host)
        if waiting is None:
            return False
        waiting.append((arrive, args))
        return True

    async def connect(
        self, factory: Callable[[], asyncio.BaseProtocol], host: str, port: int
    ) -> tuple[MemoryTransport, asyncio.BaseProtocol]:
        """Open a connection from the host of the running task."""
        src = HOST.get()
        await asyncio.sleep(2 * self.latency_s(src, host))
        if (src, host) in self._cuts or host in self._dark:
            await asyncio.sleep(CONNECT_PATIENCE_S)
            raise TimeoutError('connection timed out')
        server = self.servers.get((host, port))
        if server is None:
            raise ConnectionRefusedError(f'{host}:{port} refused the connection')
        client_end = MemoryTransport(self, src, next(self._ports), contextvars.copy_context())
        server_end = MemoryTransport(self, host, port, server.context.copy())
        client_end.other, server_end.other = server_end, client_end
        for transport in (client_end, server_end):
            transport._extra['peername'] = transport.other.get_extra_info('sockname')
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
        """Start with an empty network."""
        super().__init__()
        self.network = Network(self)
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


def run_in_memory(main: Callable[[Network], Coroutine[Any, Any, T]]) -> T:
    """Run a coroutine to its end in virtual time, with an in-memory network."""

    async def with_network() -> T:
        return await main(asyncio.get_running_loop().network)

    with asyncio.Runner(loop_factory=MemoryLoop) as runner:
        return runner.run(with_network())
