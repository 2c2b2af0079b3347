"""API keys: stored as digests, compared in constant time."""

import hashlib
import hmac

from aiohttp import web

from toucanlead_core.errors import Reason, Refusal

from .settings import Settings


def key_digest(key: str) -> str:
    """Return the digest under which a key is stored (SHA-256, hexadecimal)."""
    return hashlib.sha256(key.encode()).hexdigest()


class KeyRing:
    """The teams' and operators' keys."""

    def __init__(self, settings: Settings) -> None:
        """Index the digests."""
        self._teams = {digest: team.name for team in settings.teams for digest in team.key_digests}
        self._admins = list(settings.admin_key_digests)

    def team_of(self, req: web.Request) -> str:
        """Return the team of a request's key, or refuse."""
        digest = key_digest(_bearer(req))
        team = self._teams.get(digest)
        if team is None:
            raise Refusal(Reason.UNAUTHORIZED, 'unknown API key')
        return team

    def check_admin(self, req: web.Request) -> None:
        """Refuse a request without an operator's key."""
        digest = key_digest(_bearer(req))
        if not any(hmac.compare_digest(digest, known) for known in self._admins):
            raise Refusal(Reason.FORBIDDEN, 'an operator key is needed')


def _bearer(req: web.Request) -> str:
    scheme, _, key = req.headers.get('Authorization', '').partition(' ')
    if scheme.lower() != 'bearer' or not key:
        raise Refusal(Reason.UNAUTHORIZED, 'Authorization: Bearer KEY is needed')
    return key.strip()
