"""Tool and application calls; a call that must not run twice is claimed durably first."""

import asyncio

from toucanlead_backends.tool import OutcomeState, ToolReq
from toucanlead_core.errors import (
    ExecutionStatus,
    NotSent,
    OutcomeUnknown,
    PeerError,
    Reason,
    Refusal,
    RetryReason,
    Step,
)
from toucanlead_core.messages import Answer
from toucanlead_policy.retry import RetryBudget, backoff_s
from toucanlead_state.budget import Escrow
from toucanlead_state.ledger import Program
from toucanlead_state.records import Claimed, Unclaimed

from .context import Context, ToolSpec
from .journal import Journal
from .live_call import LiveCall
from .spending import Spending
from .waiting import completes_within

OUTCOME_QUERIES = 3
OUTCOME_QUERY_DELAY_S = 0.2


class ToolCalls:
    """Runs tool calls for the programs of one owner."""

    def __init__(self, ctx: Context, journal: Journal, spending: Spending) -> None:
        """Run calls with the journal and the budget of one incarnation of the entry."""
        self._ctx = ctx
        self._journal = journal
        self._spending = spending
        self._retry_budget = RetryBudget(ctx.preset.retry_share)
        self._withdrawn_claims: set[tuple[str, int]] = set()
        self._in_doubt_reserved: dict[tuple[str, int], int] = {}

    def in_doubt(self, program: Program, seq: int) -> bool:
        """Return whether an earlier attempt of the call may have run."""
        return seq in program.claims and (program.program_id, seq) not in self._withdrawn_claims

    def release_in_doubt(self, program: Program, seq: int, escrow: Escrow) -> None:
        """Release the reservation of a resolved call in doubt."""
        escrow.unreserve(self._in_doubt_reserved.pop((program.program_id, seq), 0))

    async def run(self, program: Program, live: LiveCall) -> Answer:
        """Return the answer; raise a Refusal that says whether the call ran."""
        spec = self._ctx.backends.tools.get(live.req.tool)
        if spec is None or spec.service not in self._ctx.backends.services:
            raise Refusal(Reason.UNKNOWN_TOOL, live.req.tool, step=Step.ROUTE)
        await self._spending.reserve(program, live, spec.price)
        await self._ctx.step_reached(Step.RESERVE, program.program_id, live.req.seq)
        if spec.repeatable:
            content = await self._run_repeatable(program, live, spec)
        else:
            content = await self._run_claimed(program, live, spec)
        return tool_answer(program.program_id, live.req.seq, content, spec)

    async def _run_repeatable(self, program: Program, live: LiveCall, spec: ToolSpec) -> str:
        self._retry_budget.record_request()
        attempt = 0
        while True:
            attempt += 1
            try:
                return await self._send(program, live, spec)
            except PeerError as exc:
                if isinstance(exc, OutcomeUnknown):
                    self._spending.spend_reserved(program, live, '')
                if attempt >= self._ctx.preset.attempts or not self._retry_budget.take_retry():
                    raise self._failure_refusal(exc, live, spec) from exc
                self._ctx.metrics.retried(RetryReason.CONNECT_FAILED)
            if live.reserved < spec.price:
                await self._spending.reserve(program, live, spec.price)
            await self._ctx.timers.sleep(backoff_s(attempt, self._ctx.rng))

    async def _run_claimed(self, program: Program, live: LiveCall, spec: ToolSpec) -> str:
        await self._claim(program, live, spec)
        await self._ctx.step_reached(Step.CLAIM, program.program_id, live.req.seq)
        try:
            return await self._send(program, live, spec)
        except NotSent as exc:
            await self._withdraw_claim(program, live)
            raise self._failure_refusal(exc, live, spec) from exc
        except OutcomeUnknown as exc:
            content = await self._query_outcome(program, live, spec)
            if content is not None:
                return content
            self._in_doubt_reserved[program.program_id, live.req.seq] = live.reserved
            live.reserved = 0
            raise self._in_doubt_refusal(str(exc), spec) from exc

    async def _claim(self, program: Program, live: LiveCall, spec: ToolSpec) -> None:
        key = idempotency_key(program.program_id, live.req.seq)
        claim = Claimed(program.program_id, live.req.seq, live.digest, spec.name, key, spec.price)
        self._withdrawn_claims.discard((program.program_id, live.req.seq))
        future = self._journal.append([claim], urgent=True)
        if not await completes_within(self._ctx.timers, future, self._ctx.preset.claim_wait_s):
            self._append_unclaimed(program, live)
            raise Refusal(
                Reason.PLATFORM_DOWN,
                'the claim could not be made durable in time',
                step=Step.CLAIM,
                peer='key-value service',
                retry_after_ms=1000,
            )

    async def _withdraw_claim(self, program: Program, live: LiveCall) -> None:
        future = self._append_unclaimed(program, live)
        await completes_within(self._ctx.timers, future, self._ctx.preset.claim_wait_s)

    def _append_unclaimed(self, program: Program, live: LiveCall) -> asyncio.Future:
        self._withdrawn_claims.add((program.program_id, live.req.seq))
        return self._journal.append([Unclaimed(program.program_id, live.req.seq)], urgent=True)

    async def _send(self, program: Program, live: LiveCall, spec: ToolSpec) -> str:
        req = ToolReq(
            program.program_id,
            live.req.seq,
            spec.name,
            live.req.args,
            idempotency_key(program.program_id, live.req.seq),
        )
        await self._ctx.step_reached(Step.SEND, program.program_id, live.req.seq)
        service = self._ctx.backends.services[spec.service]
        try:
            with live.sending():
                return await asyncio.wait_for(service.call(req), spec.deadline_s)
        except TimeoutError:
            raise OutcomeUnknown(
                f'no answer in {spec.deadline_s:g} s', step=Step.ANSWER, peer=spec.service
            ) from None

    async def _query_outcome(self, program: Program, live: LiveCall, spec: ToolSpec) -> str | None:
        service = self._ctx.backends.services[spec.service]
        key = idempotency_key(program.program_id, live.req.seq)
        for _ in range(OUTCOME_QUERIES):
            try:
                outcome = await service.outcome(key)
                if outcome.state is OutcomeState.DONE:
                    return outcome.content
            except PeerError:
                self._ctx.metrics.retried(RetryReason.ANSWER_LOST)
            await self._ctx.timers.sleep(OUTCOME_QUERY_DELAY_S)
        return None

    def _failure_refusal(self, exc: PeerError, live: LiveCall, spec: ToolSpec) -> Refusal:
        ran = ExecutionStatus.UNKNOWN if live.may_have_run else ExecutionStatus.NOT_RUN
        timed_out = 'no answer in' in exc.detail
        reason = Reason.TOOL_TIMEOUT if timed_out else Reason.BACKEND_FAILED
        return Refusal(
            reason, exc.detail, ran=ran, step=Step.SEND, peer=spec.service, retry_after_ms=500
        )

    def _in_doubt_refusal(self, detail: str, spec: ToolSpec) -> Refusal:
        return Refusal(
            Reason.IN_DOUBT,
            f'{detail}; the call may have run and is not sent again',
            ran=ExecutionStatus.UNKNOWN,
            step=Step.ANSWER,
            peer=spec.service,
            retry_after_ms=2000,
        )


def idempotency_key(program_id: str, seq: int) -> str:
    """Return the idempotency key that identifies a call to its tool service."""
    return f'{program_id}-{seq}'


def tool_answer(program_id: str, seq: int, content: str, spec: ToolSpec) -> Answer:
    """Return the answer to a tool call, which costs the price of the tool."""
    return Answer(program_id, seq, content, cost=spec.price, replica=spec.service)
