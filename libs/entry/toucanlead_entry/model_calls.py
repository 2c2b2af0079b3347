"""Model calls: routing, streaming with timeouts, and resuming on another replica."""

import asyncio
import hashlib

from attrs import define, field

from toucanlead_backends.engine import GenerateReq, TokenUsage
from toucanlead_core.errors import (
    ExecutionStatus,
    NotSent,
    OutcomeUnknown,
    Reason,
    Refusal,
    RetryReason,
    Step,
)
from toucanlead_core.messages import Answer, Chunk, Message, count_tokens
from toucanlead_policy.admission import admit_turn
from toucanlead_policy.fleet import PendingPrefill
from toucanlead_policy.priority import PriorityInputs, engine_priority
from toucanlead_policy.retry import CircuitBreakers, RetryBudget, backoff_s
from toucanlead_policy.routing import Choice, RoutingReq
from toucanlead_state.ledger import Ledger, Program

from .cache_retention import CacheRetention
from .context import Context
from .live_call import LiveCall
from .spending import Spending
from .waiting import with_progress_timeout


@define
class _Progress:
    """State of one call across attempts; `new_tokens`, `new_bytes` are its messages' size."""

    new_tokens: int
    new_bytes: int
    attempts: int = 0
    prompt_charged: bool = False
    excluded: set[str] = field(factory=set)
    usage: TokenUsage | None = None


class ModelCalls:
    """Runs model calls for the programs of one owner."""

    def __init__(self, ctx: Context, ledger: Ledger, spending: Spending) -> None:
        """Run calls against the ledger and the budget of one incarnation of the entry."""
        self._ctx = ctx
        self._ledger = ledger
        self._spending = spending
        self._breakers = CircuitBreakers()
        self._retry_budget = RetryBudget(ctx.preset.retry_share)
        self.cache_retention = CacheRetention(ctx)
        self.replicas_used: dict[str, set[str]] = {}

    async def run(self, program: Program, live: LiveCall, opened_at: float) -> Answer:
        """Return the complete answer; raise a Refusal that says whether the call ran.

        `opened_at` is the time at which this entry opened or loaded the program.
        """
        req = live.req
        self._check_admission(program)
        self.cache_retention.end_pause(program)
        new_tokens = sum(count_tokens(m.content) for m in req.messages)
        progress = _Progress(new_tokens, sum(len(m.content) for m in req.messages))
        await self._spending.reserve(program, live, new_tokens + req.max_tokens)
        await self._ctx.step_reached(Step.RESERVE, program.program_id, req.seq)
        try:
            return await self._run_attempts(program, live, progress, opened_at)
        except asyncio.CancelledError:
            if progress.attempts:
                self._spending.spend_reserved(program, live, '')
            raise

    def _check_admission(self, program: Program) -> None:
        ctx = self._ctx
        wait_s = admit_turn(ctx.fleet, program.opened.model, ctx.preset)
        if wait_s is not None:
            raise Refusal(
                Reason.OVERLOAD,
                'the queues of the replicas are too long',
                step=Step.ROUTE,
                retry_after_ms=int(1000 * wait_s) + 1,
            )

    async def _run_attempts(
        self, program: Program, live: LiveCall, progress: _Progress, opened_at: float
    ) -> Answer:
        messages = [*program.history(), *live.req.messages]
        self._retry_budget.record_request()
        while True:
            choice = self._choose_replica(program, messages, live, progress)
            await self._ctx.step_reached(Step.ROUTE, program.program_id, live.req.seq)
            try:
                await self._stream(program, live, progress, messages, choice, opened_at)
                return self._build_answer(program, live, progress, choice)
            except NotSent as exc:
                await self._handle_not_sent(exc, live, progress, choice)
            except OutcomeUnknown as exc:
                await self._handle_unknown_outcome(exc, program, live, progress, choice)

    def _choose_replica(
        self, program: Program, messages: list[Message], live: LiveCall, progress: _Progress
    ) -> Choice:
        ctx = self._ctx
        now = ctx.timers.now()
        req = RoutingReq(
            program_id=program.program_id,
            model=program.opened.model,
            region=ctx.identity.region,
            prompt_tokens=program.tokens + progress.new_tokens,
            prompt_bytes=program.text_bytes + progress.new_bytes,
            max_tokens=live.req.max_tokens,
            exported_tokens=self.cache_retention.exported_tokens(program.program_id),
            group=_prefix_group(messages),
            group_tokens=count_tokens(messages[0].content),
        )
        excluded = self._breakers.open_breakers(now) | progress.excluded
        choice = ctx.router.choose(req, ctx.fleet, now, frozenset(excluded))
        if choice is None:
            choice = ctx.router.choose(req, ctx.fleet, now, frozenset(progress.excluded))
        if choice is None:
            raise self._refusal(Reason.NO_REPLICA, 'no replica is usable', live, Step.ROUTE)
        return choice

    async def _stream(
        self,
        program: Program,
        live: LiveCall,
        progress: _Progress,
        messages: list[Message],
        choice: Choice,
        opened_at: float,
    ) -> None:
        ctx = self._ctx
        replica = ctx.fleet.replicas[choice.replica]
        engine = ctx.backends.engines[choice.replica]
        prefill_tokens = program.tokens + progress.new_tokens - choice.cached_tokens
        req = self._generate_req(program, live, messages, opened_at)
        self.replicas_used.setdefault(program.program_id, set()).add(choice.replica)
        started_at = ctx.timers.now()
        served_s = None
        replica.record_sent(prefill_tokens, started_at)
        pending_prefill = PendingPrefill(replica, prefill_tokens)
        progress.attempts += 1
        await ctx.step_reached(Step.SEND, program.program_id, live.req.seq)
        try:
            await self.cache_retention.load_exported(program.program_id, choice.replica)
            preset = ctx.preset
            source = with_progress_timeout(
                engine.generate(req),
                preset.first_token_timeout_s,
                preset.progress_timeout_s,
                choice.replica,
            )
            with live.sending():
                async for item in source:
                    pending_prefill.stop()
                    await self._handle_item(item, program, live, progress, started_at)
            served_s = ctx.timers.now() - started_at
        finally:
            pending_prefill.stop()
            replica.record_end(ctx.timers.now(), served_s)
        self._breakers.record_success(choice.replica)

    def _generate_req(
        self, program: Program, live: LiveCall, messages: list[Message], opened_at: float
    ) -> GenerateReq:
        ctx = self._ctx
        now = ctx.timers.now()
        inputs = PriorityInputs(
            attained_tokens=self._ledger.escrow_of(program).spent,
            opened_at=opened_at,
            deadline_s=program.opened.deadline_s,
            waiting_s=now - live.started_at,
            is_sub_agent=program.opened.parent is not None,
        )
        return GenerateReq(
            request_id=ctx.nonce(),
            program_id=program.program_id,
            seq=live.req.seq,
            model=program.opened.model,
            messages=messages,
            max_tokens=live.req.max_tokens,
            priority=engine_priority(inputs, now, ctx.preset.aging_s),
            resume_from=live.tokens,
            resume_text=live.text(),
        )

    async def _handle_item(
        self,
        item: Chunk | TokenUsage,
        program: Program,
        live: LiveCall,
        progress: _Progress,
        started_at: float,
    ) -> None:
        if isinstance(item, TokenUsage):
            progress.usage = item
            return
        if live.tokens == 0:
            self._ctx.metrics.first_token.observe(self._ctx.timers.now() - started_at)
            await self._ctx.step_reached(Step.STREAM, program.program_id, live.req.seq)
        live.publish(item)

    def _build_answer(
        self, program: Program, live: LiveCall, progress: _Progress, choice: Choice
    ) -> Answer:
        usage = progress.usage or TokenUsage(0, 0, 0)
        cache_estimates = self._ctx.cache_estimates
        cache_estimates.update_confidence(
            program.program_id, choice.replica, choice.cached_tokens, usage.cached_tokens
        )
        cache_estimates.record_turn(
            program.program_id, choice.replica, usage.prompt_tokens, usage.output_tokens
        )
        group = _prefix_group([*program.messages[:1], *live.req.messages][:1])
        if group:
            cache_estimates.record_group_prefix(group, choice.replica)
        prompt_cost = 0 if progress.prompt_charged else progress.new_tokens
        return Answer(
            program_id=program.program_id,
            seq=live.req.seq,
            content=live.text(),
            cost=prompt_cost + usage.output_tokens,
            prompt_tokens=usage.prompt_tokens,
            cached_tokens=usage.cached_tokens,
            output_tokens=live.tokens,
            replica=choice.replica,
        )

    async def _handle_not_sent(
        self, exc: NotSent, live: LiveCall, progress: _Progress, choice: Choice
    ) -> None:
        self._mark_failed(choice.replica, progress)
        self._check_retry(str(exc), live, progress, choice.replica)
        self._ctx.metrics.retried(RetryReason.CONNECT_FAILED)
        await self._ctx.timers.sleep(backoff_s(progress.attempts, self._ctx.rng))

    async def _handle_unknown_outcome(
        self,
        exc: OutcomeUnknown,
        program: Program,
        live: LiveCall,
        progress: _Progress,
        choice: Choice,
    ) -> None:
        """Charge the whole reservation, then resume on another replica with a new one.

        The engine may have generated the rest of the answer after the connection
        failed, so only the whole reservation is sure to cover what it generated.
        """
        self._mark_failed(choice.replica, progress)
        self._spending.spend_reserved(program, live, choice.replica)
        self._check_retry(str(exc), live, progress, choice.replica)
        silent = 'silent' in exc.detail
        reason = RetryReason.STREAM_SILENT if silent else RetryReason.STREAM_BROKEN
        self._ctx.metrics.retried(reason)
        progress.prompt_charged = progress.prompt_charged or live.tokens > 0
        await self._renew_reservation(program, live, progress)

    async def _renew_reservation(
        self, program: Program, live: LiveCall, progress: _Progress
    ) -> None:
        tokens = live.req.max_tokens - live.tokens
        if not progress.prompt_charged:
            tokens += progress.new_tokens
        try:
            await self._spending.reserve(program, live, tokens)
        except Refusal as refusal:
            raise self._refusal(refusal.reason, refusal.detail, live, Step.RESERVE) from None

    def _mark_failed(self, name: str, progress: _Progress) -> None:
        self._breakers.record_failure(name, self._ctx.timers.now())
        progress.excluded.add(name)

    def _check_retry(self, detail: str, live: LiveCall, progress: _Progress, peer: str) -> None:
        limit = self._ctx.preset.attempts
        if progress.attempts >= limit or not self._retry_budget.take_retry():
            raise self._refusal(Reason.BACKEND_FAILED, detail, live, Step.SEND, peer)

    def _refusal(
        self, reason: Reason, detail: str, live: LiveCall, step: Step, peer: str = ''
    ) -> Refusal:
        ran = ExecutionStatus.UNKNOWN if live.may_have_run else ExecutionStatus.NOT_RUN
        return Refusal(reason, detail, ran=ran, step=step, peer=peer, retry_after_ms=500)


def _prefix_group(messages: list[Message]) -> str:
    """Return an id for the prompt prefix that programs with this system message share."""
    if not messages or messages[0].role != 'system':
        return ''
    return hashlib.blake2b(messages[0].content.encode(), digest_size=8).hexdigest()
