"""Stand-in tool service: bookings, orders, charges, look-ups."""

import asyncio

from attrs import define, field

from toucanlead_backends.tool import OutcomeState, ToolOutcome, ToolReq, ToolService
from toucanlead_core.errors import NotSent, OutcomeUnknown

from .recorder import Recorder

EFFECT_TOOLS = frozenset({'book', 'order', 'charge', 'reorder', 'return_shipment'})


@define
class ToolFaults:
    """Faults that a test can switch on.

    With `hang`, a call takes effect but does not return; `lose_answer` loses the next
    answer only.
    """

    down: bool = False
    hang: bool = False
    lose_answer: bool = False


@define
class _CallRecord:
    content: str
    finished: bool = False


@define
class ToolModel(ToolService):
    """Simulates a tool service that runs every call it receives, duplicates included.

    `prices` maps tools to their budget cost, 1 by default. Without `reports_outcomes`
    the service does not say what became of earlier calls.
    """

    name: str
    recorder: Recorder
    duration_s: float = 0.05
    prices: dict[str, int] = field(factory=dict)
    reports_outcomes: bool = True
    faults: ToolFaults = field(factory=ToolFaults)
    _calls: dict[str, _CallRecord] = field(factory=dict)

    async def call(self, req: ToolReq) -> str:
        """Perform the call, then return its answer."""
        if self.faults.down:
            raise NotSent('connection refused', peer=self.name)
        program = str(req.args.get('program', req.program_id))
        seq = int(req.args.get('n', req.seq))
        repeatable = req.tool not in EFFECT_TOOLS
        self.recorder.tool_call_executed(program, seq, repeatable=repeatable)
        self.recorder.tokens_charged(program, self.prices.get(req.tool, 1))
        record = _CallRecord(tool_answer(req.tool, program, seq))
        self._calls[req.idempotency_key] = record
        while self.faults.hang:
            await asyncio.sleep(1.0)
        await asyncio.sleep(self.duration_s)
        record.finished = True
        if self.faults.lose_answer:
            self.faults.lose_answer = False
            raise OutcomeUnknown('connection reset', peer=self.name)
        return record.content

    async def outcome(self, idempotency_key: str) -> ToolOutcome:
        """Return what became of a call."""
        if self.faults.down:
            raise NotSent('connection refused', peer=self.name)
        record = self._calls.get(idempotency_key)
        if record is None or not self.reports_outcomes:
            return ToolOutcome(OutcomeState.UNSEEN)
        if not record.finished:
            return ToolOutcome(OutcomeState.RUNNING)
        return ToolOutcome(OutcomeState.DONE, record.content)


def tool_answer(tool: str, program: str, seq: int) -> str:
    """Return the answer that a stand-in tool gives."""
    return f'@{program}/{seq} {tool} done'
