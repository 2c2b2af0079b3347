"""Loopback harness for the cases: starts the product's processes, and stand-ins for the rest.

It needs the standard library only. The stand-ins follow the customers' pages: a key-value
service, replicas (model engines and applications) and consumers. Every address is 127.x.y.z.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
ZONES = {'centro-a': 'centro', 'centro-b': 'centro', 'norte-a': 'norte'}
HOST = 'agents.example'
LLM, APP = 'flama-llm', 'despacho-app'
CHAT, PLAN, LOOK, ORDER = '/chat/', '/plan/', '/look/', '/order/'
STRIDE = 10
PORTS = {
    'front': 8149,
    'ready': 8141,
    'control': 8144,
    'internal': 7380,
    'store': 8142,
    'replica': 8080,
}
NOT_EXECUTED = 'Toucanlead-Not-Executed'
BROKEN, HELD, NOT_RUN = 1, 0, 2


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Writes what was sent, answered and run to record.txt, with the seconds since the start."""

    def __init__(self, path):
        self._file = path.open('w')
        self._start = time.monotonic()

    def __call__(self, text):
        """Write a line."""
        line = f'{time.monotonic() - self._start:8.3f}  {text}'
        print(line, file=self._file, flush=True)


# ---- HTTP -------------------------------------------------------------------------------


async def read_head(reader):
    """Return the first line and the headers (names in lower case) of a message, or None."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, sep, value = line.partition(':')
        if sep:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Return the body of a request, or of a response that has a length or is chunked."""
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        while True:
            size = int((await reader.readline()).strip() or b'0', 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(headers.get('content-length', 0)))


def head_bytes(first, headers):
    """Return an encoded head."""
    return ('\r\n'.join([first, *(f'{n}: {v}' for n, v in headers)]) + '\r\n\r\n').encode('latin-1')


# ---- the platform's store ---------------------------------------------------------------


class Store:
    """The platform's metadata store: linearizable, with one address for each of its callers.

    `state` holds for each address '' (serves), 'busy' (503), 'silent' (accepts, no answer).
    """

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.history = []
        self.revision = 100
        self.changed = asyncio.Event()
        self.state = {}
        self.lease = 0
        self._servers = []

    async def listen(self, host):
        """Serve at an address of its own; return host:port."""
        address = f'{host}:{PORTS["store"]}'
        self.state[address] = ''
        server = await asyncio.start_server(
            lambda r, w: self._serve(address, r, w), host, PORTS['store']
        )
        self._servers.append(server)
        return address

    def set_state(self, state, addresses=None):
        """Set the state for some callers, by default for all."""
        for address in addresses or self.state:
            self.state[address] = state

    def put(self, key, document):
        """Write a key as the operator or a replica does."""
        self._change(key, base64.b64encode(json.dumps(document).encode()).decode())

    def remove(self, key):
        """Remove a key."""
        if key in self.items:
            self._change(key, None)

    def value(self, key):
        """Return the decoded JSON value of a key, or None."""
        item = self.items.get(key)
        return json.loads(base64.b64decode(item['value'])) if item else None

    def _change(self, key, value):
        self.revision += 1
        old = self.items.get(key)
        if value is None:
            del self.items[key]
            event = {'key': key, 'revision': self.revision, 'tombstone': True}
        else:
            created = old['created'] if old else self.revision
            event = {
                'key': key,
                'value': value,
                'revision': self.revision,
                'created': created,
                'lease': 0,
            }
            self.items[key] = event
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, address, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                first, headers = head
                body = await read_body(reader, headers)
                if self.state[address] == 'silent':
                    await asyncio.sleep(3600)
                if self.state[address] == 'busy':
                    status, answer = 503, {}
                else:
                    await asyncio.sleep(0.004)
                    status, answer = await self._call(first, body)
                if self.state[address] == 'silent':
                    await asyncio.sleep(3600)
                data = json.dumps(answer).encode()
                reply = [('Content-Type', 'application/json'), ('Content-Length', len(data))]
                writer.write(head_bytes(f'HTTP/1.1 {status} X', reply) + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _call(self, first, body):
        method, target, _ = first.split(' ')
        path, _, query = target.partition('?')
        args = dict(part.split('=', 1) for part in query.split('&')) if query else {}
        args = {name: _unquote(value) for name, value in args.items()}
        document = json.loads(body) if body else {}
        now = {'storeRevision': self.revision}
        if path == '/kv-key':
            item = self.items.get(args['key'])
            return (200, {**item, **now}) if item else (404, now)
        if path == '/kv-range':
            items = [
                item
                for key, item in sorted(self.items.items())
                if key.startswith(args['pathPrefix']) and key > args.get('after', '')
            ]
            return 200, {'items': items[:500], 'hasMore': len(items) > 500, **now}
        if path == '/kv-watch':
            return await self._watch(args)
        if path == '/kv-txn':
            return self._txn(document)
        if path == '/kv-lease':
            self.lease += 1
            return 200, {'lease': self.lease, 'ttlMs': document['ttlMs']}
        if path.startswith(('/kv-keep/', '/kv-lease-end/')):
            return 200, {'ttlMs': 1000}
        return 404, {}

    async def _watch(self, args):
        end = time.monotonic() + int(args['waitMs']) / 1e3
        while True:
            changed = self.changed
            events = [
                event
                for event in self.history
                if event['revision'] > int(args['after'])
                and event['key'].startswith(args['pathPrefix'])
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {'events': events, 'storeRevision': self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left)

    def _txn(self, document):
        expected = document.get('expected', [])
        found = [self.items.get(row['key']) for row in expected]
        if any(
            (item['revision'] if item else 0) != row['revision']
            for row, item in zip(expected, found)
        ):
            return 412, {'items': [item for item in found if item]}
        for row in document.get('put', []):
            self._change(row['key'], row['value'])
        for key in document.get('remove', []):
            self.remove(key)
        return 200, {'revision': self.revision}


def _unquote(text):
    return re.sub('%([0-9A-Fa-f]{2})', lambda m: chr(int(m[1], 16)), text)


# ---- replicas ---------------------------------------------------------------------------


class Replica:
    """A sound replica of a model service or an application; subclasses add what a case needs.

    It runs `slots` requests at once, queues `queue` more and refuses the rest. `runs` has the
    ids of the requests that it began to run, `answers` counts its answers.
    """

    def __init__(self, site, ident, service, zone, slots=6, queue=6):
        self.site, self.record, self.store = site, site.record, site.store
        self.ident, self.service, self.zone, self.slots = ident, service, zone, slots
        self.host = site.new_host()
        self.address = f'{self.host}:{PORTS["replica"]}'
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.queue = queue
        self.places = asyncio.Semaphore(slots)
        self.held = 0
        self.runs = []
        self.answers = 0

    async def start(self):
        """Listen, register, and report every 1.2 s."""
        self._server = await asyncio.start_server(self._serve, self.host, PORTS['replica'])
        self.register()
        self._beats = asyncio.ensure_future(self._beat())

    def register(self, state='ready'):
        """Write the entry in the platform's store."""
        self.sequence += 1
        document = {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': state,
            'coldRemainingMs': 0,
            'sequence': self.sequence,
            'born': self.born,
        }
        self.store.put(f'servers/{self.ident}', document)

    async def _beat(self):
        while True:
            await asyncio.sleep(1.2)
            if not any(self.store.state.values()):
                self.register()

    async def _serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                first, headers = head
                body = await read_body(reader, headers)
                if first.startswith('GET /report '):
                    data = json.dumps({'stage': 'both', 'born': self.born}).encode()
                    reply = [('Content-Type', 'application/json'), ('Content-Length', len(data))]
                    writer.write(head_bytes('HTTP/1.1 200 OK', reply) + data)
                    continue
                await self.handle(first, headers, body, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def handle(self, first, headers, body, writer):
        """Answer one request."""
        ident = headers.get('toucanlead-request-id', '')
        if headers.get('toucanlead-expect-instance', self.ident) != self.ident:
            reply = [('Toucanlead-Instance-Id', self.ident), ('Content-Length', 0)]
            writer.write(head_bytes('HTTP/1.1 421 Misdirected Request', reply))
            return
        self.answers += 1
        if self.held >= self.slots + self.queue:
            self.record(f'replica {self.ident} is full and refuses {ident} (503, not executed)')
            self.refuse(ident, writer)
            return
        self.held += 1
        try:
            async with self.places:
                self.runs.append(ident)
                self.record(f'replica {self.ident} runs {ident} ({first.rpartition(" ")[0]})')
                await self.run(ident, headers, body, writer)
        finally:
            self.held -= 1

    def refuse(self, ident, writer):
        """Answer as a full replica."""
        writer.write(self.refusal(ident))

    def refusal(self, ident):
        """Return the bytes of the answer of a full replica."""
        reply = [(NOT_EXECUTED, '1'), ('Toucanlead-Request-Id', ident), ('Content-Length', 0)]
        return head_bytes('HTTP/1.1 503 Service Unavailable', reply)

    async def run(self, ident, headers, body, writer):
        """Do the work of an application and answer."""
        await asyncio.sleep(0.04)
        self.answer(ident, b'done ' + ident.encode(), writer)

    def answer(self, ident, data, writer):
        """Write a success."""
        reply = [
            ('Toucanlead-Request-Id', ident),
            ('Toucanlead-Response-Signature', f'sig.{ident}'),
            ('Keep-Alive', 'timeout=10'),
            ('Content-Length', len(data)),
        ]
        writer.write(head_bytes('HTTP/1.1 200 OK', reply) + data)


class Engine(Replica):
    """A model replica: streams `events` events, one every `gap_s`, of STRIDE tokens each."""

    events = 6
    gap_s = 0.025

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.bodies = {}
        self.tokens = {}

    async def run(self, ident, headers, body, writer):
        """Generate the events of a turn."""
        self.bodies[ident] = body
        program = headers.get('toucanlead-program-id', '')
        limit = int(headers.get('toucanlead-token-usage', '0,1000').partition(',')[2])
        count = min(self.events, limit // STRIDE)
        reply = [
            ('Content-Type', 'text/event-stream'),
            ('Toucanlead-Request-Id', ident),
            ('Toucanlead-Response-Signature', f'sig.{ident}'),
            ('Toucanlead-Weight-Versions', '1'),
            ('Transfer-Encoding', 'chunked'),
        ]
        await asyncio.sleep(0.02)
        writer.write(head_bytes('HTTP/1.1 200 OK', reply))
        began = time.monotonic()
        for number in range(1, count + 1):
            event = f'id: {number}\ndata: {ident}-{number}\n\n'.encode()
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
            self.tokens[program] = self.tokens.get(program, 0) + STRIDE
            await asyncio.sleep(max(0.0, began + number * self.gap_s - time.monotonic()))
        writer.write(b'0\r\n\r\n')


# ---- consumers --------------------------------------------------------------------------


class Answer:
    """What a consumer got: status 0 and complete False if the connection ended early."""

    def __init__(self, ident):
        self.ident, self.status, self.headers, self.body, self.complete = ident, 0, {}, b'', False
        self.sent_at = self.ended_at = time.monotonic()

    @property
    def ok(self):
        """Return whether it is a whole success."""
        return self.status == 200 and self.complete

    @property
    def seconds(self):
        """Return how long it took."""
        return self.ended_at - self.sent_at

    @property
    def tokens(self):
        """Return the tokens of the whole events in it."""
        return STRIDE * self.body.count(b'\n\n')

    def __str__(self):
        ending = 'complete' if self.complete else 'NO COMPLETE ANSWER'
        return f'{self.status or "-"} {ending}, {len(self.body)} bytes, {self.seconds:.3f} s'


class Connection:
    """A consumer's connection to an entry, which may be kept for several requests."""

    def __init__(self, record, address):
        self.record, self.address = record, address
        self.reader = self.writer = None

    @property
    def open(self):
        """Return whether the connection is open."""
        return self.writer is not None and not self.reader.at_eof()

    async def request(self, method, path, headers=(), body=b'', *, deadline_ms=4000, ident=None):
        """Send one request and return its Answer."""
        ident = ident or f'{random.getrandbits(64):016x}'
        answer = Answer(ident)
        all_headers = [
            ('Host', HOST),
            ('Toucanlead-Request-Id', ident),
            ('Toucanlead-Deadline-Ms', deadline_ms),
            *headers,
        ]
        if body or method == 'POST':
            all_headers.append(('Content-Length', len(body)))
        try:
            async with asyncio.timeout(deadline_ms / 1e3 + 1.0):
                if not self.open:
                    host, port = self.address.split(':')
                    self.reader, self.writer = await asyncio.open_connection(host, int(port))
                answer.sent_at = time.monotonic()
                self.record(f'consumer sends {ident} {method} {path} to {self.address}')
                self.writer.write(head_bytes(f'{method} {path} HTTP/1.1', all_headers) + body)
                await self._read(answer)
        except (ConnectionError, OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            self.close()
        answer.ended_at = time.monotonic()
        self.record(f'consumer gets {ident}: {answer}')
        if not answer.complete or answer.headers.get('connection', '').lower() == 'close':
            self.close()
        return answer

    async def _read(self, answer):
        head = await read_head(self.reader)
        if head is None:
            raise ConnectionResetError
        answer.status, answer.headers = int(head[0].split(' ')[1]), head[1]
        if answer.headers.get('transfer-encoding', '').lower() == 'chunked':
            while True:
                size = int((await self.reader.readline()).strip(), 16)
                chunk = await self.reader.readexactly(size + 2)
                if not size:
                    break
                answer.body += chunk[:-2]
        else:
            answer.body = await self.reader.readexactly(
                int(answer.headers.get('content-length', 0))
            )
        answer.complete = True

    def close(self):
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


def turn_headers(program, budget, limit=290, previous=None, session='s1', prompt=600):
    """Return the headers of a turn of an agent program."""
    headers = [
        ('Toucanlead-Model', 'm'),
        ('Toucanlead-Program-Id', program),
        ('Toucanlead-Session-Id', session),
        ('Toucanlead-Finish-Ms', 20000),
        ('Toucanlead-Token-Budget', budget),
        ('Toucanlead-Token-Usage', f'{prompt},{limit}'),
        ('Toucanlead-Prompt-Prefix', f'aa01:400,bb{abs(hash(program)) % 9999}:200'),
    ]
    return headers + ([('Toucanlead-Previous-Turn', previous)] if previous else [])


# ---- processes under test ---------------------------------------------------------------


class Process:
    """An entry or archive, started with the command of the deploy file."""

    def __init__(self, site, role, name, zone, store_address):
        self.site, self.role, self.name, self.zone = site, role, name, zone
        self.store_address = store_address
        self.host = site.new_host()
        self.first_start = True
        self.process = None
        self.log_path = site.folder / f'{name}.log'
        self.settings_path = site.folder / name / 'settings.toml'
        self.data = site.folder / name / 'data'
        self.settings_path.parent.mkdir()

    def address(self, what):
        """Return the host:port of one of its listening addresses."""
        return f'{self.host}:{PORTS[what]}'

    async def start(self):
        """Write the settings as the platform does, and start the program."""
        spec = self.site.deploy['roles'][self.role]
        template = (ROOT / spec['template']).read_text()
        self.settings_path.write_text(render(template, [self._fields()]))
        self.first_start = False
        command = spec['run'].replace('/etc/toucanlead/settings.toml', str(self.settings_path))
        env = {name: os.environ[name] for name in ('PATH', 'HOME', 'LANG') if name in os.environ}
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['TOUCANLEAD_SETTINGS'] = str(self.settings_path)
        with self.log_path.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *command.split(' '),
                cwd=ROOT,
                env=env,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.site.record(f'{self.name} starts at {self.host}, pid {self.process.pid}')

    def _fields(self):
        return {
            'nodeName': self.name,
            'ipAddress': self.host,
            'zone': self.zone,
            'region': ZONES[self.zone],
            'firstStart': self.first_start,
            'internalPortRange': [PORTS['internal'], PORTS['internal'] + 15],
            'seedNodes': self.site.seeds,
            'listenAddresses': {w: self.address(w) for w in ('front', 'ready', 'control')},
            'dataDirectory': str(self.data),
            'limits': {'diskMb': 390},
            'faultTolerance': {'machines': self.site.tolerance},
            'bounds': {'graceS': 8},
            'platform': {'address': self.store_address, 'writesPerS': 400, 'readsPerS': 2000},
            'zones': ZONES,
        }

    def send(self, signum):
        """Send a signal to this process."""
        self.site.record(f'{self.name} gets {signal.Signals(signum).name}')
        self.process.send_signal(signum)

    async def ready(self):
        """Return whether GET /readiness answers 200, as the platform asks it."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.host, PORTS['ready'])
                writer.write(head_bytes('GET /readiness HTTP/1.1', [('Host', self.host)]))
                head = await read_head(reader)
                writer.close()
                return bool(head) and ' 200 ' in head[0]
        except (OSError, TimeoutError):
            return False

    async def end(self):
        """End the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            await self.process.wait()


def render(template, scopes):
    """Fill in a settings template as the deploy page says (values, |json, sections)."""
    section = re.compile(r'\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}', re.S)

    def fill_section(match):
        value = lookup(match[2], scopes)
        if match[1] == '^':
            return '' if value else render(match[3], scopes)
        pairs = value.items() if isinstance(value, dict) else enumerate(value or [])
        text = ''.join(render(match[3], [{'.': item, '@': key}, *scopes]) for key, item in pairs)
        return text

    def fill_value(match):
        value = lookup(match[1], scopes)
        if match[2]:
            return json.dumps(value)
        return '' if value is None else str(value)

    text = section.sub(fill_section, template)
    return re.sub(r'\{\{([\w.@]+)(\|json)?\}\}', fill_value, text)


def lookup(name, scopes):
    """Return the value of a dotted name, from the innermost scope that has it."""
    for scope in scopes:
        if name in scope:
            return scope[name]
    value = scopes[-1]
    for part in name.split('.'):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        else:
            value = value.get(part) if isinstance(value, dict) else None
    return value


# ---- the site ---------------------------------------------------------------------------


class Site:
    """A small deployment on loopback addresses of its own."""

    def __init__(self, case, tolerance=1):
        self.case, self.tolerance = case, tolerance
        self.record = Record(case / 'record.txt')
        self.folder = Path(tempfile.mkdtemp(prefix='toucanlead-review-'))
        self.deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        self._net = self._free_net()
        self._last = 0
        self.store = Store(self.record)
        self.entries, self.archives, self.replicas = {}, {}, {}
        self.seeds = []
        self.trouble = os.environ.get('TROUBLE', '1') != '0'

    def _free_net(self):
        for _ in range(50):
            net = f'127.{random.randint(20, 250)}.{random.randint(1, 250)}'
            try:
                for port in (*PORTS.values(), 9464):
                    with socket.socket() as sock:
                        sock.bind((f'{net}.1', port))
            except OSError:
                continue
            return net
        raise CannotRun('no free loopback addresses')

    def new_host(self):
        """Return an unused loopback address."""
        self._last += 1
        return f'{self._net}.{self._last}'

    async def add_process(self, role, name, zone):
        """Create a process with an address of the store of its own."""
        store_address = await self.store.listen(self.new_host())
        process = Process(self, role, name, zone, store_address)
        (self.entries if role == 'entry' else self.archives)[name] = process
        return process

    def configure(self, version=7, llm_timeout_ms=4000, **changes):
        """Write the configuration as the operator does."""

        def route(name, prefix, kind, service, **fields):
            return {
                'name': name,
                'host': HOST,
                'pathPrefix': prefix,
                'kind': kind,
                'timeoutMs': 4000,
                'targetLatencyMs': 300,
                'priority': 0,
                'service': service,
                'maxAttempts': 1,
                **fields,
                **changes.get(name, {}),
            }

        stream = {'retentionS': 60.0, 'sticky': True, 'targetGapMs': 200}
        stream['timeoutMs'] = llm_timeout_ms
        self.store.put(
            'op/config',
            {
                'version': version,
                'routes': [
                    route(
                        'chat', CHAT, 'streaming', LLM, keepsContext=True, resumable=False, **stream
                    ),
                    route(
                        'plan', PLAN, 'streaming', LLM, keepsContext=False, resumable=True, **stream
                    ),
                    route('look', LOOK, 'safe', APP, timeoutMs=1200, maxAttempts=2),
                    route('order', ORDER, 'unsafe', APP, timeoutMs=2000),
                ],
                'services': [
                    {
                        'name': LLM,
                        'healthPath': '/health',
                        'connectionLimit': 150,
                        'protocol': 'h1',
                        'tls': False,
                        'engine': {'slots': 12, 'kvCacheTokens': 98048, 'stride': STRIDE},
                    },
                    {
                        'name': APP,
                        'healthPath': '/health',
                        'connectionLimit': 96,
                        'protocol': 'h1',
                        'tls': False,
                    },
                ],
                'limits': {
                    'headerBytes': 16384,
                    'bodyBytes': 4194304,
                    'headerTimeoutMs': 3000,
                    'idleTimeoutMs': 15000,
                },
            },
        )

    async def start(self, entries, archives, replicas, *, wait=True):
        """Start everything; `entries` and `archives` map names to zones."""
        for replica in replicas:
            self.replicas[replica.ident] = replica
            await replica.start()
        self.configure()
        for name, zone in archives.items():
            await self.add_process('archive', name, zone)
        for name, zone in entries.items():
            await self.add_process('entry', name, zone)
        self.seeds = [a.address('control') for a in self.archives.values()][:3]
        for process in [*self.archives.values(), *self.entries.values()]:
            await process.start()
        if wait:
            await self.wait_ready(self.entries.values())
            await self.wait_members(len(entries), len(archives))

    async def wait_ready(self, entries, limit_s=30.0):
        """Wait until entries are ready."""
        end = time.monotonic() + limit_s
        for entry in entries:
            while not await entry.ready():
                if time.monotonic() > end:
                    raise CannotRun(f'{entry.name} is not ready')
                await asyncio.sleep(0.1)

    async def wait_members(self, entries, archives, limit_s=20.0):
        """Wait until all processes have registered in the store, and 1.5 s more."""
        end = time.monotonic() + limit_s
        while True:
            keys = [k for k in self.store.items if k.startswith('toucanlead/peers/')]
            if sum('/entries/' in k for k in keys) >= entries and (
                sum('/archives/' in k for k in keys) >= archives
            ):
                break
            if time.monotonic() > end:
                raise CannotRun('not all processes have registered')
            await asyncio.sleep(0.1)
        await asyncio.sleep(1.5)

    def connect(self, entry):
        """Return a connection to an entry, not opened yet."""
        return Connection(self.record, entry.address('front'))

    async def request(self, entry, method, path, headers=(), body=b'', **options):
        """Send one request on a new connection."""
        conn = self.connect(entry)
        try:
            return await conn.request(method, path, headers, body, **options)
        finally:
            conn.close()

    async def turn(self, entry, program, budget, *, path=CHAT, body=b'hello', **options):
        """Send one turn on a new connection."""
        deadline_ms = options.pop('deadline_ms', 4000)
        headers = turn_headers(program, budget, **options)
        return await self.request(entry, 'POST', path + 'x', headers, body, deadline_ms=deadline_ms)

    async def close(self):
        """End all processes and remove the folder."""
        for process in [*self.entries.values(), *self.archives.values()]:
            await process.end()
        if os.environ.get('KEEP_LOGS'):
            for path in self.folder.glob('*.log'):
                shutil.copy(path, os.environ['KEEP_LOGS'])
        shutil.rmtree(self.folder, ignore_errors=True)


def main(case_file, play, limit_s=110.0):
    """Run a case: `play(site)` returns whether the rule was broken. Exits with 1, 0 or 2."""
    case = Path(case_file).resolve().parent

    async def run():
        site = Site(case)
        try:
            async with asyncio.timeout(limit_s):
                broken = await play(site)
            site.record(f'result: the rule {"was BROKEN" if broken else "held"}')
            return BROKEN if broken else HELD
        except Exception as exc:  # also an error of the script itself: exit code 1 is for the rule
            site.record(f'result: the case could not run: {exc!r}')
            return NOT_RUN
        finally:
            await site.close()

    try:
        code = asyncio.run(run())
    except CannotRun as exc:
        print(exc, file=sys.stderr)
        code = NOT_RUN
    sys.stdout.flush()
    os._exit(code)
