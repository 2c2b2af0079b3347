"""Types for callers' requests and their responses, independent of the protocol."""

import abc
import hashlib

from attrs import field, frozen

CONTENT_ID_BYTES = 12  # of the digest
BEGINNING_BYTES = 512  # of a body

Headers = tuple[tuple[str, str], ...]


@frozen
class PromptPart:
    """One part of a prompt; requests with the same `ident` share it."""

    ident: str
    tokens: int


@frozen
class Generation:
    """What a model engine is asked to generate.

    `prompt_tokens` is the length of the whole prompt, `max_tokens` limits the output
    and `expected_tokens` is the caller's estimate of its length.
    """

    model: str = ''
    prompt_tokens: int = 0
    max_tokens: int = 0
    expected_tokens: int | None = None
    parts: tuple[PromptPart, ...] = ()


@frozen
class ProgramInfo:
    """The program that a request belongs to; `session` names one sequence of its turns.

    `finish_by` is the loop time by which the program should end, `budget` the number of
    tokens that all its turns together may generate.
    """

    program: str
    session: str = ''
    finish_by: float | None = None
    budget: int | None = None


@frozen
class ContentIds:
    """Digests of what a request asks for: all of it, and its beginning.

    A turn comes again with more or less after its beginning, depending on what went before.
    """

    whole: str
    beginning: str


@frozen
class CallerReq:
    """One request of a caller; times are loop times in seconds.

    A caller that resumes a stream names the id of the last event that it holds in
    `resume_after`, and in `resumes` the request that brought the first one. `team` is empty
    where the configuration lists no teams, and for callers of public routes without a key.
    """

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
    resumes: str | None = None
    team: str = ''

    def content_ids(self) -> ContentIds:
        """Return what identifies a request that comes again: all but ids, headers and caller.

        No header says who the caller is; the same content is the same request.
        """
        digest = hashlib.blake2b(digest_size=CONTENT_ID_BYTES)
        for part in (self.method, self.host, self.target):
            digest.update(part.encode('utf-8', 'surrogateescape') + b'\0')
        whole = digest.copy()
        whole.update(self.body)
        digest.update(self.body[:BEGINNING_BYTES])
        return ContentIds(f'whole:{whole.hexdigest()}', f'beginning:{digest.hexdigest()}')

    @property
    def split_key(self) -> str:
        """Return what selects the service of a split route, the same for a stream's tries."""
        return self.program.program if self.program else self.resumes or self.ident

    @property
    def path(self) -> str:
        """Return the target without the query string."""
        return self.target.partition('?')[0]


@frozen
class ReplicaCall:
    """One call to a replica: the caller's request with the entry's additions.

    `priority` is the engine's priority, from 0 (highest) to 9. `same_run` says that only the
    listed run of the replica may get it, and no other one that has started under its id.
    `repeatable` says that the call may run more than once.
    """

    req: CallerReq
    body: bytes
    deadline_at: float
    priority: int | None = None
    resume_after: str | None = None
    same_run: bool = False
    repeatable: bool = False


@frozen
class ReplicaResponseHead:
    """Status and end-to-end headers of a replica's response.

    `streamed` says that the body is a stream of events, which an error never is.
    """

    status: int
    headers: Headers = field(factory=tuple)
    streamed: bool = False


class ResponseSink(abc.ABC):
    """Writes one response to the caller: `send_head`, any `write`s, then `end` or `abort`."""

    @abc.abstractmethod
    async def send_head(self, head: ReplicaResponseHead, length: int | None) -> None:
        """Send status and headers; `length` is the body's bytes, None for a stream."""

    @abc.abstractmethod
    async def write(self, data: bytes) -> None:
        """Send part of the body; raise ConnectionError if the caller has disconnected."""

    @abc.abstractmethod
    async def end(self) -> None:
        """Complete the response."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Abort the response in such a way that the caller sees it as incomplete."""

    @property
    @abc.abstractmethod
    def head_sent(self) -> bool:
        """Return whether the status has been sent."""
