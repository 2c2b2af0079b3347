"""A customer's site on loopback: entries, stand-ins, and the link between regions."""

import asyncio
import random
import socket
from contextlib import AsyncExitStack

import aiohttp
from aiohttp import web
from attrs import define, field, frozen

from toucanlead_core.messages import Message
from toucanlead_entry.auth import key_digest
from toucanlead_entry.context import Intervals
from toucanlead_entry.daemon import Daemon
from toucanlead_entry.settings import (
    EntrySection,
    PlatformSection,
    ReplicaSection,
    ServiceSection,
    Settings,
    TeamSection,
    ToolSection,
)
from toucanlead_kv.vm_list import Vm, VmState
from toucanlead_policy.preset import Preset
from toucanlead_standins.backend_servers import EngineServer, ToolServer, VmListServer
from toucanlead_standins.engine_model import EngineModel, EngineRates
from toucanlead_standins.kv_model import KvModel
from toucanlead_standins.kv_server import KvServer
from toucanlead_standins.link_proxy import Link, LinkProxy
from toucanlead_standins.recorder import Recorder
from toucanlead_standins.tool_model import EFFECT_TOOLS, ToolModel

from .workload import WORKLOAD_SHAPES, WorkloadShape

HOST = '127.0.0.1'
REGION_LATENCY_S = 0.020
LINK_BYTES_PER_S = 15e6 / 8
SLOTS = 16
DECODE_TOKEN_S = 0.002
TOOL_PRICE = 1


@frozen
class EntryPlace:
    """Where one entry runs."""

    name: str
    zone: str
    region: str


@frozen
class SitePlan:
    """A customer's entries, home region and zones, and number of replicas.

    `caller_latency_s` is the one-way latency between callers and entries.
    """

    customer: str
    entries: tuple[EntryPlace, ...]
    home_region: str
    home_zones: tuple[str, ...]
    engines: int
    caller_latency_s: float


SITE_PLANS = {
    'flamaviva': SitePlan(
        'flamaviva',
        (
            EntryPlace('norte-1', 'norte-a', 'norte'),
            EntryPlace('centro-1', 'centro-a', 'centro'),
            EntryPlace('centro-2', 'centro-a', 'centro'),
        ),
        'centro',
        ('centro-a', 'centro-b'),
        6,
        0.003,
    ),
    'kushiro': SitePlan(
        'kushiro',
        (
            EntryPlace('sapporo-1', 'sapporo-a', 'doo'),
            EntryPlace('kushiro-1', 'kushiro-a', 'doto'),
            EntryPlace('kushiro-2', 'kushiro-a', 'doto'),
        ),
        'doto',
        ('kushiro-a', 'nemuro-a'),
        5,
        0.001,
    ),
}


@define
class Site:
    """The running entries and stand-ins of one customer."""

    plan: SitePlan
    recorder: Recorder = field(factory=Recorder)
    link: Link = field(factory=lambda: Link(REGION_LATENCY_S, LINK_BYTES_PER_S))
    exports: dict[str, list[Message]] = field(factory=dict)
    kv: KvModel | None = None
    engines: list[EngineModel] = field(factory=list)
    tools: ToolModel | None = None
    app: ToolModel | None = None
    daemons: list[Daemon] = field(factory=list)
    session: aiohttp.ClientSession | None = None
    _stack: AsyncExitStack = field(factory=AsyncExitStack)
    _local_addresses: dict[str, str] = field(factory=dict)
    _remote_addresses: dict[str, str] = field(factory=dict)
    _peer_ports: dict[str, int] = field(factory=dict)

    @property
    def shape(self) -> WorkloadShape:
        """Return the shape of the customer's workload."""
        return WORKLOAD_SHAPES[self.plan.customer]

    @property
    def caller_addresses(self) -> list[str]:
        """Return the entries' addresses for callers, as host:port."""
        return [f'{HOST}:{daemon.port}' for daemon in self.daemons]

    async def start(self, preset: Preset | None = None, intervals: Intervals | None = None) -> None:
        """Start stand-ins and entries, and wait until every slot has an owner."""
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        self._stack.push_async_callback(self.session.close)
        await self._start_platform()
        await self._start_backends()
        for place in self.plan.entries:
            await self._reserve_peer_port(place)
        for place in self.plan.entries:
            await self.start_entry(place, preset or Preset(), intervals or Intervals())
        await self.wait_until_owned()

    async def start_entry(self, place: EntryPlace, preset: Preset, intervals: Intervals) -> Daemon:
        """Start one entry at its place."""
        settings = self.settings_for(place, preset)
        rng = random.Random(place.name)
        daemon = Daemon(settings, rng, intervals, resolve=self._resolver(place.region))
        await daemon.start()
        self.daemons.append(daemon)
        return daemon

    async def wait_until_owned(self, limit_s: float = 15.0) -> None:
        """Wait until every entry sees an owner for each slot; TimeoutError after `limit_s`."""
        async with asyncio.timeout(limit_s):
            while not all(len(d.entry.slot_manager.view.slots) == SLOTS for d in self.daemons):
                await asyncio.sleep(0.05)

    async def stop(self) -> None:
        """Stop the entries, each after its running calls, then the stand-ins."""
        for daemon in self.daemons:
            await daemon.stop()
        await self._stack.aclose()

    def settings_for(self, place: EntryPlace, preset: Preset) -> Settings:
        """Return an entry's settings; it reaches another region's services through the link."""
        is_remote = place.region != self.plan.home_region
        addresses = self._remote_addresses if is_remote else self._local_addresses
        tools = sorted(EFFECT_TOOLS | {self.shape.lookup})
        return Settings(
            entry=EntrySection(
                place.name,
                place.zone,
                place.region,
                HOST,
                0,
                self._peer_ports.get(place.name, 0),
                0,
                SLOTS,
            ),
            platform=PlatformSection(addresses['kv'], addresses['vms']),
            replicas=[self._replica(engine, addresses) for engine in self.engines],
            services=[ServiceSection(n, addresses[n]) for n in ('tools', 'app')],
            tools=[ToolSection(t, 'tools', t not in EFFECT_TOOLS, TOOL_PRICE, 5.0) for t in tools]
            + [ToolSection(self.shape.app_tool, 'app', True, TOOL_PRICE, 5.0)],
            teams=[
                TeamSection(team, [key_digest(team_key(team))])
                for team in (f'{self.plan.customer}-{n}' for n in range(self.shape.teams))
            ],
            preset=preset,
            admin_key_digests=[key_digest('operator-key')],
        )

    def held_program_names(self) -> list[str]:
        """Return the names of programs whose cache any engine holds."""
        return [name for engine in self.engines for name in engine.held_program_names()]

    def _replica(self, engine: EngineModel, addresses: dict[str, str]) -> ReplicaSection:
        number = self.engines.index(engine)
        zone = self.plan.home_zones[number % len(self.plan.home_zones)]
        return ReplicaSection(
            engine.name,
            addresses[engine.name],
            self.shape.model,
            zone,
            self.plan.home_region,
            self._local_addresses[engine.name],
        )

    async def _start_platform(self) -> None:
        self.kv = KvModel(asyncio.get_running_loop().time)
        await self._serve('kv', KvServer(self.kv).app())
        await self._serve('vms', VmListServer(self._vms).app())

    async def _start_backends(self) -> None:
        for number in range(self.plan.engines):
            name = f'{self.shape.model}-{number}'
            rates = EngineRates(decode_token_s=DECODE_TOKEN_S)
            engine = EngineModel(name, self.recorder, rates, self.exports)
            self.engines.append(engine)
            await self._serve(name, EngineServer(engine).app())
        prices = dict.fromkeys([*EFFECT_TOOLS, self.shape.lookup], TOOL_PRICE)
        self.tools = ToolModel('tools', self.recorder, prices=prices)
        self.app = ToolModel('app', self.recorder, prices={self.shape.app_tool: TOOL_PRICE})
        await self._serve('tools', ToolServer(self.tools).app())
        await self._serve('app', ToolServer(self.app).app())

    async def _serve(self, name: str, app: web.Application) -> None:
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.5)
        await runner.setup()
        sock = socket.create_server((HOST, 0), backlog=1024)
        await web.SockSite(runner, sock).start()
        self._stack.push_async_callback(runner.cleanup)
        port = sock.getsockname()[1]
        self._local_addresses[name] = f'{HOST}:{port}'
        self._remote_addresses[name] = await self._start_link_proxy(port)

    async def _start_link_proxy(self, port: int) -> str:
        proxy = LinkProxy(self.link, HOST, port, direction='home')
        await proxy.start()
        self._stack.push_async_callback(proxy.stop)
        return proxy.address

    async def _reserve_peer_port(self, place: EntryPlace) -> None:
        """Pick the entry's peer port in advance, and start its link proxy for other regions."""
        with socket.create_server((HOST, 0)) as sock:
            port = sock.getsockname()[1]
        self._peer_ports[place.name] = port
        self._remote_addresses[f'{HOST}:{port}'] = await self._start_link_proxy(port)

    def _resolver(self, region: str):
        """Return a function that maps a peer address to the one used from this region."""
        places = {p.name: p for p in self.plan.entries}
        regions = {f'{HOST}:{port}': places[name].region for name, port in self._peer_ports.items()}

        def resolve(address: str) -> str:
            same_region = regions.get(address, region) == region
            return address if same_region else self._remote_addresses[address]

        return resolve

    def _vms(self) -> list[Vm]:
        return [
            Vm(self._local_addresses[e.name], self.plan.home_zones[0], VmState.LIVE)
            for e in self.engines
        ]


def team_key(team: str) -> str:
    """Return the API key of a team at the site."""
    return f'key-of-{team}'
