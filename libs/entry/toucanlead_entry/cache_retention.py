"""Retention of programs' prompt caches on the engines between model calls."""

import structlog
from attrs import frozen

from toucanlead_core.errors import PeerError
from toucanlead_core.messages import Answer
from toucanlead_policy.retention import PausePredictor, Retention, choose_retention
from toucanlead_state.ledger import Program

from .context import Context

log = structlog.get_logger()

IMPORT_TOKENS_PER_S = 100_000.0
FREE_CACHE_SHARE = 0.5  # keeping a cache costs nothing up to this share of cache memory in use
PAUSE_KIND = 'person'


@frozen
class ExportedCache:
    """A cache exported to an engine's slower memory, from which any replica can load it."""

    handle: str
    replica: str
    tokens: int


class CacheRetention:
    """Keeps, exports or releases caches by predicted pause length and memory pressure."""

    def __init__(self, ctx: Context) -> None:
        """Start without observed pauses."""
        self._ctx = ctx
        self._pause_predictor = PausePredictor()
        self._exported: dict[str, ExportedCache] = {}
        self._pause_started: dict[str, tuple[str, float]] = {}

    def start_pause(self, program: Program, answer: Answer) -> None:
        """Start a pause after a model call; export or release the cache in the background."""
        now = self._ctx.timers.now()
        self._pause_started[program.program_id] = (PAUSE_KIND, now)
        tokens = answer.prompt_tokens + answer.output_tokens
        retention = self._choose_retention(answer.replica, tokens)
        if retention is not Retention.KEEP:
            coro = self._apply_retention(retention, program.program_id, answer.replica, tokens)
            self._ctx.tasks.spawn(coro, f'pause {program.program_id}')

    def end_pause(self, program: Program) -> None:
        """End a pause at the next model call, and add its length to the samples."""
        kind, started_at = self._pause_started.pop(program.program_id, (PAUSE_KIND, None))
        if started_at is not None:
            self._pause_predictor.observe(kind, self._ctx.timers.now() - started_at)

    def exported_tokens(self, program_id: str) -> int:
        """Return the size of a program's exported cache in tokens, 0 without one."""
        exported = self._exported.get(program_id)
        return exported.tokens if exported else 0

    async def load_exported(self, program_id: str, replica: str) -> None:
        """Load an exported cache at the chosen replica; if that fails, prefill recomputes it."""
        exported = self._exported.pop(program_id, None)
        if exported is None:
            return
        try:
            engine = self._ctx.backends.engines[replica]
            await engine.import_cache(program_id, exported.handle)
        except PeerError as exc:
            log.info('cache_import_failed', replica=replica, program=program_id, error=str(exc))

    def forget(self, program_id: str) -> None:
        """Drop the state of a program that ended or moved to another owner."""
        self._exported.pop(program_id, None)
        self._pause_started.pop(program_id, None)

    def _choose_retention(self, name: str, tokens: int) -> Retention:
        replica = self._ctx.fleet.replicas.get(name)
        if replica is None:
            return Retention.KEEP
        pressure = max(0.0, replica.cache_usage - FREE_CACHE_SHARE) / (1 - FREE_CACHE_SHARE)
        return choose_retention(
            self._pause_predictor.expected_s(PAUSE_KIND),
            tokens / replica.prefill_tokens_per_s,
            tokens / IMPORT_TOKENS_PER_S,
            pressure / replica.slots,
        )

    async def _apply_retention(
        self, retention: Retention, program_id: str, name: str, tokens: int
    ) -> None:
        engine = self._ctx.backends.engines[name]
        try:
            if retention is Retention.EXPORT:
                handle = await engine.export_cache(program_id)
                self._exported[program_id] = ExportedCache(handle, name, tokens)
            else:
                await engine.release(program_id)
        except PeerError as exc:
            log.info('cache_retention_failed', replica=name, program=program_id, error=str(exc))
            return
        self._ctx.cache_estimates.remove_estimate(program_id, name)
