"""Polling of load reports and cache events from a bounded number of replicas per round."""

import structlog

from toucanlead_core.errors import PeerError

from .context import Context

log = structlog.get_logger()

POLL_ALL_MAX_REPLICAS = 16  # up to this many replicas, all are polled each round
REPLICAS_PER_ROUND = 4  # in a larger fleet; keeps the cost independent of its size


class LoadPoller:
    """Updates the routing state of this entry from the reports of replicas."""

    def __init__(self, ctx: Context, owned_slots: set[int]) -> None:
        """Poll only while `owned_slots` is not empty, since only owners route calls.

        The set is shared with the slot manager, which changes it.
        """
        self._owned_slots = owned_slots
        self._ctx = ctx
        self._last_event: dict[str, int] = {}

    async def poll(self) -> None:
        """Poll all replicas of a small fleet, or a random sample of a larger one."""
        if not self._owned_slots:
            return
        names = list(self._ctx.backends.engines)
        if len(names) > POLL_ALL_MAX_REPLICAS:
            names = self._ctx.rng.sample(names, REPLICAS_PER_ROUND)
        for name in names:
            try:
                await self._poll_replica(name)
            except PeerError as exc:
                log.debug('load_poll_failed', replica=name, error=str(exc))

    async def _poll_replica(self, name: str) -> None:
        engine = self._ctx.backends.engines[name]
        replica = self._ctx.fleet.replicas.get(name)
        report = await engine.load_report()
        if replica is not None:
            cache_usage = report.cache_used_tokens / max(1, report.cache_limit_tokens)
            taken_at = self._ctx.timers.now() - report.age_s
            replica.apply_load_report(report.running, report.waiting, taken_at, cache_usage)
        for event in await engine.cache_events(self._last_event.get(name, 0)):
            self._last_event[name] = max(event.number, self._last_event.get(name, 0))
            self._ctx.cache_estimates.apply_event(
                name, event.number, event.program_id, event.cached_tokens
            )
