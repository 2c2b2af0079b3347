"""Administration API for the configuration: presets, teams, drains, history, roll-out."""

from typing import Any

import orjson
from aiohttp import web

from toucanlead_core.codec import converter, from_json, to_json
from toucanlead_core.errors import PeerError, Reason, Refusal
from toucanlead_peer.messages import ProbeReq
from toucanlead_policy.preset import Preset

from .auth import ApiKeyAuth
from .bodies import json_object, typed_body
from .config_manager import ConfigManager
from .config_records import DRAINS_SECTION, ConfigHead, TeamEntry, preset_section, team_section
from .entry import Entry


class ConfigApi:
    """Handles operators' requests to read and change the configuration.

    The If-Match header may give the revision that a change builds on. If another
    revision is in force, the change is refused with the difference.
    """

    def __init__(self, entry: Entry, keys: ApiKeyAuth) -> None:
        """Serve requests for `entry`; `keys` decides who may make them."""
        self._entry = entry
        self._keys = keys

    @property
    def _config(self) -> ConfigManager:
        return self._entry.config

    def add_routes(self, app: web.Application) -> None:
        """Register all routes."""
        app.router.add_get('/admin/presets', self.list)
        app.router.add_get('/admin/presets/{name}', self.show)
        app.router.add_put('/admin/presets/{name}', self.put)
        app.router.add_post('/admin/presets/{name}/activate', self.activate)
        app.router.add_get('/admin/config/history', self.history)
        app.router.add_get('/admin/config/diff/{before}/{after}', self.diff)
        app.router.add_get('/admin/config/rollout', self.rollout)
        app.router.add_put('/admin/teams/{team}', self.put_team)
        app.router.add_put('/admin/drains/{address}', self.drain)
        app.router.add_delete('/admin/drains/{address}', self.undrain)
        app.router.add_get('/admin/teams', self.teams)

    async def list(self, req: web.Request) -> web.Response:
        """GET /admin/presets: all names, and the preset in force."""
        self._keys.check_viewer(req)
        names = sorted(self._config.presets())
        return _json({'in_force': self._config.head.preset, 'presets': names}, self._config)

    async def show(self, req: web.Request) -> web.Response:
        """GET /admin/presets/{name}: one preset."""
        self._keys.check_viewer(req)
        preset = self._config.presets().get(req.match_info['name'])
        if preset is None:
            raise Refusal(Reason.BAD_REQUEST, f'no preset named {req.match_info["name"]!r}')
        return _json(converter.unstructure(preset), self._config)

    async def put(self, req: web.Request) -> web.Response:
        """PUT /admin/presets/{name}: add or replace a preset."""
        author = self._keys.check_admin(req)
        name = req.match_info['name']
        body = await json_object(req)
        body['name'] = name
        preset = typed_body(orjson.dumps(body), Preset)
        sections = {preset_section(name): to_json(preset)}
        return await self._change(req, sections, None, author, f'put preset {name}')

    async def activate(self, req: web.Request) -> web.Response:
        """POST /admin/presets/{name}/activate: put a preset in force."""
        author = self._keys.check_admin(req)
        name = req.match_info['name']
        return await self._change(req, {}, name, author, f'activate preset {name}')

    async def put_team(self, req: web.Request) -> web.Response:
        """PUT /admin/teams/{team}: set its key digests, several during a key rotation."""
        author = self._keys.check_admin(req)
        name = req.match_info['team']
        body = await json_object(req)
        team = typed_body(orjson.dumps({**body, 'name': name}), TeamEntry)
        section = team_section(name)
        stored = self._config.section(section)
        group = from_json(stored.encode(), list[TeamEntry]) if stored else []
        group = sorted([*(t for t in group if t.name != name), team], key=lambda t: t.name)
        return await self._change(req, {section: to_json(group)}, None, author, f'put team {name}')

    async def teams(self, req: web.Request) -> web.Response:
        """GET /admin/teams: the teams' names."""
        self._keys.check_viewer(req)
        return _json({'teams': [team.name for team in self._config.teams()]}, self._config)

    async def drain(self, req: web.Request) -> web.Response:
        """PUT /admin/drains/{address}: send no new work to a backend server."""
        return await self._set_drain(req, drained=True)

    async def undrain(self, req: web.Request) -> web.Response:
        """DELETE /admin/drains/{address}: send it new work again."""
        return await self._set_drain(req, drained=False)

    async def _set_drain(self, req: web.Request, *, drained: bool) -> web.Response:
        author = self._keys.check_admin(req)
        address = req.match_info['address']
        others = [a for a in self._config.drains() if a != address]
        content = to_json(sorted([*others, address]) if drained else others)
        summary = f'{"drain" if drained else "undrain"} {address}'
        return await self._change(req, {DRAINS_SECTION: content}, None, author, summary)

    async def history(self, req: web.Request) -> web.Response:
        """GET /admin/config/history: all revisions, oldest first."""
        self._keys.check_viewer(req)
        heads = await self._config.history()
        rows = [
            {'revision': h.revision, 'preset': h.preset, 'author': h.author, 'summary': h.summary}
            for h in heads
        ]
        return _json({'history': rows}, self._config)

    async def diff(self, req: web.Request) -> web.Response:
        """GET /admin/config/diff/{before}/{after}: what differs between two revisions."""
        self._keys.check_viewer(req)
        heads = {str(h.revision): h for h in await self._config.history()}
        heads['0'] = ConfigHead()
        try:
            before = heads[req.match_info['before']]
            after = heads[req.match_info['after']]
        except KeyError as exc:
            raise Refusal(Reason.BAD_REQUEST, f'no revision {exc}') from None
        changes = await self._config.difference(before, after)
        return _json({'changes': converter.unstructure(changes)}, self._config)

    async def rollout(self, req: web.Request) -> web.Response:
        """GET /admin/config/rollout: the revision in force at each entry."""
        self._keys.check_viewer(req)
        entry = self._entry
        revisions: dict[str, int | None] = {entry.ctx.identity.entry: self._config.head.revision}
        for member in list(entry.slot_manager.view.members.values()):
            if member.entry not in revisions:
                revisions[member.entry] = await self._revision_at(member.peer_address)
        return _json({'entries': revisions}, self._config)

    async def _revision_at(self, address: str) -> int | None:
        req = ProbeReq(self._entry.ctx.identity.peer_address, self._config.head.revision)
        try:
            return (await self._entry.ctx.peers.probe(address, req)).revision
        except (PeerError, Refusal):
            return None

    async def _change(
        self,
        req: web.Request,
        sections: dict[str, bytes],
        preset: str | None,
        author: str,
        summary: str,
    ) -> web.Response:
        base = _if_match(req)
        try:
            head = await self._config.change(base, sections, preset, author, summary)
        except PeerError as exc:
            raise Refusal(Reason.PLATFORM_DOWN, exc.detail, peer=exc.peer) from exc
        return _json({'revision': head.revision, 'preset': head.preset}, self._config)


def _if_match(req: web.Request) -> int | None:
    text = req.headers.get('If-Match')
    if text is None:
        return None
    if not text.strip('"').isdecimal():
        raise Refusal(Reason.BAD_REQUEST, f'If-Match: expected a revision, got {text!r}')
    return int(text.strip('"'))


def _json(value: Any, config: ConfigManager) -> web.Response:
    headers = {'ETag': f'"{config.head.revision}"'}
    return web.Response(body=orjson.dumps(value), content_type='application/json', headers=headers)
