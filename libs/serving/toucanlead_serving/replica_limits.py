"""Rate limits that replicas name in their answers, as this entry knows them."""

import structlog
from attrs import define, field

from toucanlead_core.timers import Timers

from .metrics import ServingMetrics
from .registry import Replica

log = structlog.get_logger()

LOGGED_CHANGE = 0.1  # relative change of a limit that gets a log line


@define
class _KnownLimit:
    """A limit as last named; the counts are of requests that this entry has sent since."""

    per_s: float
    since: float
    logged_per_s: float
    sent: int = 0


@define(eq=False)
class ReplicaLimits:
    """The limits that replicas name, by run of a replica."""

    _timers: Timers
    _metrics: ServingMetrics
    _known: dict[str, _KnownLimit] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Add the gauge of replicas that name a limit."""
        self._metrics.gauge(
            'toucanlead_limited_replicas', 'Replicas naming a limit', lambda: len(self._known)
        )

    def record_sent(self, replica: Replica) -> None:
        """Count a request to a replica."""
        known = self._known.get(replica.run)
        if known is not None:
            known.sent += 1
            self._metrics.sent_to_limited()

    def observe(self, replica: Replica, per_s: float | None) -> None:
        """Record the limit in an answer, None if the answer names none."""
        now = self._timers.now()
        known = self._known.get(replica.run)
        if per_s is None:
            if known is not None:
                del self._known[replica.run]
                self._log_change(replica, known, None, now)
            return
        if known is None:
            self._known[replica.run] = known = _KnownLimit(per_s, now, per_s)
            self._log_change(replica, None, per_s, now)
        elif abs(per_s - known.logged_per_s) > LOGGED_CHANGE * known.logged_per_s:
            self._log_change(replica, known, per_s, now)
            known.logged_per_s = per_s
        known.per_s = per_s

    def keep_only(self, runs: set[str]) -> None:
        """Forget the limits of replicas that no longer exist."""
        for run in self._known.keys() - runs:
            del self._known[run]

    def _log_change(
        self, replica: Replica, known: _KnownLimit | None, per_s: float | None, now: float
    ) -> None:
        log.info(
            'replica_limit_changed',
            replica=replica.ident,
            service=replica.record.service,
            per_s='none' if per_s is None else round(per_s, 3),
            before='none' if known is None else round(known.logged_per_s, 3),
            sent=known.sent if known else 0,
            age_s=round(now - known.since, 3) if known else 0.0,
        )
