"""API key authentication; keys are stored as digests and compared in constant time."""

import hashlib
import hmac
from collections.abc import Callable

from aiohttp import web

from toucanlead_core.errors import Reason, Refusal

from .settings import Settings


def key_digest(key: str) -> str:
    """Return the hexadecimal SHA-256 digest of a key; only digests are stored."""
    return hashlib.sha256(key.encode()).hexdigest()


class ApiKeyAuth:
    """Authenticates requests against the key digests of teams, operators and viewers."""

    def __init__(
        self, settings: Settings, configured_team: Callable[[str], str | None] = lambda digest: None
    ) -> None:
        """Index the digests in `settings`.

        `configured_team` returns the team of a digest in the stored configuration, or None.
        """
        self._team_by_digest = {
            digest: team.name for team in settings.teams for digest in team.key_digests
        }
        self._admin_digests = list(settings.admin_key_digests)
        self._viewer_digests = list(settings.viewer_key_digests)
        self._configured_team = configured_team

    def team_of(self, req: web.Request) -> str:
        """Return the team that a request's key belongs to; raise Refusal if there is none."""
        digest = key_digest(_bearer_key(req))
        team = self._team_by_digest.get(digest) or self._configured_team(digest)
        if team is None:
            raise Refusal(Reason.UNAUTHORIZED, 'the API key is not known')
        return team

    def check_admin(self, req: web.Request) -> str:
        """Raise Refusal without an operator key; return a label of the key for the change log."""
        digest = key_digest(_bearer_key(req))
        if not _contains_digest(digest, self._admin_digests):
            raise Refusal(Reason.FORBIDDEN, 'this request requires an operator key')
        return f'key {digest[:8]}'

    def check_viewer(self, req: web.Request) -> None:
        """Raise Refusal without an operator or viewer key."""
        digest = key_digest(_bearer_key(req))
        if not _contains_digest(digest, [*self._admin_digests, *self._viewer_digests]):
            raise Refusal(Reason.FORBIDDEN, 'this request requires an operator or viewer key')


def _contains_digest(digest: str, digests: list[str]) -> bool:
    # Comparing with every digest keeps the time independent of which one matches.
    matches = [hmac.compare_digest(digest, candidate) for candidate in digests]
    return any(matches)


def _bearer_key(req: web.Request) -> str:
    scheme, _, key = req.headers.get('Authorization', '').partition(' ')
    if scheme.lower() != 'bearer' or not key:
        raise Refusal(Reason.UNAUTHORIZED, 'expected the header Authorization: Bearer KEY')
    return key.strip()
