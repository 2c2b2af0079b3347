"""Clients of the stand-ins over the simulated network, for tests in virtual time."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import TypeVar

from toucanlead_backends.engine import (
    CacheEvent,
    EngineOrder,
    GenerateReq,
    LoadReport,
    ModelEngine,
    TokenUsage,
)
from toucanlead_backends.tool import ToolOutcome, ToolReq, ToolService
from toucanlead_core.errors import NotSent, OutcomeUnknown
from toucanlead_core.messages import Chunk
from toucanlead_kv.kv import (
    Compare,
    Delete,
    KeyValueStore,
    KvEntry,
    Put,
    TxnResult,
    WatchEvent,
)
from toucanlead_peer.messages import ForwardReq, Frame, ProbeReply, ProbeReq, TailPiece
from toucanlead_peer.transport import PeerHandler, PeerTransport

from .kv_model import KvModel
from .network import REQUEST_TIMEOUT_S, SimulatedNetwork, SimulatedProcess

T = TypeVar('T')
REQUEST_OVERHEAD_BYTES = 300


class SimulatedStoreClient(KeyValueStore):
    """Client of the key-value service over the simulated network.

    `src` is the calling process, `dst` the service's process, and `model` its state.
    """

    def __init__(
        self,
        network: SimulatedNetwork,
        src: SimulatedProcess,
        dst: SimulatedProcess,
        model: KvModel,
    ) -> None:
        self._network = network
        self._src = src
        self._dst = dst
        self._model = model

    async def get(self, key: str) -> KvEntry | None:
        """Return an entry, or None."""
        return await self._request(lambda: self._model.get(key), is_write=False)

    async def scan(self, prefix: str) -> list[KvEntry]:
        """Return all entries under a prefix, in key order."""
        return await self._request(lambda: self._model.scan(prefix), is_write=False)

    async def txn(self, compares: list[Compare], ops: list[Put | Delete]) -> TxnResult:
        """Apply all operations if all conditions hold."""
        return await self._request(lambda: self._model.txn(compares, ops), is_write=True)

    async def grant_lease(self, ttl_s: int) -> int:
        """Create a lease and return its id."""
        return await self._request(lambda: self._model.grant_lease(ttl_s), is_write=True)

    async def keep_alive(self, lease: int) -> bool:
        """Renew a lease; False when it has expired or does not exist."""
        return await self._request(lambda: self._model.keep_alive(lease), is_write=True)

    async def revoke(self, lease: int) -> None:
        """End a lease and delete its keys."""
        await self._request(lambda: self._model.revoke(lease), is_write=True)

    async def watch(self, prefix: str, from_rev: int) -> AsyncIterator[WatchEvent]:
        """Yield changes under a prefix from a revision on."""
        await self._network.send(self._src, self._dst)
        token = self._network.new_connection_token()
        revision = from_rev
        while True:
            if self._model.down:
                raise OutcomeUnknown('watch interrupted', peer=self._dst.name)
            change = self._model.next_change(prefix)
            for event in self._model.events_from(prefix, revision):
                await self._network.hang_if_broken(token, self._src, self._dst)
                revision = event.mod_rev + 1
                yield event
            await change.wait()

    async def _request(self, work: Callable[[], T], *, is_write: bool) -> T:
        await self._network.send(self._src, self._dst)
        model = self._model
        if model.down:
            await asyncio.sleep(REQUEST_TIMEOUT_S)
            raise OutcomeUnknown('no answer', peer=self._dst.name)
        await asyncio.sleep(min(model.delay_s, REQUEST_TIMEOUT_S))
        result = work()
        if is_write and model.lose_answers > 0:
            model.lose_answers -= 1
            await asyncio.sleep(REQUEST_TIMEOUT_S)
            raise OutcomeUnknown('answer lost', peer=self._dst.name)
        if model.delay_s > REQUEST_TIMEOUT_S:
            raise OutcomeUnknown('request timed out', peer=self._dst.name)
        await self._network.reply(self._dst, self._src)
        return result


class SimulatedEngineClient(ModelEngine):
    """Client of one replica over the simulated network.

    `src` is the calling process, `dst` the replica's process, and `model` the replica.
    """

    def __init__(
        self,
        network: SimulatedNetwork,
        src: SimulatedProcess,
        dst: SimulatedProcess,
        model: ModelEngine,
    ) -> None:
        self._network = network
        self._src = src
        self._dst = dst
        self._model = model

    async def generate(self, req: GenerateReq) -> AsyncIterator[Chunk | TokenUsage]:
        """Stream an answer; hangs for good once the connection is cut or silenced."""
        size = sum(len(m.content) for m in req.messages) + REQUEST_OVERHEAD_BYTES
        await self._network.send(self._src, self._dst, size)
        token = self._network.new_connection_token()
        source = self._model.generate(req)
        try:
            async for item in source:
                await self._network.hang_if_broken(token, self._dst, self._src)
                yield item
        finally:
            await source.aclose()

    async def load_report(self) -> LoadReport:
        """Return the load report."""
        return await self._request(self._model.load_report)

    async def cache_events(self, since: int) -> list[CacheEvent]:
        """Return cache events numbered above `since`."""
        return await self._request(lambda: self._model.cache_events(since))

    async def held_programs(self) -> list[str]:
        """Return the ids of programs whose caches the replica holds."""
        return await self._request(self._model.held_programs)

    async def hold(self, program_id: str) -> None:
        """Pin a program's cache."""
        await self._request(lambda: self._model.hold(program_id))

    async def release(self, program_id: str) -> None:
        """Free a program's cache."""
        await self._request(lambda: self._model.release(program_id))

    async def export_cache(self, program_id: str) -> str:
        """Move a program's cache to slower memory and return its handle."""
        return await self._request(lambda: self._model.export_cache(program_id))

    async def import_cache(self, program_id: str, handle: str) -> None:
        """Load an exported cache."""
        await self._request(lambda: self._model.import_cache(program_id, handle))

    async def order(self, order: EngineOrder) -> EngineOrder:
        """Set the wanted state; return what is set."""
        return await self._request(lambda: self._model.order(order))

    async def _request(self, work: Callable[[], Awaitable[T]]) -> T:
        return await round_trip(self._network, self._src, self._dst, work)


class SimulatedToolClient(ToolService):
    """Client of a tool service over the simulated network.

    `src` is the calling process, `dst` the service's process, and `model` the service.
    """

    def __init__(
        self,
        network: SimulatedNetwork,
        src: SimulatedProcess,
        dst: SimulatedProcess,
        model: ToolService,
    ) -> None:
        self._network = network
        self._src = src
        self._dst = dst
        self._model = model

    async def call(self, req: ToolReq) -> str:
        """Run a tool; once sent, the call runs to its end even if the caller dies."""
        await self._network.send(self._src, self._dst)
        task = asyncio.ensure_future(self._model.call(req))
        task.add_done_callback(_retrieve_exception)
        content = await asyncio.shield(task)
        await self._network.reply(self._dst, self._src)
        return content

    async def outcome(self, idempotency_key: str) -> ToolOutcome:
        """Return the outcome of an earlier call."""
        return await round_trip(
            self._network, self._src, self._dst, lambda: self._model.outcome(idempotency_key)
        )


class SimulatedPeerClient(PeerTransport):
    """Client of the other entries over the simulated network.

    `src` is the calling process; `entries` maps addresses to entries and may change later.
    """

    def __init__(
        self,
        network: SimulatedNetwork,
        src: SimulatedProcess,
        entries: dict[str, tuple[SimulatedProcess, PeerHandler]],
    ) -> None:
        self._network = network
        self._src = src
        self._entries = entries

    async def forward(self, address: str, req: ForwardReq) -> AsyncIterator[Frame]:
        """Send a request to a program's owner."""
        process, handler = self._look_up(address)
        await self._network.send(self._src, process, len(req.body) + REQUEST_OVERHEAD_BYTES)
        token = self._network.new_connection_token()
        source = handler.forward(req)
        try:
            while True:
                frame = await await_while_alive(process, anext(source, None))
                await self._network.hang_if_broken(token, process, self._src)
                if frame is None:
                    return
                yield frame
        finally:
            await source.aclose()

    async def probe(self, address: str, req: ProbeReq) -> ProbeReply:
        """Probe an entry."""
        process, handler = self._look_up(address)
        return await round_trip(self._network, self._src, process, lambda: handler.probe(req))

    async def keep_tail(self, address: str, piece: TailPiece) -> None:
        """Send an entry a copy of a journal segment that is not yet durable."""
        process, handler = self._look_up(address)
        await round_trip(self._network, self._src, process, lambda: handler.keep_tail(piece))

    async def deliver_tail(self, address: str, piece: TailPiece) -> None:
        """Send a former owner's journal segment to the new owner."""
        process, handler = self._look_up(address)
        await round_trip(self._network, self._src, process, lambda: handler.deliver_tail(piece))

    def _look_up(self, address: str) -> tuple[SimulatedProcess, PeerHandler]:
        entry = self._entries.get(address)
        if entry is None:
            raise NotSent('connection refused', peer=address)
        return entry


async def round_trip(
    network: SimulatedNetwork,
    src: SimulatedProcess,
    dst: SimulatedProcess,
    work: Callable[[], Awaitable[T]],
) -> T:
    """Send a request, run the work at its destination, and return the result."""
    await network.send(src, dst)
    result = await await_while_alive(dst, work())
    await network.reply(dst, src)
    return result


async def await_while_alive(process: SimulatedProcess, work: Awaitable[T]) -> T:
    """Await work that a process does; OutcomeUnknown when the process dies first."""
    task = asyncio.ensure_future(work)
    died = asyncio.ensure_future(process.died.wait())
    try:
        await asyncio.wait([task, died], return_when=asyncio.FIRST_COMPLETED)
        if not process.alive:
            raise OutcomeUnknown('connection reset', peer=process.name)
        return task.result()
    finally:
        died.cancel()
        if not task.done():
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)


def _retrieve_exception(fut: asyncio.Future) -> None:
    """Retrieve the exception of an abandoned call, or asyncio logs it."""
    if not fut.cancelled():
        fut.exception()
