"""API keys: stored as digests, compared in constant time."""

import hashlib
import hmac
from collections.abc import Callable

from aiohttp import web

from toucanlead_core.errors import Reason, Refusal

from .settings import Settings


def key_digest(key: str) -> str:
    """Return the digest under which a key is stored (SHA-256, hexadecimal)."""
    return hashlib.sha256(key.encode()).hexdigest()


class KeyRing:
    """The teams' and operators' keys."""

    def __init__(
        self, settings: Settings, configured: Callable[[str], str | None] = lambda digest: None
    ) -> None:
        """Index the digests; further teams come from the configuration."""
        self._teams = {digest: team.name for team in settings.teams for digest in team.key_digests}
        self._admins = list(settings.admin_key_digests)
        self._viewers = list(settings.viewer_key_digests)
        self._configured = configured

    def team_of(self, req: web.Request) -> str:
        """Return the team of a request's key, or refuse."""
        digest = key_digest(_bearer(req))
        team = self._teams.get(digest) or self._configured(digest)
        if team is None:
            raise Refusal(Reason.UNAUTHORIZED, 'unknown API key')
        return team

    def check_admin(self, req: web.Request) -> str:
        """Refuse a request without an operator's key; return a name for the key."""
        digest = key_digest(_bearer(req))
        if not _is_among(digest, self._admins):
            raise Refusal(Reason.FORBIDDEN, 'an operator key is needed')
        return f'key {digest[:8]}'

    def check_viewer(self, req: web.Request) -> None:
        """Refuse a request that may not even look."""
        digest = key_digest(_bearer(req))
        if not _is_among(digest, [*self._admins, *self._viewers]):
            raise Refusal(Reason.FORBIDDEN, 'an operator or viewer key is needed')


def _is_among(digest: str, known: list[str]) -> bool:
    matches = [hmac.compare_digest(digest, one) for one in known]  # all, in constant time
    return any(matches)


def _bearer(req: web.Request) -> str:
    scheme, _, key = req.headers.get('Authorization', '').partition(' ')
    if scheme.lower() != 'bearer' or not key:
        raise Refusal(Reason.UNAUTHORIZED, 'Authorization: Bearer KEY is needed')
    return key.strip()
