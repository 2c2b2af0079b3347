"""The door of an entry: admits callers by the keys of the configuration in force."""

from collections.abc import Callable

import structlog

from toucanlead_core.errors import Reason, Refusal
from toucanlead_teams.door import Admission, Credentials, admit

from .metrics import ServingMetrics
from .routes import CurrentRoutes
from .sends import OTHER_ENTRY_RETRY_AFTER_MS

log = structlog.get_logger()


class TeamDoor:
    """Admits requests of callers as teams, where the configuration lists teams."""

    def __init__(
        self, routes: CurrentRoutes, age_s: Callable[[], float | None], metrics: ServingMetrics
    ) -> None:
        """`age_s` returns how long ago this entry was last known to miss no change."""
        self._routes = routes
        self._age_s = age_s
        self._metrics = metrics

    def admit(self, request: str, host: str, path: str, credentials: Credentials) -> str | None:
        """Return the team of a request, None where callers need no keys; raise Refusal.

        The team is empty for callers of public routes without a key. A request that no route
        matches, and one before the first configuration, is left to the forwarder, which
        refuses it.
        """
        table = self._routes.table
        if table is None or not table.teams:
            return None
        route = table.match(host, path)
        if route is None:
            return ''
        age_s = self._age_s()
        verdict = admit(table.teams, route.public, credentials, age_s)
        if verdict.admission is Admission.ADMITTED:
            return verdict.team
        log.info(
            'key_refused',
            request=request,
            route=route.name,
            fault=verdict.fault.value,
            outcome=verdict.admission.value,
            config=table.version,
            age_s=None if age_s is None else round(age_s, 3),
        )
        self._metrics.key_refused(verdict.fault.value, verdict.admission.value)
        if verdict.admission is Admission.IN_DOUBT:
            reason, retry_after_ms = Reason.KEY_IN_DOUBT, OTHER_ENTRY_RETRY_AFTER_MS
            detail = 'this process may not know all keys'
        else:
            reason, retry_after_ms = Reason.UNAUTHORIZED, None
            detail = f'the key is {verdict.fault.value}'
        self._metrics.refused(reason)
        raise Refusal(reason, detail, retry_after_ms=retry_after_ms)
