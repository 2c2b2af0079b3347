"""Daemon: runs an entry with its sockets, from its settings to a graceful stop."""

import asyncio
import random
import socket
from collections.abc import Callable
from pathlib import Path

import aiohttp
import structlog
from aiohttp import web

from toucanlead_backends.http_engine import HttpEngine
from toucanlead_backends.http_tool import HttpTool
from toucanlead_core.bounded_http import BoundedAppRunner
from toucanlead_core.connection_budget import SWEEP_PERIOD_S, ConnectionBudget
from toucanlead_core.timers import LoopTimers, TimerHandle
from toucanlead_kv.etcd import EtcdStore
from toucanlead_kv.vm_list import HttpVmList
from toucanlead_peer.grpc_transport import GrpcTransport, peer_server
from toucanlead_policy.cache_estimates import CacheEstimates
from toucanlead_policy.fleet import Fleet, ReplicaState
from toucanlead_policy.routing import ExpectedCostRouter

from .admin_api import AdminApi
from .auth import ApiKeyAuth
from .config_api import ConfigApi
from .connection_drain import ConnectionDrain
from .context import Backends, Context, Identity, Intervals, ToolSpec
from .entry import Entry
from .http_api import CallerApi, create_app
from .openai_api import ChatApi
from .settings import Settings

log = structlog.get_logger()


class Daemon:
    """One entry process.

    `port` and `admin_port` are the ports in use after `start`; port 0 in the settings
    picks a free one.
    """

    def __init__(
        self,
        settings: Settings,
        rng: random.Random,
        intervals: Intervals | None = None,
        resolve: Callable[[str], str] = str,
    ) -> None:
        """Prepare an entry; `start` opens its sockets.

        `resolve` maps each peer address to the one to connect to, where a network
        translates addresses.
        """
        self.settings = settings
        self._rng = rng
        self._intervals = intervals or Intervals()
        self._runners: list[web.AppRunner] = []
        self._session: aiohttp.ClientSession | None = None
        self._backend_session: aiohttp.ClientSession | None = None
        self._transport = GrpcTransport(resolve)
        self._peer_server = None
        self._timers = LoopTimers(self._rng)
        self._drain = ConnectionDrain(self._timers)
        self._budgets: list[ConnectionBudget] = []
        self._sweep: TimerHandle | None = None
        self.entry: Entry | None = None
        self.port = 0
        self.admin_port = 0

    async def start(self) -> None:
        """Open the sockets and start the entry."""
        entry_settings = self.settings.entry
        self._session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        self._backend_session = aiohttp.ClientSession(connector=backend_connector())
        peer_socket = socket.create_server((entry_settings.host, entry_settings.peer_port))
        peer_port = peer_socket.getsockname()[1]
        folder = Path(entry_settings.data_folder) if entry_settings.data_folder else None
        vm_list = self.settings.platform.vm_list
        vms = HttpVmList(self._session, vm_list) if vm_list else None
        self.entry = Entry(self._context(f'{entry_settings.host}:{peer_port}'), vms, folder)
        self._peer_server = peer_server(self.entry)
        await self._peer_server.start(sock=peer_socket)
        keys = ApiKeyAuth(self.settings, self.entry.config.team_of_digest)
        callers_app = create_app(self.settings.limits)
        CallerApi(self.entry, keys).add_routes(callers_app)
        ChatApi(self.entry, keys).add_routes(callers_app)
        self._drain.watch(callers_app)
        admin_app = create_app(self.settings.limits)
        AdminApi(self.entry, keys).add_routes(admin_app)
        ConfigApi(self.entry, keys).add_routes(admin_app)
        self.port = await self._listen(callers_app, entry_settings.port)
        self.admin_port = await self._listen(admin_app, entry_settings.admin_port)
        self._sweep = self._timers.every(SWEEP_PERIOD_S, self._sweep_clients, 'clients')
        await self.entry.start()
        log.info('entry_started', entry=entry_settings.name, port=self.port, peer_port=peer_port)

    async def stop(self) -> None:
        """Hand the slots over, finish all requests, then close the sockets."""
        if self.entry is not None:
            await self.entry.stop()
        await asyncio.gather(*(self._drain.drain(runner) for runner in self._runners))
        if self._sweep is not None:
            self._sweep.cancel()
        for runner in self._runners:
            await runner.cleanup()
        if self._peer_server is not None:
            self._peer_server.close()
            await self._peer_server.wait_closed()
        self._transport.close()
        for session in (self._session, self._backend_session):
            if session is not None:
                await session.close()
        log.info('entry_stopped', entry=self.settings.entry.name)

    async def _listen(self, app: web.Application, port: int) -> int:
        limits = self.settings.limits
        budget = ConnectionBudget.for_vm(
            limits.memory_mb, limits.file_descriptors, lambda: limits.body_bytes
        )
        self._budgets.append(budget)
        runner = BoundedAppRunner(
            app,
            asyncio.get_running_loop().time,
            budget,
            lambda: limits.header_bytes,
            access_log=None,
            shutdown_timeout=30.0,
        )
        await runner.setup()
        sock = socket.create_server((self.settings.entry.host, port), backlog=1024)
        await web.SockSite(runner, sock).start()
        self._runners.append(runner)
        return sock.getsockname()[1]

    async def _sweep_clients(self) -> None:
        for budget in self._budgets:
            budget.sweep(self._timers.now())

    def _context(self, peer_address: str) -> Context:
        settings = self.settings
        entry_settings = settings.entry
        cache_estimates = CacheEstimates()
        return Context(
            identity=Identity(
                entry_settings.name,
                peer_address,
                entry_settings.zone,
                entry_settings.region,
                entry_settings.slots,
            ),
            store=EtcdStore(self._session, settings.platform.key_value),
            peers=self._transport,
            backends=build_backends(settings, self._backend_session),
            timers=self._timers,
            rng=self._rng,
            router=ExpectedCostRouter(settings.preset, cache_estimates, self._rng),
            cache_estimates=cache_estimates,
            fleet=build_fleet(settings),
            preset=settings.preset,
            intervals=self._intervals,
        )


def backend_connector() -> aiohttp.BaseConnector:
    """Return a connector whose connections carry one call each.

    Answers of back ends name no request: a late second copy of one could not be told from
    the next answer.
    """
    return aiohttp.TCPConnector(limit=0, force_close=True)


def build_backends(settings: Settings, session: aiohttp.ClientSession) -> Backends:
    """Return clients of all back ends in the settings."""
    return Backends(
        engines={r.name: HttpEngine(session, r.address) for r in settings.replicas},
        services={s.name: HttpTool(session, s.address) for s in settings.services},
        tools={
            t.name: ToolSpec(t.name, t.service, t.repeatable, t.price, t.deadline_s)
            for t in settings.tools
        },
    )


def build_fleet(settings: Settings) -> Fleet:
    """Return the routing state of the replicas in the settings."""
    fleet = Fleet()
    for replica in settings.replicas:
        fleet.add(
            ReplicaState(
                replica.name,
                replica.model,
                replica.zone,
                replica.region,
                replica.slots,
                replica.prefill_tokens_per_s,
                replica.decode_token_s,
                replica.vm_address or replica.address,
            )
        )
    return fleet


async def run_until(daemon: Daemon, stop: asyncio.Event) -> None:
    """Run an entry until `stop` is set, then stop it gracefully."""
    await daemon.start()
    await stop.wait()
    await daemon.stop()
