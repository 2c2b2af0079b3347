"""Typed messages: programs, calls and answers."""

import hashlib
from enum import Enum
from typing import Any

from attrs import field, frozen

from .codec import to_json


class CallKind(str, Enum):
    """What a call is sent to."""

    MODEL = 'model'
    TOOL = 'tool'
    APP = 'app'


class Durability(str, Enum):
    """Where the record of an answer has been kept."""

    SERVICE = 'service'
    ZONE = 'zone'
    PENDING = 'pending'


@frozen
class Message:
    """One message of a program's history."""

    role: str
    content: str


@frozen
class ProgramSpec:
    """What a caller asks for when it opens a program.

    The budget is in tokens: new prompt tokens plus generated tokens, and the
    price of each tool call. The deadline is seconds from opening.
    """

    model: str
    budget: int
    key: str
    deadline_s: float = 600.0
    parent: str | None = None


@frozen
class CallReq:
    """One call of a program: the new part of its input only."""

    seq: int
    kind: CallKind
    messages: list[Message] = field(factory=list)
    max_tokens: int = 256
    tool: str = ''
    args: dict[str, Any] = field(factory=dict)

    def digest(self) -> str:
        """Return a digest of the body, by which a repeat is recognised."""
        return hashlib.blake2b(to_json(self), digest_size=12).hexdigest()


@frozen
class Answer:
    """The complete answer to one call."""

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
    """Part of a streamed answer, from `offset` tokens on."""

    offset: int
    text: str
    tokens: int


@frozen
class ProgramView:
    """What `show` returns of a program."""

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
    """Estimate the tokens of a text: its words, at least one."""
    return max(1, len(text.split()))
