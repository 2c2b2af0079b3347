"""Clients that stay outside the limits, on real processes, and what these hold meanwhile."""

import asyncio
import contextlib
import itertools
import os
import socket
import struct
from collections.abc import Callable
from pathlib import Path

import attrs
import orjson

from toucanlead_core.process_settings import ProcessSettings
from toucanlead_kv.kv import Put
from toucanlead_platform_standins.caller import Caller
from toucanlead_platform_standins.replica import ReplicaStandIn, RunLog
from toucanlead_platform_standins.service import ServiceStandIn
from toucanlead_platform_standins.site import (
    APP,
    CALLER_PORT,
    METRICS_PORT,
    READINESS_PORT,
    ROUTE_HOST,
    SERVICE_PORT,
    Vm,
    configuration,
    route,
    team,
)
from toucanlead_standins.kv_model import KvModel

from ..soak.processes import SoakProcess

# The smallest entry VM of the deployments has this memory; the longest body is lowered to
# fit a small crowd.
MEMORY_MB = 128
MEMORY_LIMIT_KB = MEMORY_MB * 1024
BODY_BYTES = 1_000_000
DESCRIPTORS = 256
FEW_DESCRIPTORS = 1100  # what the smallest of such VMs leave to sockets
CROWD = 120
IDLE_CROWD = 400
LARGE_CHUNK_BYTES = 65_536
TINY_CHUNKS = 40_000  # of a byte, in one body
HEAD_BYTES = 1_000_000  # of a head that does not end
CLIENT_BUFFER_BYTES = 4096
SEND_LIMIT_S = 20.0  # a client that cannot send for so long has sent what it could
READY_LIMIT_S = 30.0
WATCH_PERIOD_S = 0.1
LONG_BODY_BYTES = 4_194_304
PART_BYTES = 1_000_000  # of a long body, sent before a client resets its connection
RETURNING, RETURNS = 60, 120  # clients, and how often each one comes
READERS, AHEAD = 100, 100  # clients that read nothing, and requests ahead on each connection
FEW_READERS, FAR_AHEAD = 8, 20_000
ANSWER_BYTES = 65_536
DRIPS, DRIP_PERIOD_S = 10, 0.5  # bytes sent one by one at the end of a body that stays short
DEADLINE_MS = 30_000
SLOW_CALL_S = 15.0
PATIENT_PATH, SLOW_PATH = '/patient/', '/slow/'
SLOW_APP = 'slow-app'
TEAM, KEY = 'ordinary-team', 'ordinary-key'
PORTS = {'callers': CALLER_PORT, 'readiness': READINESS_PORT, 'metrics': METRICS_PORT}
_HAS_LIMITS = any(each.name == 'limits' for each in attrs.fields(ProcessSettings))


def request_head(path: str, *headers: str) -> bytes:
    """Return the head of a request with more header lines."""
    lines = [
        f'POST {path}x HTTP/1.1',
        f'Host: {ROUTE_HOST}',
        'Toucanlead-Request-Id: crowd',
        f'Toucanlead-Deadline-Ms: {DEADLINE_MS}',
        *headers,
    ]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n'


def chunk(data: bytes) -> bytes:
    """Return a chunk of a body."""
    return b'%x\r\n%s\r\n' % (len(data), data)


CHUNKED = request_head(PATIENT_PATH, 'Transfer-Encoding: chunked')
LARGE_CHUNKS = (CHUNKED, *[chunk(b'x' * LARGE_CHUNK_BYTES)] * (BODY_BYTES // LARGE_CHUNK_BYTES - 1))
SMALL_CHUNKS = (CHUNKED, *[chunk(b'x') * 1_000] * (TINY_CHUNKS // 1_000))
WITH_LENGTH = (
    request_head(PATIENT_PATH, f'Content-Length: {BODY_BYTES}'),
    *[b'x' * LARGE_CHUNK_BYTES] * (BODY_BYTES // LARGE_CHUNK_BYTES - 1),
)
# A body behind a request that is being answered stays unread.
BEHIND = (request_head(SLOW_PATH, 'Content-Length: 0'), *SMALL_CHUNKS)
ENDLESS_HEAD = (
    b'POST / HTTP/1.1\r\n',
    *[b'A: ' + b'x' * 8_000 + b'\r\n'] * (HEAD_BYTES // 8_000),
)
# All but the last byte of a body, which comes byte by byte from then on.
DRIPPING = (
    request_head(PATIENT_PATH, f'Content-Length: {BODY_BYTES}'),
    *[b'x' * LARGE_CHUNK_BYTES] * (BODY_BYTES // LARGE_CHUNK_BYTES),
    b'x' * (BODY_BYTES % LARGE_CHUNK_BYTES - DRIPS - 1),
)
WHOLE = (request_head(SLOW_PATH, f'Content-Length: {BODY_BYTES}'), b'x' * BODY_BYTES)
ONE_ID_AHEAD = (request_head(PATIENT_PATH, 'Content-Length: 0') * AHEAD,)
_NUMBERS = itertools.count(1)


def requests_ahead(count: int) -> tuple[bytes, ...]:
    """Return requests without a body, each with an id of its own."""
    head = request_head(PATIENT_PATH, 'Content-Length: 0')
    return tuple(head.replace(b'crowd', b'crowd-%d' % next(_NUMBERS)) for _ in range(count))


PART_OF_BODY = (
    request_head(PATIENT_PATH, f'Content-Length: {LONG_BODY_BYTES}'),
    b'x' * PART_BYTES,
)


class CrowdSite:
    """One process on loopback, with a key-value service and replicas in the test's own loop."""

    numbers = iter(range(1, 250))

    def __init__(
        self,
        folder: Path,
        *,
        descriptors: int = 8192,
        body_bytes: int = BODY_BYTES,
        key: str = '',
    ) -> None:
        """The process believes that its VM has MEMORY_MB and `descriptors`.

        A body may have `body_bytes`. With `key`, callers need it; the crowd has none.
        """
        self.key = key
        self.net = f'127.{20 + os.getpid() % 230}.{next(self.numbers)}'
        self.folder = folder
        self.vm = Vm('crowded', 'centro-a', f'{self.net}.10')
        self.log = RunLog()
        self.writers: list[asyncio.StreamWriter] = []
        self.most_descriptors = 0
        self.most_kb = 0
        self._body_bytes = body_bytes
        self._watching: asyncio.Task | None = None
        self.replicas: list[ReplicaStandIn] = []
        self._limits = (
            f'[limits]\nmemory_mb = {MEMORY_MB}\nfile_descriptors = {descriptors}\n'
            if _HAS_LIMITS
            else ''
        )
        self.process: SoakProcess | None = None

    async def start(self, *command: str) -> None:
        """Start everything, and wait until the process serves."""
        loop = asyncio.get_running_loop()
        service = ServiceStandIn(KvModel(loop.time))
        await service.start(f'{self.net}.1', SERVICE_PORT)
        slow = {'timeoutMs': DEADLINE_MS}
        document = configuration(
            1,
            (
                route('patient', PATIENT_PATH, 'safe', APP, **slow),
                route('slow', SLOW_PATH, 'safe', SLOW_APP, **slow),
            ),
            (team(TEAM, self.key),) if self.key else (),
        )
        document['services'].append({**document['services'][-1], 'name': SLOW_APP})
        document['limits']['bodyBytes'] = self._body_bytes
        service.model.txn([], [Put('op/config', orjson.dumps(document))])
        for number, name in enumerate((APP, SLOW_APP)):
            replica = ReplicaStandIn(
                f'i-{number}',
                name,
                f'{self.net}.{100 + number}',
                'centro-a',
                service.model,
                self.log,
                engine=False,
            )
            replica.slots = 2 * CROWD
            self.replicas.append(replica)
            await replica.start()
        self.replicas[1].call_duration_s = SLOW_CALL_S
        self.process = SoakProcess(
            self.vm,
            command,
            self.folder,
            f'{self.net}.1',
            [f'{self.vm.ip}:8002'],
            extra_settings=self._limits,
        )
        await self.process.start()
        async with asyncio.timeout(READY_LIMIT_S):
            while not self.process.has_started():
                await asyncio.sleep(0.1)
            while (
                command[0] == 'entry'
                and not (await self._caller('ready').lookup(self.vm)).succeeded
            ):
                await asyncio.sleep(0.1)
        self._watching = asyncio.ensure_future(self._watch())

    async def _watch(self) -> None:
        while self.lives():
            self._count_descriptors()
            with contextlib.suppress(OSError, ValueError):
                self.most_kb = max(self.most_kb, self._status_kb('VmRSS') + self.kernel_kb())
            await asyncio.sleep(WATCH_PERIOD_S)

    def kernel_kb(self) -> int:
        """Return what the kernel holds unread and unsent for the process, in KiB.

        Connections that are not accepted yet belong to it.
        """
        address = struct.unpack('<I', socket.inet_aton(self.vm.ip))[0]
        local, listening = f'{address:08X}:', '0A'
        own = self._socket_inodes()
        size = 0
        for line in Path('/proc/net/tcp').read_text().splitlines()[1:]:
            fields = line.split()
            if fields[3] == listening or not (fields[1].startswith(local) or fields[9] in own):
                continue
            unsent, unread = fields[4].split(':')
            size += int(unsent, 16) + int(unread, 16)
        return size // 1024

    def _socket_inodes(self) -> set[str]:
        inodes = set()
        for path in Path(f'/proc/{self.process.process.pid}/fd').iterdir():
            with contextlib.suppress(OSError):  # it has just been closed
                kind, _, inode = os.readlink(path).partition(':')
                if kind == 'socket':
                    inodes.add(inode.strip('[]'))
        return inodes

    async def come_again(self, pieces: tuple[bytes, ...] = PART_OF_BODY) -> None:
        """Have clients send pieces, reset their connections and come again at once."""
        await asyncio.gather(*(self._come_again(pieces) for _ in range(RETURNING)))

    async def _come_again(self, pieces: tuple[bytes, ...]) -> None:
        loop = asyncio.get_running_loop()
        for _ in range(RETURNS):
            sock = socket.socket()
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
            with sock, contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(SEND_LIMIT_S):
                    await loop.sock_connect(sock, (self.vm.ip, CALLER_PORT))
                    for piece in pieces:
                        await loop.sock_sendall(sock, piece)

    async def drip(self) -> None:
        """Send bytes one by one on all open connections; their bodies stay short."""
        for _ in range(DRIPS):
            for writer in self.writers:
                writer.write(b'x')
            await asyncio.sleep(DRIP_PERIOD_S)

    async def attack(
        self,
        *kinds: tuple[bytes, ...] | Callable[[], tuple[bytes, ...]],
        count: int = CROWD,
        port: str = 'callers',
    ) -> None:
        """Have many clients send pieces, of each kind in turn, and stay open."""
        await asyncio.gather(
            *(self._send(kinds[number % len(kinds)], port) for number in range(count))
        )

    async def _send(
        self, kind: tuple[bytes, ...] | Callable[[], tuple[bytes, ...]], port: str
    ) -> None:
        pieces = kind() if callable(kind) else kind
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, CLIENT_BUFFER_BYTES)
        sock.setblocking(False)
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(SEND_LIMIT_S):
                loop = asyncio.get_running_loop()
                await loop.sock_connect(sock, (self.vm.ip, PORTS[port]))
                _, writer = await asyncio.open_connection(sock=sock, limit=CLIENT_BUFFER_BYTES)
                self.writers.append(writer)
                for piece in pieces:
                    writer.write(piece)
                    await writer.drain()
                    self._count_descriptors()
        self._count_descriptors()

    def _count_descriptors(self) -> None:
        with contextlib.suppress(OSError):
            count = len(os.listdir(f'/proc/{self.process.process.pid}/fd'))
            self.most_descriptors = max(self.most_descriptors, count)

    def peak_kb(self) -> int:
        """Return the most memory that the process has had, in KiB."""
        return self._status_kb('VmHWM')

    def _status_kb(self, name: str) -> int:
        status = Path(f'/proc/{self.process.process.pid}/status').read_text()
        (line,) = [each for each in status.splitlines() if each.startswith(name)]
        return int(line.split()[1])

    def lives(self) -> bool:
        """Return whether the process runs."""
        return self.process.process.returncode is None

    async def request(self, body: bytes = b'', path: str = PATIENT_PATH):
        """Make one request, as a caller that stays inside the limits."""
        return await self._caller('ordinary').request(
            self.vm, 'POST', path + 'y', body, deadline_ms=DEADLINE_MS
        )

    def _caller(self, program: str) -> Caller:
        return Caller(program, key=self.key, team=TEAM if self.key else '')

    def leave(self) -> None:
        """Close all clients."""
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()

    async def end(self) -> None:
        """Kill the process."""
        if self._watching is not None:
            self._watching.cancel()
        self.leave()
        await self.process.end()
