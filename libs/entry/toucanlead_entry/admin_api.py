"""Administration API for operators, served on its own port with its own keys."""

from typing import Any

import orjson
from aiohttp import web

from toucanlead_core.codec import converter, to_json
from toucanlead_core.errors import PeerError, Reason, Refusal
from toucanlead_core.messages import ProgramView
from toucanlead_peer.messages import ForwardReq, Operation, Result

from .auth import ApiKeyAuth
from .bodies import typed_body
from .entry import Entry
from .local_service import Doubt, Resolution


class AdminApi:
    """Handles requests about this entry, about calls in doubt and about programs."""

    def __init__(self, entry: Entry, keys: ApiKeyAuth) -> None:
        """Serve requests for `entry`; `keys` decides who may make them."""
        self._entry = entry
        self._keys = keys

    def add_routes(self, app: web.Application) -> None:
        """Register all routes."""
        app.router.add_get('/admin/status', self.status)
        app.router.add_get('/admin/doubts', self.doubts)
        app.router.add_post('/admin/doubts/{program}/{seq}', self.resolve)
        app.router.add_get('/admin/programs/{team}/{program}', self.show)
        app.router.add_delete('/admin/programs/{team}/{program}', self.end)

    async def status(self, req: web.Request) -> web.Response:
        """GET /admin/status: the state of this entry."""
        self._keys.check_viewer(req)
        return _json(entry_status(self._entry))

    async def doubts(self, req: web.Request) -> web.Response:
        """GET /admin/doubts: calls in doubt at all entries, and the entries not reached."""
        self._keys.check_admin(req)
        found: list[Doubt] = list(self._entry.local_service.doubts())
        unreachable: list[str] = []
        own_name = self._entry.ctx.identity.entry
        for member in self._entry.slot_manager.view.members.values():
            if member.entry == own_name:
                continue
            try:
                found.extend(await self._fetch_doubts(member.peer_address))
            except (PeerError, Refusal):
                unreachable.append(member.entry)
        return _json({'doubts': converter.unstructure(found), 'unread': unreachable})

    async def resolve(self, req: web.Request) -> web.Response:
        """POST /admin/doubts/{program}/{seq}: settle a call in doubt."""
        self._keys.check_admin(req)
        resolution = typed_body(await req.read(), Resolution)
        seq = req.match_info['seq']
        if not seq.isdecimal():
            raise Refusal(Reason.BAD_REQUEST, f'seq: expected a number, got {seq!r}')
        forward = ForwardReq(
            Operation.RESOLVE, '', req.match_info['program'], int(seq), to_json(resolution)
        )
        await self._entry.gateway.result(forward, bool)
        return _json({'resolved': True})

    async def show(self, req: web.Request) -> web.Response:
        """GET /admin/programs/{team}/{program}: the state of a program."""
        return await self._forward_to_owner(req, Operation.SHOW)

    async def end(self, req: web.Request) -> web.Response:
        """DELETE /admin/programs/{team}/{program}: end a program."""
        return await self._forward_to_owner(req, Operation.END)

    async def _forward_to_owner(self, req: web.Request, operation: Operation) -> web.Response:
        self._keys.check_admin(req)
        forward = ForwardReq(operation, req.match_info['team'], req.match_info['program'])
        view = await self._entry.gateway.result(forward, ProgramView)
        return _json(converter.unstructure(view))

    async def _fetch_doubts(self, address: str) -> list[Doubt]:
        forward = ForwardReq(Operation.DOUBTS, '', '')
        async for frame in self._entry.ctx.peers.forward(address, forward):
            if isinstance(frame, Result):
                return converter.structure(orjson.loads(frame.body), list[Doubt])
        return []


def entry_status(entry: Entry) -> dict[str, Any]:
    """Return the body of /admin/status."""
    slot_manager = entry.slot_manager
    now = entry.ctx.timers.now()
    owner = slot_manager.owner
    return {
        'entry': entry.ctx.identity.entry,
        'holder': owner.holder if owner else None,
        'ready': entry.ready,
        'members': sorted(slot_manager.view.members),
        'slots': len(slot_manager.owned),
        'programs': len(owner.ledger.programs) if owner else 0,
        'in_progress': owner.in_progress if owner else 0,
        'journal_healthy': owner.journal.healthy if owner else False,
        'view_age_s': round(now - slot_manager.view.read_at, 3),
        'doubts': len(owner.doubts()) if owner else 0,
        'tails_kept': entry.tails.kept,
        'preset': entry.ctx.preset.name,
        'config_revision': entry.config.head.revision,
        'config_in_force_s': round(now - entry.config.in_force_since, 3),
        'config_age_s': round(now - entry.config.last_read_at, 3),
        'replicas': {
            name: {'outstanding': state.outstanding(), 'leaving': state.leaving}
            for name, state in sorted(entry.ctx.fleet.replicas.items())
        },
    }


def _json(value: Any) -> web.Response:
    return web.Response(body=orjson.dumps(value), content_type='application/json')
