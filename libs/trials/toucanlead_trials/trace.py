"""Trace format: recorded programs, one JSON object per line (docs/traces.md)."""

from importlib import resources
from pathlib import Path
from typing import Any

from attrs import field, frozen

from toucanlead_core.codec import from_json
from toucanlead_core.messages import CallKind, CallReq, Message

CUSTOMERS = ('flamaviva', 'kushiro')


@frozen
class TraceCall:
    """One recorded call, made after its pause; `output_tokens` is the answer's length.

    The caller of a `late` call disconnects and fetches the answer later. `refusal` is the
    reason with which the call must be refused, if any.
    """

    kind: CallKind
    pause_s: float = 0.0
    messages: list[Message] = field(factory=list)
    max_tokens: int = 256
    output_tokens: int = 0
    tool: str = ''
    args: dict[str, Any] = field(factory=dict)
    late: bool = False
    refusal: str = ''

    def request(self, seq: int) -> CallReq:
        """Return the call as a request."""
        return CallReq(seq, self.kind, self.messages, self.max_tokens, self.tool, self.args)


@frozen
class TraceProgram:
    """One recorded program; a sub-agent starts after its parent's call `after_seq`."""

    name: str
    team: str
    model: str
    start_s: float
    deadline_s: float
    calls: list[TraceCall]
    budget: int = 0
    parent: str | None = None
    after_seq: int = 0


def load_trace(path: Path) -> list[TraceProgram]:
    """Read a trace file."""
    lines = path.read_bytes().splitlines()
    return [from_json(line, TraceProgram) for line in lines if line.strip()]


def load_recorded(customer: str) -> list[TraceProgram]:
    """Return the programs of a recorded trace in the package's data."""
    data = resources.files('toucanlead_trials') / 'data' / f'{customer}.jsonl'
    with resources.as_file(data) as path:
        return load_trace(path)
