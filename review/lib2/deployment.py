"""A small deployment on loopback: the programs as processes, and stand-ins around them."""

import asyncio
import contextlib
import itertools
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

import aiohttp
import orjson
from attrs import define, field, frozen

from .replica import Replica
from .store import Store

ROOT = Path(__file__).resolve().parents[2]
HOST = 'agents.example'
ENGINES, APP, NEW_APP = 'flama-llm', 'despacho-app', 'despacho-neu'
TURN_PATH, PLAN_PATH, ORDER_PATH = '/chat/', '/plan/', '/order/'
ZONES = {'centro-a': 'centro', 'centro-b': 'centro', 'norte-a': 'norte'}
READY_S = 20.0
TOKENS_PER_EVENT = 10
RETENTION_S = 60.0
CRASH_DELAY_S = 0.005  # the first event has left
REPLICA_DOWN_S = 3.0
LAPSE_S = 3.6  # three heartbeats
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

# The values are those of flamaviva-ops; `[listen]` and the folders are those of this machine.
_ENTRY = """
[process]
name = '{name}'
zone = '{zone}'
region = '{region}'
first_start = {first_start}
features = ['base', 'drain', 'config', 'cost', 'recover', 'agent', 'stream', 'engine', 'platform']

[listen]
callers = '{callers}'
readiness = '{readiness}'
peers = '{peers}'
metrics = '{metrics}'
"""
_ARCHIVE = """
[process]
name = '{name}'
zone = '{zone}'
region = '{region}'
first_start = {first_start}

[listen]
peers = '{peers}'
metrics = '{metrics}'

[archive]
folder = '{folder}'
disk_mb = 390
"""
_COMMON = """
[service]
address = '{store}'
seeds = [{seeds}]
writes_per_s = 400
reads_per_s = 2000

[tolerance]
vms = 1

[times]
grace_s = 8

[limits]
memory_mb = {memory_mb}
file_descriptors = {descriptors}

[zones]
"""


@define(eq=False)
class Machine:
    """One machine with its process; `host` is its own loopback address."""

    name: str
    zone: str
    role: str
    host: str
    ports: dict[str, int]
    folder: Path
    first_start: bool = True
    process: asyncio.subprocess.Process | None = None

    def address(self, port: str) -> str:
        """Return the host:port of a listening socket."""
        return f'{self.host}:{self.ports[port]}'

    async def kill(self) -> None:
        """End the process by SIGKILL."""
        await self._end(signal.SIGKILL)

    async def terminate(self) -> None:
        """Send SIGTERM, and wait for the end of the process."""
        await self._end(signal.SIGTERM)

    async def _end(self, signum: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signum)
            await self.process.wait()

    def lose_disk(self) -> None:
        """Empty the data folder."""
        shutil.rmtree(self.folder, ignore_errors=True)


@frozen
class Answer:
    """What a caller got; the status is 0 if no whole answer came."""

    ident: str
    status: int
    body: bytes = b''
    signed: bool = False

    @property
    def succeeded(self) -> bool:
        """Return whether the answer is a whole, signed success."""
        return self.status == 200 and self.signed

    @property
    def tokens(self) -> int:
        """Return the tokens of the whole events that came."""
        return self.body.count(b'\n\n') * TOKENS_PER_EVENT


@frozen
class Event:
    """What a replica reports of a request, at a time of the record."""

    at: float
    word: str
    replica: str
    ident: str
    path: str


@define(eq=False)
class Deployment:
    """The machines, the store and the replicas, and the record of what happened."""

    record_path: Path
    folder: Path
    store: Store = field(factory=Store)
    store_address: str = ''
    machines: dict[str, Machine] = field(factory=dict)
    replicas: list[Replica] = field(factory=list)
    events: list[Event] = field(factory=list)
    session: aiohttp.ClientSession | None = None
    _hosts: itertools.count = field(factory=lambda: itertools.count(2))
    _idents: itertools.count = field(factory=lambda: itertools.count(1))
    _began: float = field(factory=time.monotonic)
    _record: object = None
    _crashes: list[asyncio.Future] = field(factory=list)

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._began

    def note(self, text: str) -> None:
        """Write a line to the record."""
        print(f'{self.now():8.3f} {text}', file=self._record, flush=True)

    async def start(self, machines: list[tuple[str, str, str]], **engine: float) -> None:
        """Start all, machines as (name, zone, role); wait until every entry is ready.

        The options are those of a replica of the model.
        """
        self._record = self.record_path.open('w')
        host, ports = self._place('store')
        self.store_address = f'{host}:{ports["store"]}'
        await self.store.start(host, ports['store'])
        self.configure(3, APP)
        for number, zone in enumerate(ZONES):
            options = {'connection_limit': 150, 'work_s': 0.02, **engine}
            await self.add_replica(f'i-e{number}', ENGINES, zone, engine=True, **options)
            await self.add_replica(
                f'i-a{number}', APP, zone, engine=False, connection_limit=96, work_s=0.04
            )
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        self.session = aiohttp.ClientSession(connector=connector, auto_decompress=False)
        for name, zone, role in machines:
            self._add_machine(name, zone, role, first_start=True)
        for machine in self.machines.values():
            await self.run(machine)
        for machine in self.machines.values():
            await self.wait_until_up(machine)

    async def add(self, name: str, zone: str, role: str) -> Machine:
        """Add a machine while the others run."""
        machine = self._add_machine(name, zone, role, first_start=False)
        await self.run(machine)
        await self.wait_until_up(machine)
        return machine

    async def restart(self, machine: Machine) -> None:
        """Start the process of a machine again."""
        machine.first_start = False
        await self.run(machine)

    async def run(self, machine: Machine) -> None:
        """Write the settings of a machine and start its process by the deploy file's command."""
        role = tomllib.loads((ROOT / 'deploy/system.toml').read_text())['roles'][machine.role]
        path = self.folder / f'{machine.name}.toml'
        path.write_text(self._settings(machine))
        words = [str(path) if w.startswith('/etc/') else w for w in role['run'].split()]
        self.note(f'{machine.name} starts at {machine.address("peers")}')
        with (self.folder / f'{machine.name}.log').open('ab') as log:
            machine.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *words[1:],
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    'PATH': os.environ.get('PATH', ''),
                    'HOME': os.environ.get('HOME', ''),
                    'PYTHONPATH': str(ROOT / 'target/deps'),
                    'TOUCANLEAD_SETTINGS': str(path),
                },
            )

    async def stop(self) -> None:
        """End all processes and stand-ins."""
        await asyncio.gather(*(machine.kill() for machine in self.machines.values()))
        if self.session is not None:
            await self.session.close()
        for crash in self._crashes:
            crash.cancel()
        for replica in self.replicas:
            await replica.stop()
        await self.store.stop()

    def logged(self, machine: Machine, event: str) -> list[str]:
        """Return the log lines of an event."""
        lines = (self.folder / f'{machine.name}.log').read_text(errors='replace').splitlines()
        return [line for line in lines if f'event={event} ' in f'{line} ']

    async def turn(
        self,
        machine: Machine,
        program: str,
        text: bytes,
        previous: str = '',
        budget: int | None = None,
        limit: int = 60,
        path: str = TURN_PATH,
    ) -> Answer:
        """Send a turn of a program to an entry, by default on the route that keeps turns."""
        headers = {
            'Toucanlead-Program-Id': program,
            'Toucanlead-Session-Id': f'{program}s',
            'Toucanlead-Finish-Ms': '20000',
            'Toucanlead-Model': 'm',
            'Toucanlead-Token-Usage': f'600,{limit}',
            'Toucanlead-Prompt-Prefix': 'aa:400,bb:200',
        }
        if previous:
            headers['Toucanlead-Previous-Turn'] = previous
        if budget is not None:
            headers['Toucanlead-Token-Budget'] = str(budget)
        return await self.send(machine, 'POST', path + 'x', text, headers, 4000)

    async def send(
        self,
        machine: Machine,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
        deadline_ms: int,
        leave_after_s: float | None = None,
    ) -> Answer:
        """Send a request on a new connection, and close it after `leave_after_s` if given."""
        ident = f'{next(self._idents):016x}'
        all_headers = {
            'Host': HOST,
            'Toucanlead-Request-Id': ident,
            'Toucanlead-Deadline-Ms': str(deadline_ms),
            **headers,
        }
        url = f'http://{machine.address("callers")}{path}'
        body_read = b''
        answer = Answer(ident, 0)
        previous = headers.get('Toucanlead-Previous-Turn', '')
        self.note(f'{ident} sent to {machine.name}: {method} {path} {previous}')
        try:
            async with (
                asyncio.timeout(leave_after_s or deadline_ms / 1e3),
                self.session.request(method, url, data=body, headers=all_headers) as resp,
            ):
                async for data in resp.content.iter_any():
                    body_read += data
                signed = 'Toucanlead-Response-Signature' in resp.headers
                answer = Answer(ident, resp.status, body_read, signed)
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            answer = Answer(ident, 0, body_read)
            self.note(f'{ident} ends without a whole answer: {type(exc).__name__}')
        reason = '' if answer.succeeded else answer.body[:120].decode('utf-8', 'replace').strip()
        self.note(f'{ident} answered {answer.status}, {len(answer.body)} bytes {reason}')
        return answer

    def _add_machine(self, name: str, zone: str, role: str, first_start: bool) -> Machine:
        host, ports = self._place('callers', 'readiness', 'peers', 'metrics')
        folder = self.folder / f'{name}-disk'
        machine = Machine(name, zone, role, host, ports, folder, first_start)
        self.machines[name] = machine
        return machine

    def configure(self, version: int, order_service: str) -> None:
        """Write a configuration that leads orders to a service."""
        self.store.put('op/config', orjson.dumps(_configuration(version, order_service)))
        self.note(f'configuration {version} is acknowledged: orders go to {order_service}')

    async def add_replica(self, ident: str, service: str, zone: str, **options) -> None:
        """Start a replica of a service."""
        host, ports = self._place('replica')
        options = {'slots': 12, 'queue': 36, **options}
        replica = Replica(
            self.store, ident, service, zone, (host, ports['replica']), self._on_event, **options
        )
        self.replicas.append(replica)
        await replica.start()

    def _on_event(self, word: str, replica: str, ident: str, path: str, body: bytes) -> None:
        self.events.append(Event(self.now(), word, replica, ident, path))
        self.note(f'{ident} {word} at {replica}: {path}, {len(body)} bytes')
        if word == 'crashed':
            crashed = next(each for each in self.replicas if each.ident == replica)
            self._crashes.append(asyncio.ensure_future(self._crash(crashed)))

    async def _crash(self, replica: Replica) -> None:
        """Crash a replica, whose entry lapses; it is back after some seconds under a new id."""
        await asyncio.sleep(CRASH_DELAY_S)
        self.replicas.remove(replica)
        await replica.crash()
        successor = replica.successor(f'{replica.ident}+')
        await asyncio.sleep(REPLICA_DOWN_S)
        self.replicas.append(successor)
        await successor.start()
        await asyncio.sleep(LAPSE_S - REPLICA_DOWN_S)
        self.store.remove(f'servers/{replica.ident}')

    def _settings(self, machine: Machine) -> str:
        text = _ENTRY if machine.role == 'entry' else _ARCHIVE
        seeds = [m for m in self.machines.values() if m.role == 'archive'][:3]
        listen = {name: machine.address(name) for name in machine.ports}
        return (text + _COMMON).format(
            name=machine.name,
            zone=machine.zone,
            region=ZONES[machine.zone],
            first_start=str(machine.first_start).lower(),
            folder=machine.folder,
            store=self.store_address,
            seeds=', '.join(f"'{seed.address('peers')}'" for seed in seeds),
            memory_mb=150 if machine.role == 'entry' else 170,
            descriptors=4100 if machine.role == 'entry' else 8200,
            **listen,
        ) + ''.join(f"{zone} = '{region}'\n" for zone, region in ZONES.items())

    def _place(self, *names: str) -> tuple[str, dict[str, int]]:
        """Return an unused loopback address with a free port for each name."""
        host = f'127.77.{os.getpid() % 250}.{next(self._hosts)}'
        sockets = [socket.create_server((host, 0)) for _ in names]
        ports = [sock.getsockname()[1] for sock in sockets]
        for sock in sockets:
            sock.close()
        return host, dict(zip(names, ports))

    async def wait_until_up(self, machine: Machine) -> None:
        """Wait until an entry is ready, or an archive is registered."""
        async with asyncio.timeout(READY_S):
            while not await self._is_up(machine):
                await asyncio.sleep(0.05)

    async def _is_up(self, machine: Machine) -> bool:
        if machine.role == 'archive':
            return bool(self.logged(machine, 'registered'))
        with contextlib.suppress(aiohttp.ClientError, OSError):
            async with self.session.get(f'http://{machine.address("readiness")}/readiness') as resp:
                return resp.status == 200
        return False


def _configuration(version: int, order_service: str) -> dict:
    plan = {'sticky': True, 'targetGapMs': 200}
    turn = {'keepsContext': True, 'resumable': False, **plan}
    return {
        'version': version,
        'routes': [
            _route('chat', TURN_PATH, 'streaming', ENGINES, 4000, retentionS=RETENTION_S, **turn),
            _route('plan', PLAN_PATH, 'streaming', ENGINES, 4000, resumable=True, **plan),
            _route('order', ORDER_PATH, 'unsafe', order_service, 2000),
        ],
        'services': [
            {
                'name': ENGINES,
                'healthPath': '/health',
                'connectionLimit': 150,
                'engine': {'slots': 12, 'kvCacheTokens': 98_048, 'stride': TOKENS_PER_EVENT},
            },
            {'name': APP, 'healthPath': '/health', 'connectionLimit': 96},
            {'name': NEW_APP, 'healthPath': '/health', 'connectionLimit': 96},
        ],
        'limits': {
            'headerBytes': 16_384,
            'bodyBytes': 65_536,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15_000,
        },
    }


def _route(name: str, prefix: str, kind: str, service: str, timeout_ms: int, **more) -> dict:
    return {
        'name': name,
        'host': HOST,
        'pathPrefix': prefix,
        'kind': kind,
        'service': service,
        'timeoutMs': timeout_ms,
        'targetLatencyMs': 300,
        'priority': 1,
        'maxAttempts': 1,
        **more,
    }


def run_case(case, record_path: Path) -> int:
    """Run a case in a temporary folder, and return its exit status.

    `case` is called with a Deployment and whether to make trouble, and returns a status.
    """
    trouble = os.environ.get('TROUBLE', '1') != '0'

    async def run() -> int:
        with tempfile.TemporaryDirectory(prefix='review-') as folder:
            deployment = Deployment(record_path, Path(folder))
            try:
                async with asyncio.timeout(110):
                    status = await case(deployment, trouble)
            except Exception as exc:  # its status must not be taken for a result
                deployment.note(f'the case could not run: {exc!r}')
                status = COULD_NOT_RUN
            finally:
                with contextlib.suppress(Exception):
                    await deployment.stop()
            deployment.note(f'exit status {status}')
            return status

    return asyncio.run(run())
