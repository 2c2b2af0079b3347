"""Messages between entries."""

from enum import Enum

from attrs import field, frozen

from toucanlead_core.errors import ExecutionStatus, Reason, Refusal, Step
from toucanlead_core.messages import Chunk


class Operation(str, Enum):
    """The operation that a forwarded request asks for."""

    OPEN = 'open'
    CALL = 'call'
    FETCH = 'fetch'
    SHOW = 'show'
    END = 'end'
    ALIVE = 'alive'
    RESOLVE = 'resolve'
    DOUBTS = 'doubts'
    CONFIG = 'config'
    DRAIN = 'drain'


@frozen
class ForwardReq:
    """A caller's request, forwarded to the program's owner.

    `body` is the JSON of the HTTP API; a stream starts at token `from_offset`.
    """

    operation: Operation
    team: str
    program_id: str
    seq: int = 0
    body: bytes = b''
    from_offset: int = 0


@frozen
class Result:
    """The last frame of a response: a JSON document whose type depends on the operation."""

    body: bytes


Frame = Chunk | Result


@frozen
class MemberNews:
    """The state of one entry, spread by probes; a higher incarnation takes precedence."""

    entry: str
    incarnation: int
    state: str
    revision: int = 0


@frozen
class ProbeReq:
    """A probe of another entry, with the sender's configuration revision and news of entries.

    `leaving` are addresses of backend servers that are leaving.
    """

    sender: str
    revision: int
    news: list[MemberNews] = field(factory=list)
    leaving: list[str] = field(factory=list)


@frozen
class ProbeReply:
    """The reply to a probe; its fields are those of ProbeReq, as known to the probed entry."""

    sender: str
    revision: int
    news: list[MemberNews] = field(factory=list)
    leaving: list[str] = field(factory=list)


@frozen
class TailPiece:
    """A copy of a journal segment that may not be durable in the key-value service yet.

    `holder` is the entry incarnation whose journal it belongs to, and `index` numbers its
    segments in order. An empty segment means that the original has become durable, so that
    the copy can be dropped.
    """

    holder: str
    index: int
    segment: bytes


@frozen
class RefusalInfo:
    """A Refusal in the form that entries send to each other."""

    reason: Reason
    ran: ExecutionStatus
    step: Step
    detail: str = ''
    peer: str = ''
    retry_after_ms: int = 0

    @classmethod
    def of(cls, refusal: Refusal) -> 'RefusalInfo':
        """Convert from a Refusal."""
        return cls(
            refusal.reason,
            refusal.ran,
            refusal.step,
            refusal.detail,
            refusal.peer,
            refusal.retry_after_ms or 0,
        )

    def to_refusal(self) -> Refusal:
        """Convert back to a Refusal."""
        return Refusal(
            self.reason,
            self.detail,
            ran=self.ran,
            step=self.step,
            peer=self.peer,
            retry_after_ms=self.retry_after_ms or None,
        )
