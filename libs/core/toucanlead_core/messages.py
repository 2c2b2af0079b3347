"""Messages about programs, calls and answers."""

import hashlib
from enum import Enum
from typing import Any

from attrs import field, frozen

from .codec import to_json


class CallKind(str, Enum):
    """The kind of back end that serves a call."""

    MODEL = 'model'
    TOOL = 'tool'
    APP = 'app'


class Durability(str, Enum):
    """Where the record of an answer is stored so far.

    `SERVICE` is the key-value service, `ZONE` the memory of peers, `PENDING` nowhere yet.
    """

    SERVICE = 'service'
    ZONE = 'zone'
    PENDING = 'pending'


@frozen
class Message:
    """One message in a program's history."""

    role: str
    content: str


@frozen
class ProgramSpec:
    """A caller's request to open a program.

    The budget is in tokens and covers new prompt tokens, generated tokens and the
    price of each tool call. `key` is the idempotency key, and `deadline_s` counts from
    the opening of the program.
    """

    model: str
    budget: int
    key: str
    deadline_s: float = 600.0
    parent: str | None = None


@frozen
class CallReq:
    """One call of a program; its messages are only those added since the previous call."""

    seq: int
    kind: CallKind
    messages: list[Message] = field(factory=list)
    max_tokens: int = 256
    tool: str = ''
    args: dict[str, Any] = field(factory=dict)

    def digest(self) -> str:
        """Return a digest of the body, which identifies repeated requests."""
        return hashlib.blake2b(to_json(self), digest_size=12).hexdigest()


@frozen
class Answer:
    """The complete answer to one call; `cost` is the number of tokens charged to the budget."""

    program_id: str
    seq: int
    content: str
    cost: int
    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0
    replica: str = ''
    durability: Durability = Durability.SERVICE


@frozen
class Chunk:
    """A part of a streamed answer that starts at token `offset`."""

    offset: int
    text: str
    tokens: int


@frozen
class ProgramView:
    """A program's state as returned by the `show` operation.

    `doubts` are the sequence numbers of claimed calls without a recorded outcome, and
    `branches` counts the outcomes that came too late to be appended to the history.
    """

    program_id: str
    team: str
    model: str
    budget: int
    spent: int
    granted: int
    ended: bool
    turns: int
    doubts: list[int] = field(factory=list)
    history: list[Message] = field(factory=list)
    branches: int = 0


def count_tokens(text: str) -> int:
    """Estimate the number of tokens in a text as its number of words, at least 1."""
    return max(1, len(text.split()))
