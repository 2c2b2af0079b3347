"""Journal records: everything about programs that must last."""

from attrs import frozen
from cattrs.strategies import configure_tagged_union

from toucanlead_core.codec import converter
from toucanlead_core.messages import Answer, CallReq


@frozen
class Opened:
    """A program was opened, with a first budget grant for its owner."""

    program_id: str
    team: str
    model: str
    budget: int
    key: str
    deadline_s: float
    parent: str | None
    grant: int
    digest: str


@frozen
class Granted:
    """The owner took more of the root program's budget, in tokens."""

    program_id: str
    units: int


@frozen
class Claimed:
    """A call that may not be repeated is about to be sent."""

    program_id: str
    seq: int
    digest: str
    tool: str
    idempotency_key: str
    cost: int


@frozen
class Unclaimed:
    """The claimed call provably was not sent, or provably did not run."""

    program_id: str
    seq: int


@frozen
class Finished:
    """A call's request and complete answer, and a grant for the next call."""

    program_id: str
    seq: int
    digest: str
    req: CallReq
    answer: Answer
    grant: int


@frozen
class Spent:
    """Budget spent by an attempt that gave no answer, in tokens."""

    program_id: str
    units: int
    replica: str = ''


@frozen
class Settled:
    """A former holder's open grants are closed at the most it can have spent."""

    program_id: str
    holder: str
    limit: int


@frozen
class Adopted:
    """A former holder's outcome, delivered late and appended to the history."""

    program_id: str
    holder: str
    finished: Finished


@frozen
class Branched:
    """An outcome that came too late to be appended, kept beside the history."""

    program_id: str
    holder: str
    finished: Finished


@frozen
class Ended:
    """The program ended; its engine memory is to be released."""

    program_id: str


@frozen
class Released:
    """A replica acknowledged that it holds no memory for the program."""

    program_id: str
    replica: str


@frozen
class Forgotten:
    """The retention period of an ended program is over."""

    program_id: str


Record = (
    Opened
    | Granted
    | Claimed
    | Unclaimed
    | Finished
    | Spent
    | Settled
    | Adopted
    | Branched
    | Ended
    | Released
    | Forgotten
)
configure_tagged_union(Record, converter, tag_name='type')


@frozen
class Segment:
    """One group commit: records of many programs under one journal index."""

    nonce: str
    holder: str
    index: int
    records: list[Record]
