"""A small deployment on loopback: the project's programs with the commands of the deploy file."""

import asyncio
import contextlib
import json
import os
import random
import re
import shutil
import signal
import socket
import tempfile
import time
import tomllib
from pathlib import Path

from attrs import define, field

from .http import Link
from .replica import Replica, Run
from .store import Store

ROOT = Path(__file__).resolve().parents[2]
ZONES = {'centro-a': 'centro', 'centro-b': 'centro', 'norte-a': 'norte'}
CALLERS, READY, CONTROL, STORE_PORT, REPLICA_PORT = 8149, 8141, 8144, 8142, 8150
FIRST_INTERNAL, LAST_INTERNAL = 7380, 7395
HOST = 'agents.example'
RESTART_S = 0.2  # a process that has ended is started again after a short delay
_TAG = re.compile(r'\{\{([#^/]?)([^}]+)\}\}')


def render(template: str, fields: dict) -> str:
    """Fill in a settings template as DEPLOY.md describes it."""
    return _render(template, [fields])


def _render(text: str, scope: list) -> str:
    out, position = [], 0
    while (tag := _TAG.search(text, position)) is not None:
        out.append(text[position : tag.start()])
        kind, name = tag[1], tag[2]
        position = tag.end()
        if not kind:
            out.append(_value(name, scope))
            continue
        end = text.index('{{/' + name + '}}', position)
        inner, position = text[position:end], end + len('{{/' + name + '}}')
        found = _look_up(name, scope)
        if kind == '^':
            out.append('' if found else _render(inner, scope))
        elif isinstance(found, dict):
            for key, value in found.items():
                out.append(_render(inner, [*scope, {'.': value, '@': key}]))
        elif isinstance(found, list):
            for index, value in enumerate(found):
                out.append(_render(inner, [*scope, {'.': value, '@': index}]))
        elif found not in (None, False):
            out.append(_render(inner, scope))
    return ''.join(out) + text[position:]


def _value(name: str, scope: list) -> str:
    path, _, form = name.partition('|')
    found = _look_up(path, scope)
    if form == 'json':
        return json.dumps(found)
    if found is None:
        return ''
    return ','.join(map(str, found)) if isinstance(found, list) else str(found)


def _look_up(path: str, scope: list):
    for fields in reversed(scope):
        if path in fields:
            return fields[path]
        found = fields
        for part in path.split('.'):
            if isinstance(found, list) and part.isdigit():
                found = found[int(part)] if int(part) < len(found) else None
            elif isinstance(found, dict):
                found = found.get(part)
            else:
                found = None
        if found is not None:
            return found
    return None


def route(name: str, prefix: str, kind: str, service: str, **more) -> dict:
    """Return a route of a configuration."""
    return {
        'name': name,
        'host': HOST,
        'pathPrefix': prefix,
        'kind': kind,
        'timeoutMs': 4000,
        'targetLatencyMs': 300,
        'priority': 1,
        'service': service,
        'maxAttempts': 1,
        **more,
    }


def configuration(version: int, routes: list[dict], tenants: list[dict] | None = None) -> dict:
    """Return a configuration of the operator, with tenants if there are any."""
    engine = {'slots': 12, 'kvCacheTokens': 98048, 'stride': 10, 'kvTokenBytes': 16384}
    return {
        'version': version,
        'routes': routes,
        'services': [
            {'name': 'llm', 'healthPath': '/health', 'connectionLimit': 150, 'engine': engine},
            {'name': 'app', 'healthPath': '/health', 'connectionLimit': 96},
        ],
        'limits': {
            'headerBytes': 16384,
            'bodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        **({'tenants': tenants} if tenants else {}),
    }


@define(eq=False)
class Machine:
    """One machine with one process of the system; `ends` has the exit codes of its runs."""

    fleet: 'Fleet'
    name: str
    role: str
    zone: str
    ip: str
    memory_mb: int
    first_start: bool = True
    process: asyncio.subprocess.Process | None = None
    ends: list[int] = field(factory=list)
    peak_mb: float = 0.0
    stopping: bool = False
    _task: asyncio.Task | None = None

    @property
    def front(self) -> tuple[str, int]:
        """Return the address for callers."""
        return self.ip, CALLERS

    @property
    def _settings_path(self) -> Path:
        return self.fleet.folder / f'{self.name}.toml'

    def settings(self) -> dict:
        """Return the settings in the platform's form."""
        front = self.role == 'entry'
        listen = {'control': f'{self.ip}:{CONTROL}'}
        if front:
            listen |= {'front': f'{self.ip}:{CALLERS}', 'ready': f'{self.ip}:{READY}'}
        return {
            'nodeName': self.name,
            'role': self.role,
            'machineClass': 'front' if front else 'storage',
            'ipAddress': self.ip,
            'zone': self.zone,
            'region': ZONES[self.zone],
            'internalPortRange': [FIRST_INTERNAL, LAST_INTERNAL],
            'seedNodes': [f'{m.ip}:{CONTROL}' for m in self.fleet.machines if m.role == 'archive'],
            'firstStart': self.first_start,
            'countsAsLoss': not front,
            'dataDirectory': None if front else str(self.fleet.folder / f'{self.name}-disk'),
            'contracts': ['base', 'drain', 'config', 'recover', 'agent', 'stream', 'platform'],
            'zones': ZONES,
            'listenAddresses': listen,
            'limits': {
                'memoryMb': self.memory_mb,
                'fileDescriptors': 4100 if front else 8200,
                'diskMb': 0 if front else 390,
            },
            'faultTolerance': {'machines': 1, 'zones': 0, 'regions': 0},
            'bounds': {'graceS': 8, **self.fleet.bounds},
            'platform': {
                'address': f'{self.fleet.store_ip}:{STORE_PORT}',
                'writesPerS': 400,
                'readsPerS': 2000,
            },
        }

    def write_settings(self) -> None:
        """Fill in the template of the role."""
        template = (ROOT / self.fleet.roles[self.role]['template']).read_text()
        self._settings_path.write_text(render(template, self.settings()))

    async def start(self) -> None:
        """Start the process."""
        self.write_settings()
        self.first_start = False
        command = self.fleet.roles[self.role]['run'].split()
        command[command.index('--config') + 1] = str(self._settings_path)
        kept = {name: os.environ[name] for name in ('PATH', 'HOME', 'LANG') if name in os.environ}
        with (self.fleet.folder / f'{self.name}.log').open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                env={**kept, 'PYTHONPATH': str(ROOT / 'target' / 'deps')},
                stdout=log,
                stderr=log,
            )
        self._task = asyncio.ensure_future(self._watch(self.process))

    async def _watch(self, process: asyncio.subprocess.Process) -> None:
        """Note the end of a run, and start the next one as the platform does."""
        code = await process.wait()
        self.ends.append(code)
        if not self.stopping:
            self.fleet.note(f'{self.name} ended with exit code {code}')
            await asyncio.sleep(RESTART_S)
            await self.start()

    def send(self, signum: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, signum)

    def resident_mb(self) -> float:
        """Return the memory of the process now, in MB of 2^20 bytes."""
        try:
            status = Path(f'/proc/{self.process.pid}/status').read_text()
        except OSError:
            return 0.0
        sizes = [line.split()[1] for line in status.splitlines() if line.startswith('VmRSS')]
        return int(sizes[0]) / 1024 if sizes else 0.0

    async def end(self) -> None:
        """Kill the process for good."""
        self.stopping = True
        self.send(signal.SIGKILL)
        if self._task is not None:
            await asyncio.wait([self._task], timeout=3.0)

    async def is_ready(self) -> bool:
        """Ask for readiness as the platform does."""
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, READY), timeout=0.5
            )
            writer.write(b'GET /readiness HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n')
            line = await asyncio.wait_for(reader.readline(), 0.5)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return b' 200 ' in line


@define(eq=False)
class Fleet:
    """Store, replicas and machines; `note` writes a line to the record of the case."""

    record: Path
    entries: int = 2
    archives: int = 3
    engines: int = 2
    apps: int = 2
    entry_mb: int = 150
    archive_mb: int = 170
    replica_mbit_per_s: float | None = None
    bounds: dict = field(factory=dict)
    store: Store = field(factory=Store)
    machines: list[Machine] = field(factory=list)
    replicas: list[Replica] = field(factory=list)
    runs: list[Run] = field(factory=list)
    folder: Path = field(init=False)
    roles: dict = field(init=False)
    store_ip: str = field(init=False)
    began_at: float = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Choose addresses that are free."""
        self.folder = Path(tempfile.mkdtemp(prefix='review3-'))
        self.roles = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())['roles']
        self.began_at = time.monotonic()
        self.record.write_text('')
        net = _free_net()
        self.store_ip = f'{net}.1'
        zones = list(ZONES)
        for number in range(self.entries):
            self._add(f'front-{number + 1}', 'entry', zones, f'{net}.{10 + number}', number)
        for number in range(self.archives):
            self._add(f'storage-{number + 1}', 'archive', zones, f'{net}.{40 + number}', number)
        for number in range(self.engines + self.apps):
            is_engine = number < self.engines
            rate = self.replica_mbit_per_s
            self.replicas.append(
                Replica(
                    self.store,
                    f'i-{number + 1}',
                    'llm' if is_engine else 'app',
                    zones[number % 3],
                    f'{net}.{70 + number}',
                    REPLICA_PORT,
                    self.runs,
                    events=7 if is_engine else 0,
                    link=None if rate is None else Link(rate),
                )
            )

    def _add(self, name: str, role: str, zones: list[str], ip: str, number: int) -> None:
        memory_mb = self.entry_mb if role == 'entry' else self.archive_mb
        self.machines.append(Machine(self, name, role, zones[number % 3], ip, memory_mb))

    @property
    def fronts(self) -> list[Machine]:
        """Return the machines that take callers."""
        return [machine for machine in self.machines if machine.role == 'entry']

    def note(self, text: str) -> None:
        """Write a line to the record, with the seconds since the start."""
        with self.record.open('a') as record:
            record.write(f'{time.monotonic() - self.began_at:8.3f} {text}\n')

    async def start(self, routes: list[dict], tenants: list[dict] | None = None) -> None:
        """Start everything, and wait until all entries are ready."""
        await self.store.start(self.store_ip, STORE_PORT)
        self.store.put('op/config', configuration(1, routes, tenants))
        for replica in self.replicas:
            await replica.start()
        for machine in self.machines:
            await machine.start()
        await self.wait_ready()

    async def wait_ready(self, timeout_s: float = 25.0) -> None:
        """Wait until all entries are ready; raise TimeoutError otherwise."""
        async with asyncio.timeout(timeout_s):
            for machine in self.fronts:
                while not await machine.is_ready():
                    await asyncio.sleep(0.1)

    async def end(self) -> None:
        """End all processes that were started."""
        await asyncio.gather(*(machine.end() for machine in self.machines))
        shutil.rmtree(self.folder, ignore_errors=True)


def _free_net() -> str:
    """Return the first three numbers of loopback addresses at which the ports are free."""
    for _ in range(50):
        net = f'127.{random.randint(20, 250)}.{random.randint(1, 250)}'
        try:
            for last in (1, 10, 11, 40, 41, 42, 70):
                for port in (CALLERS, READY, CONTROL, STORE_PORT, REPLICA_PORT, 9464):
                    with socket.socket() as sock:
                        sock.bind((f'{net}.{last}', port))
        except OSError:
            continue
        return net
    raise RuntimeError('no free loopback addresses')


def new_id() -> str:
    """Return a request's id, as callers make them."""
    return f'{random.getrandbits(64):016x}'
