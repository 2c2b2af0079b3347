"""Typed requests of callers and answers to them, whichever door they came in by."""

import abc

from attrs import field, frozen

Headers = tuple[tuple[str, str], ...]


@frozen
class PromptPart:
    """One part of a prompt; requests that share it name the same part."""

    ident: str
    tokens: int


@frozen
class Generation:
    """What is asked of a model engine.

    `prompt_tokens` counts the whole prompt, `max_tokens` bounds the output and
    `expected_tokens` is the caller's own estimate of it.
    """

    model: str = ''
    prompt_tokens: int = 0
    max_tokens: int = 0
    expected_tokens: int | None = None
    parts: tuple[PromptPart, ...] = ()


@frozen
class ProgramInfo:
    """The program that a request belongs to; `line` is one sequence of its turns.

    `finish_by` is the loop time by which the program should be done, `budget` the
    tokens that all its turns may generate.
    """

    program: str
    line: str = ''
    finish_by: float | None = None
    budget: int | None = None


@frozen
class CallerReq:
    """One request of a caller; times are seconds of the loop's clock."""

    ident: str
    method: str
    host: str
    target: str
    headers: Headers
    body: bytes
    arrived_at: float
    deadline_at: float
    program: ProgramInfo | None = None
    generation: Generation | None = None
    previous_turn: str | None = None
    resume_after: str | None = None

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition('?')[0]


@frozen
class ReplicaCall:
    """What goes to a replica: the caller's request with the system's own additions.

    `priority` is the engine's, 0 (first) to 9.
    """

    req: CallerReq
    body: bytes
    deadline_at: float
    priority: int | None = None
    resume_after: str | None = None


@frozen
class AnswerHead:
    """Status and end-to-end headers of a replica's answer."""

    status: int
    headers: Headers = field(factory=tuple)
    streamed: bool = False


class AnswerSink(abc.ABC):
    """Where an answer to the caller goes, in order: begin, write, end or cut."""

    @abc.abstractmethod
    async def begin(self, head: AnswerHead, length: int | None) -> None:
        """Send status and headers; the length is None for a stream."""

    @abc.abstractmethod
    async def write(self, data: bytes) -> None:
        """Send a piece of the body; ConnectionError when the caller has left."""

    @abc.abstractmethod
    async def end(self) -> None:
        """Complete the answer."""

    @abc.abstractmethod
    def cut(self) -> None:
        """Break the answer off so that it cannot be taken for complete."""

    @property
    @abc.abstractmethod
    def begun(self) -> bool:
        """Say whether the status has been sent."""
