"""Typed messages between entries."""

from enum import Enum

from attrs import field, frozen

from toucanlead_core.errors import Ran, Reason, Refusal, Step
from toucanlead_core.messages import Chunk


class Operation(str, Enum):
    """What is asked of a program's owner."""

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
    """A caller's request on its way to the owner; the body is the API's JSON."""

    operation: Operation
    team: str
    program_id: str
    seq: int = 0
    body: bytes = b''
    from_offset: int = 0


@frozen
class Result:
    """The final frame: a JSON document whose type follows from the operation."""

    body: bytes


Frame = Chunk | Result


@frozen
class MemberNews:
    """One entry's state as probes spread it; a higher incarnation wins."""

    entry: str
    incarnation: int
    state: str
    revision: int = 0


@frozen
class ProbeReq:
    """A probe with some news, and the sender's configuration revision."""

    sender: str
    revision: int
    news: list[MemberNews] = field(factory=list)
    leaving: list[str] = field(factory=list)


@frozen
class ProbeReply:
    """The answer to a probe, with news of the other side."""

    sender: str
    revision: int
    news: list[MemberNews] = field(factory=list)
    leaving: list[str] = field(factory=list)


@frozen
class TailPiece:
    """A journal segment not yet durable in the service, copied to a peer."""

    holder: str
    index: int
    segment: bytes


@frozen
class RefusalInfo:
    """A refusal as it travels between entries."""

    reason: Reason
    ran: Ran
    step: Step
    detail: str = ''
    peer: str = ''
    retry_after_ms: int = 0

    @classmethod
    def of(cls, refusal: Refusal) -> 'RefusalInfo':
        """Take the parts of a refusal."""
        return cls(
            refusal.reason,
            refusal.ran,
            refusal.step,
            refusal.detail,
            refusal.peer,
            refusal.retry_after_ms or 0,
        )

    def to_refusal(self) -> Refusal:
        """Build the refusal again."""
        return Refusal(
            self.reason,
            self.detail,
            ran=self.ran,
            step=self.step,
            peer=self.peer,
            retry_after_ms=self.retry_after_ms or None,
        )
