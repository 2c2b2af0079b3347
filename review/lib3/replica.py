"""Replicas of an application and of model engines, as PROTOCOL.md describes them."""

import asyncio
import hashlib
import json
import time
from collections.abc import Callable

from attrs import define, field

from .http import Link, Request, response, serve
from .store import Store

BACK_AFTER_S = 2.0


@define
class Run:
    """One request that a replica has run."""

    at: float
    request: str
    replica: str
    target: str
    size: int
    digest: str
    start: bytes
    headers: dict[str, str]


@define(eq=False)
class Replica:
    """Runs each request at once; `events` is how many events a stream has, 0 for plain answers."""

    store: Store
    ident: str
    service: str
    zone: str
    host: str
    port: int
    runs: list[Run]
    events: int = 0
    work_s: float = 0.02
    slots: int = 12
    link: Link | None = None
    born: int = field(factory=lambda: int(time.time() * 1e3))
    sequence: int = 0
    crashes_on: Callable[[bytes], bool] = lambda body: False
    crashes: int = 0
    _server: asyncio.Server | None = None
    _open: set[asyncio.StreamWriter] = field(factory=set)
    _task: asyncio.Task | None = None

    async def start(self) -> None:
        """Listen and register."""
        self._server = await serve(self.host, self.port, self._handle, self.link, self._open)
        self.register()

    async def _crash(self) -> None:
        """End as a process does that crashes; be back some seconds later, as a new run."""
        self.crashes += 1
        self._server.close()
        for writer in list(self._open):
            writer.transport.abort()
        await asyncio.sleep(BACK_AFTER_S)
        self.born, self.sequence = int(time.time() * 1e3), 0
        await self.start()

    def register(self, state: str = 'ready') -> None:
        """Write the registration."""
        self.sequence += 1
        self.store.put(
            f'servers/{self.ident}',
            {
                'service': self.service,
                'address': f'{self.host}:{self.port}',
                'zone': self.zone,
                'version': '1',
                'slots': self.slots,
                'state': state,
                'coldRemainingMs': 0,
                'sequence': self.sequence,
                'born': self.born,
            },
        )

    async def _handle(self, req: Request, writer: asyncio.StreamWriter) -> None:
        headers = {'Keep-Alive': 'timeout=15'}
        if req.target == '/report':
            report = {'busy': False, 'sequence': 0, 'waiting': 0, 'running': 0, 'born': self.born}
            writer.write(response(200, headers, json.dumps(report).encode()))
            return
        request = req.headers.get('toucanlead-request-id', '')
        headers['Toucanlead-Request-Id'] = request
        if req.headers.get('toucanlead-expect-instance', self.ident) != self.ident:
            writer.write(response(421, headers, b''))
            return
        digest = hashlib.sha256(req.body).hexdigest()[:16]
        self.runs.append(
            Run(
                time.monotonic(),
                request,
                self.ident,
                req.target,
                len(req.body),
                digest,
                req.body[:200],
                req.headers,
            )
        )
        if self.crashes_on(req.body):
            self._task = asyncio.ensure_future(self._crash())
            return
        headers['Toucanlead-Response-Signature'] = f's.{request}'
        if not self.events:
            await asyncio.sleep(self.work_s)
            writer.write(response(200, headers, f'done {request}'.encode()))
            return
        await self._stream(headers, writer)

    async def _stream(self, headers: dict[str, str], writer: asyncio.StreamWriter) -> None:
        headers |= {'Content-Type': 'text/event-stream', 'Transfer-Encoding': 'chunked'}
        lines = ['HTTP/1.1 200 OK', *(f'{name}: {value}' for name, value in headers.items())]
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')
        for number in range(1, self.events + 1):
            await asyncio.sleep(self.work_s)
            event = f'id: {number}\ndata: token-{number}\n\n'.encode()
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
        writer.write(b'0\r\n\r\n')
