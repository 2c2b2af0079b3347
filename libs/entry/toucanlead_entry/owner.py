"""Execution of the calls of the programs that one incarnation of the entry owns."""

import asyncio
from collections.abc import AsyncIterator

import structlog
from attrs import define, evolve, field

from toucanlead_core.errors import ExecutionStatus, Fenced, Reason, Refusal, Step
from toucanlead_core.messages import (
    Answer,
    CallKind,
    CallReq,
    Chunk,
    Durability,
    Message,
    ProgramSpec,
    ProgramView,
    count_tokens,
)
from toucanlead_policy.admission import admit_program
from toucanlead_policy.limits import TeamLimits, exceeded_limit
from toucanlead_state.ledger import Ledger, Program
from toucanlead_state.records import (
    Adopted,
    Ended,
    Finished,
    Granted,
    Opened,
    Record,
    Unclaimed,
)

from .context import Context
from .journal import Journal
from .live_call import LiveCall
from .model_calls import ModelCalls
from .spending import Spending
from .tool_calls import ToolCalls, tool_answer
from .waiting import completes_within

log = structlog.get_logger()

FIRST_GRANT_SHARE = 0.125  # small, since a takeover counts open grants as spent
FIRST_GRANT_LIMIT_TOKENS = 4096


@define
class ProgramRuntime:
    """State of a program that is kept in memory only; eviction and takeover discard it."""

    opened_at: float
    last_used_at: float
    call_finished: asyncio.Event = field(factory=asyncio.Event)
    running_seq: int | None = None
    ending: bool = False
    recent_digests: list[str] = field(factory=list)


class Owner:
    """Runs the calls of each program in order, and records their outcomes before answering."""

    def __init__(self, ctx: Context, holder: str, guard_rev: int) -> None:
        """Start without programs.

        `holder` names the incarnation of the entry, `guard_rev` is the revision of its record
        in the key-value service.
        """
        self.holder = holder
        self.ledger = Ledger()
        self.journal = Journal(ctx, holder, guard_rev, self._on_durable, self._on_fenced)
        self.spending = Spending(ctx, self.ledger, self.journal)
        self.models = ModelCalls(ctx, self.ledger, self.spending)
        self.tools = ToolCalls(ctx, self.journal, self.spending)
        self.cache_retention = self.models.cache_retention
        self.uncommitted_records: list[Record] = []
        self._ctx = ctx
        self._team_limits = TeamLimits()
        self._runtimes: dict[str, ProgramRuntime] = {}
        self._live_calls: dict[tuple[str, int], LiveCall] = {}
        self._applied_early: set[int] = set()
        self._evicted_ended: dict[str, bool] = {}
        self.on_ended = lambda program: None
        self.on_fenced = lambda: None
        self.on_durable = lambda records, index: None
        self.copy_to_peers = None

    def start(self) -> None:
        """Start the background task that writes the journal."""
        self._ctx.tasks.spawn(self.journal.run(), f'journal {self.holder}')

    @property
    def in_progress(self) -> int:
        """Return the number of calls in progress."""
        return len(self._live_calls)

    def has_calls_in_progress(self, program_ids: set[str]) -> bool:
        """Return whether any of these programs has a call in progress."""
        return any(program_id in program_ids for program_id, _ in self._live_calls)

    def runtime(self, program_id: str) -> ProgramRuntime:
        """Return the in-memory state of a program, created on first use."""
        now = self._ctx.timers.now()
        return self._runtimes.setdefault(program_id, ProgramRuntime(now, now))

    async def open(self, team: str, program_id: str, spec: ProgramSpec) -> ProgramView:
        """Open a program; a repeat with the same key and body returns the same program."""
        digest = _spec_digest(spec)
        existing = self.ledger.programs.get(program_id)
        if existing is not None:
            return self._existing_view(existing, team, digest)
        self._check_open(team, spec)
        share = 0 if spec.parent else int(spec.budget * FIRST_GRANT_SHARE)
        grant = min(share, FIRST_GRANT_LIMIT_TOKENS)
        record = Opened(
            program_id,
            team,
            spec.model,
            spec.budget,
            spec.key,
            spec.deadline_s,
            spec.parent,
            grant,
            digest,
        )
        await self._write_durably([record], Step.ACCEPT)
        return self.ledger.view(self._find_program(team, program_id), with_history=False)

    async def call(
        self, team: str, program_id: str, req: CallReq, from_offset: int
    ) -> AsyncIterator[Chunk | Answer]:
        """Yield the chunks and the answer of a call; start it unless it is stored or in progress.

        Chunks before `from_offset`, in tokens, are left out.
        """
        program = self._find_program(team, program_id)
        stored = self._stored_answer(program, req)
        if stored is not None:
            yield stored
            return
        live = self._join_or_start(program, req)
        async for item in live.follow(from_offset):
            yield item

    async def fetch(
        self, team: str, program_id: str, seq: int, from_offset: int
    ) -> AsyncIterator[Chunk | Answer]:
        """Yield the chunks and the answer of an earlier call; raise Refusal if there is none."""
        program = self._find_program(team, program_id)
        if 1 <= seq < program.next_seq:
            yield program.turns[seq - 1].answer
            return
        live = self._live_calls.get((program_id, seq))
        if live is None:
            if self.tools.in_doubt(program, seq):
                raise Refusal(
                    Reason.IN_DOUBT,
                    f'the outcome of call {seq} is unknown',
                    ran=ExecutionStatus.UNKNOWN,
                    step=Step.ANSWER,
                )
            raise Refusal(Reason.UNKNOWN_CALL, f'call {seq} does not exist')
        async for item in live.follow(from_offset):
            yield item

    def show(self, team: str, program_id: str) -> ProgramView:
        """Return a program's history and spending."""
        return self.ledger.view(self._find_program(team, program_id), with_history=True)

    async def end(self, team: str, program_id: str) -> ProgramView:
        """End a program and its sub-agents.

        Cancels their model calls, and waits for their tool calls to finish.
        """
        program = self._find_program(team, program_id)
        for child in self.ledger.children_of(program_id):
            await self.end(team, child.program_id)
        if not program.ended:
            await self._stop_calls(program)
            await self._write_durably([Ended(program_id)], Step.RECORD)
        self.on_ended(program)
        return self.ledger.view(program, with_history=False)

    def alive(self, program_id: str) -> bool:
        """Return whether a program is known and has not ended, so that engines keep its cache."""
        program = self.ledger.programs.get(program_id)
        if program is None:
            return self._evicted_ended.get(program_id) is False
        return not program.ended

    def doubts(self) -> list[tuple[Program, int]]:
        """Return the calls in doubt, as pairs of program and sequence number."""
        return [
            (program, seq)
            for program in self.ledger.programs.values()
            for seq in program.claims
            if (program.program_id, seq) not in self._live_calls
            and self.tools.in_doubt(program, seq)
        ]

    async def resolve(self, program_id: str, seq: int, content: str | None) -> None:
        """Resolve a call in doubt with its result, or with None if it certainly did not run."""
        program = self.ledger.programs.get(program_id)
        if program is None or seq not in program.claims:
            raise Refusal(Reason.UNKNOWN_CALL, f'call {seq} is not in doubt')
        claim = program.claims[seq].claim
        holder = program.claims[seq].holder
        if content is None:
            await self._write_durably([Unclaimed(program_id, seq)], Step.RECORD)
            self.tools.release_in_doubt(program, seq, self.ledger.escrow_of(program))
            return
        spec = self._ctx.backends.tools[claim.tool]
        req = CallReq(seq, CallKind.TOOL, tool=claim.tool)
        answer = tool_answer(program_id, seq, content, spec)
        finished = Finished(program_id, seq, claim.digest, req, answer, 0)
        await self._write_durably([Adopted(program_id, holder, finished)], Step.RECORD)
        self.tools.release_in_doubt(program, seq, self.ledger.escrow_of(program))

    async def cancel_calls(self) -> None:
        """Cancel all calls in progress after a takeover, as their outcomes can't be recorded."""
        tasks = [live.task for live in self._live_calls.values() if live.task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def add_programs(self, staged: Ledger) -> None:
        """Add the programs of a slot that this entry has claimed."""
        self.ledger.programs.update(staged.programs)
        self._ctx.metrics.programs.set(len(self.ledger.programs))

    def is_evicted(self, program_id: str) -> bool:
        """Return whether a program was evicted, and may be in the key-value service only."""
        return program_id in self._evicted_ended

    def evict(self, program_id: str) -> None:
        """Remove a saved program from memory; it is loaded again on demand."""
        ended = self.ledger.programs[program_id].ended
        self.drop(program_id)
        self._evicted_ended[program_id] = ended

    def restore(self, program: Program) -> None:
        """Add an evicted program that was loaded from the key-value service."""
        self.ledger.programs[program.program_id] = program
        self._evicted_ended.pop(program.program_id, None)

    def drop(self, program_id: str) -> None:
        """Remove from memory a program that is saved or was handed to another owner."""
        self.ledger.programs.pop(program_id, None)
        self._runtimes.pop(program_id, None)
        self.models.replicas_used.pop(program_id, None)
        self.cache_retention.forget(program_id)

    def _existing_view(self, existing: Program, team: str, digest: str) -> ProgramView:
        if existing.opened.team != team:
            raise Refusal(Reason.UNKNOWN_PROGRAM)
        if existing.opened.digest != digest:
            raise Refusal(
                Reason.BODY_MISMATCH, 'the idempotency key was used for a different program'
            )
        return self.ledger.view(existing, with_history=False)

    def _check_open(self, team: str, spec: ProgramSpec) -> None:
        ctx = self._ctx
        if spec.model not in ctx.fleet.models():
            raise Refusal(Reason.UNKNOWN_MODEL, spec.model)
        if spec.parent is not None:
            parent = self._find_program(team, spec.parent)
            if parent.ended or self.runtime(spec.parent).ending:
                raise Refusal(Reason.PROGRAM_ENDED, spec.parent)
            return
        wait_s = admit_program(ctx.fleet, spec.model, ctx.preset, spec.deadline_s)
        if wait_s is not None:
            raise Refusal(
                Reason.OVERLOAD,
                'no new programs are admitted under the current load',
                step=Step.ACCEPT,
                retry_after_ms=int(1000 * wait_s) + 1,
            )

    def _find_program(self, team: str, program_id: str) -> Program:
        program = self.ledger.programs.get(program_id)
        if program is None or program.opened.team != team:
            raise Refusal(Reason.UNKNOWN_PROGRAM, program_id)
        self.runtime(program_id).last_used_at = self._ctx.timers.now()
        return program

    def _stored_answer(self, program: Program, req: CallReq) -> Answer | None:
        if req.seq >= program.next_seq:
            return None
        turn = program.turns[req.seq - 1]
        if turn.digest != req.digest():
            raise Refusal(Reason.BODY_MISMATCH, f'call {req.seq} was made with a different body')
        return turn.answer

    def _join_or_start(self, program: Program, req: CallReq) -> LiveCall:
        key = (program.program_id, req.seq)
        live = self._live_calls.get(key)
        if live is not None:
            if live.digest != req.digest():
                raise Refusal(
                    Reason.BODY_MISMATCH, f'call {req.seq} is in progress with a different body'
                )
            return live
        self._check_not_ended(program)
        live = LiveCall(program.program_id, req, self._ctx.timers.now())
        self._live_calls[key] = live
        self._ctx.metrics.in_progress.set(len(self._live_calls))
        live.task = self._ctx.tasks.spawn(self._run(program, live), f'call {key}')
        return live

    def _check_not_ended(self, program: Program) -> None:
        if program.ended or self.runtime(program.program_id).ending:
            raise Refusal(Reason.PROGRAM_ENDED, program.program_id)

    async def _run(self, program: Program, live: LiveCall) -> None:
        key = (program.program_id, live.req.seq)
        try:
            live.finish(await self._run_in_order(program, live))
        except Refusal as refusal:
            live.finish(refusal)
        except Fenced as exc:
            live.finish(_ownership_lost(live, exc.peer))
        except asyncio.CancelledError:
            live.finish(self._cancelled_refusal(live))
            raise
        except Exception as exc:
            log.error('call_failed', program=key[0], seq=key[1], error=repr(exc))
            ran = ExecutionStatus.UNKNOWN if live.may_have_run else ExecutionStatus.NOT_RUN
            live.finish(Refusal(Reason.INTERNAL, ran=ran))
        finally:
            self.spending.release(program, live)
            del self._live_calls[key]
            self._ctx.metrics.in_progress.set(len(self._live_calls))

    async def _run_in_order(self, program: Program, live: LiveCall) -> Answer:
        runtime = self.runtime(program.program_id)
        await self._ctx.step_reached(Step.ACCEPT, program.program_id, live.req.seq)
        await self._wait_for_earlier_calls(program, runtime, live)
        runtime.running_seq = live.req.seq
        try:
            await self._ctx.step_reached(Step.ORDER, program.program_id, live.req.seq)
            stored = self._stored_answer(program, live.req)
            if stored is not None:
                return stored
            self._check_not_in_doubt(program, live)
            self._check_limits(program, runtime, live)
            answer = await self._run_within_limits(program, live, runtime)
        finally:
            runtime.running_seq = None
            runtime.last_used_at = self._ctx.timers.now()
            runtime.call_finished.set()
            runtime.call_finished = asyncio.Event()
        return answer

    async def _wait_for_earlier_calls(
        self, program: Program, runtime: ProgramRuntime, live: LiveCall
    ) -> None:
        """Wait until the program's earlier calls are recorded and none is running."""
        deadline = self._ctx.timers.now() + self._ctx.preset.gap_wait_s
        while program.next_seq < live.req.seq or runtime.running_seq is not None:
            left_s = deadline - self._ctx.timers.now()
            if left_s <= 0 and runtime.running_seq is None:
                raise Refusal(
                    Reason.SEQ_GAP,
                    f'call {program.next_seq} must be made first',
                    step=Step.ORDER,
                    retry_after_ms=1000,
                )
            try:
                await asyncio.wait_for(runtime.call_finished.wait(), max(left_s, 0.05))
            except TimeoutError:
                continue

    def _check_not_in_doubt(self, program: Program, live: LiveCall) -> None:
        if self.tools.in_doubt(program, live.req.seq):
            raise Refusal(
                Reason.IN_DOUBT,
                f'call {live.req.seq} may have run and is not sent again',
                ran=ExecutionStatus.UNKNOWN,
                step=Step.ORDER,
                retry_after_ms=2000,
            )
        self._check_not_ended(program)

    def _check_limits(self, program: Program, runtime: ProgramRuntime, live: LiveCall) -> None:
        ctx = self._ctx
        digest = _repeat_digest(live.req)
        turns = len(program.turns)
        reason = exceeded_limit(runtime.recent_digests, digest, turns, ctx.preset)
        if reason is not None:
            raise Refusal(reason, f'the program has made {turns} calls', step=Step.ORDER)
        if ctx.timers.now() > runtime.opened_at + program.opened.deadline_s:
            raise Refusal(
                Reason.DEADLINE, 'the deadline of the program has passed', step=Step.ORDER
            )

    async def _run_within_limits(
        self, program: Program, live: LiveCall, runtime: ProgramRuntime
    ) -> Answer:
        ctx = self._ctx
        team = program.opened.team
        tokens = live.req.max_tokens if live.req.kind is CallKind.MODEL else 1
        wait_s = self._team_limits.retry_after_s(team, tokens, ctx.preset, ctx.timers.now())
        if wait_s is not None:
            raise Refusal(
                Reason.TEAM_LIMIT,
                team,
                step=Step.RESERVE,
                retry_after_ms=int(1000 * wait_s) + 1,
            )
        self._team_limits.start(team, tokens)
        used = 0
        try:
            if live.req.kind is CallKind.MODEL:
                answer = await self.models.run(program, live, runtime.opened_at)
            else:
                answer = await self.tools.run(program, live)
            used = answer.output_tokens
        finally:
            self._team_limits.finish(team, max(0, tokens - used))
        runtime.recent_digests = [*runtime.recent_digests[-32:], _repeat_digest(live.req)]
        return await self._record(program, live, answer)

    async def _record(self, program: Program, live: LiveCall, answer: Answer) -> Answer:
        """Make the answer durable, then return it.

        If the key-value service takes too long, a copy at a peer suffices.
        """
        req = live.req
        await self._ctx.step_reached(Step.ANSWER, program.program_id, req.seq)
        reservation = _expected_reservation(program, live)
        grant = self.spending.grant_ahead(program, live, reservation, answer.cost)
        finished = Finished(program.program_id, req.seq, live.digest, req, answer, grant)
        future = self.journal.append([finished])
        await self._ctx.step_reached(Step.RECORD, program.program_id, req.seq)
        if req.kind is CallKind.MODEL:
            self.cache_retention.start_pause(program, answer)
        if await completes_within(self._ctx.timers, future, self._ctx.preset.record_wait_s):
            return answer
        copied = self.copy_to_peers is not None and await self.copy_to_peers(finished, future)
        if copied and not future.done():
            self._apply_early(finished)
            return evolve(answer, durability=Durability.ZONE)
        await future
        return answer

    def _apply_early(self, finished: Finished) -> None:
        """Apply an outcome that peers hold a copy of, so that the program can continue.

        Its grant is left out: only grants durable in the key-value service may be spent.
        """
        self._applied_early.add(id(finished))
        self.ledger.apply(evolve(finished, grant=0), self.holder)

    def _cancelled_refusal(self, live: LiveCall) -> Refusal:
        if self.journal.fenced:
            return _ownership_lost(live, self.holder)
        ran = ExecutionStatus.UNKNOWN if live.may_have_run else ExecutionStatus.NOT_RUN
        return Refusal(Reason.PROGRAM_ENDED, 'the program was ended', ran=ran, step=Step.STREAM)

    async def _stop_calls(self, program: Program) -> None:
        self.runtime(program.program_id).ending = True
        calls = [c for (pid, _), c in self._live_calls.items() if pid == program.program_id]
        for live in calls:
            if live.req.kind is CallKind.MODEL and live.task is not None:
                live.task.cancel()
        tasks = [live.task for live in calls if live.task is not None]
        if tasks:
            await asyncio.wait(tasks)

    async def _write_durably(self, records: list[Record], step: Step) -> None:
        future = self.journal.append(records)
        wait_s = self._ctx.preset.claim_wait_s + self._ctx.preset.record_wait_s
        try:
            durable = await completes_within(self._ctx.timers, future, wait_s)
        except Fenced as exc:
            raise Refusal(
                Reason.OWNERSHIP_LOST,
                exc.detail,
                ran=ExecutionStatus.UNKNOWN,
                step=step,
                peer=exc.peer,
            ) from exc
        if not durable:
            raise Refusal(
                Reason.PLATFORM_DOWN,
                'the record is not durable yet; repeat the request',
                ran=ExecutionStatus.UNKNOWN,
                step=step,
                peer='key-value service',
                retry_after_ms=1000,
            )

    def _on_durable(self, records: list[Record], index: int) -> None:
        for record in records:
            self._apply(record)
        self.on_durable(records, index)
        self._ctx.metrics.programs.set(len(self.ledger.programs))

    def _apply(self, record: Record) -> None:
        granted = _granted_tokens(record)
        if granted:
            program = self.ledger.programs.get(record.program_id)
            if program is not None:
                root = self.ledger.root_of(program).program_id
                self.spending.remove_queued_grant(root, granted)
        if id(record) in self._applied_early:
            self._applied_early.discard(id(record))
            if granted:
                self.ledger.apply(Granted(record.program_id, granted), self.holder)
            return
        self.ledger.apply(record, self.holder)

    def _on_fenced(self, uncommitted_records: list[Record]) -> None:
        self.uncommitted_records = uncommitted_records
        self.on_fenced()


def _granted_tokens(record: Record) -> int:
    if isinstance(record, Finished):
        return record.grant
    return record.units if isinstance(record, Granted) else 0


def _expected_reservation(program: Program, live: LiveCall) -> int:
    """Return the expected reservation of the next call, in tokens: that of the last model call."""
    reqs = [live.req, *(turn.req for turn in reversed(program.turns))]
    for req in reqs:
        if req.kind is CallKind.MODEL:
            return sum(count_tokens(m.content) for m in req.messages) + req.max_tokens
    return live.reserved


def _spec_digest(spec: ProgramSpec) -> str:
    texts = [spec.model, str(spec.budget), str(spec.deadline_s), spec.parent or '']
    return CallReq(0, CallKind.MODEL, [Message('spec', t) for t in texts]).digest()


def _repeat_digest(req: CallReq) -> str:
    """Return a digest that is the same for calls that differ only in their sequence number."""
    return evolve(req, seq=0).digest()


def _ownership_lost(live: LiveCall, holder: str) -> Refusal:
    ran = ExecutionStatus.UNKNOWN if live.may_have_run else ExecutionStatus.NOT_RUN
    return Refusal(
        Reason.OWNERSHIP_LOST,
        'another entry took over the program; repeat the request',
        ran=ran,
        step=Step.RECORD,
        peer=holder,
        retry_after_ms=500,
    )
