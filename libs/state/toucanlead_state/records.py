"""Journal records: the durable changes of programs.

Records are stored with the names of their classes and fields.
"""

from attrs import frozen
from cattrs.strategies import configure_tagged_union

from toucanlead_core.codec import converter
from toucanlead_core.messages import Answer, CallReq


@frozen
class Opened:
    """A program was opened, with a first budget grant to its owner."""

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
    """The owner was granted more of the root program's budget, in tokens."""

    program_id: str
    units: int


@frozen
class Claimed:
    """A call that must not be repeated is about to be sent."""

    program_id: str
    seq: int
    digest: str
    tool: str
    idempotency_key: str
    cost: int


@frozen
class Unclaimed:
    """It is certain that a claimed call was not sent or did not run."""

    program_id: str
    seq: int


@frozen
class Finished:
    """A call's request and complete answer, and a budget grant for the calls that follow."""

    program_id: str
    seq: int
    digest: str
    req: CallReq
    answer: Answer
    grant: int


@frozen
class Spent:
    """Tokens spent by an attempt without an answer, at a replica if one is given."""

    program_id: str
    units: int
    replica: str = ''


@frozen
class Settled:
    """A former holder's grants were lowered to the most that it can have spent."""

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
    """A former holder's outcome that came too late to be appended, kept beside the history."""

    program_id: str
    holder: str
    finished: Finished


@frozen
class Ended:
    """The program ended; replicas are to release its cache."""

    program_id: str


@frozen
class Released:
    """A replica acknowledged the release of the program's cache, or no longer exists."""

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
    """The records of one group commit, stored under one index of a holder's journal."""

    nonce: str
    holder: str
    index: int
    records: list[Record]
