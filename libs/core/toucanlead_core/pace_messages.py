"""Messages between entries about the work that replicas were seen to do."""

from attrs import frozen


@frozen
class ReplicaWork:
    """What one run of a replica did, summed over some time.

    `busy_s` is the time that all requests together spent there, those in progress included,
    `nominal_s` the time that its answers take at a replica of nominal pace, and `token_s`
    the tokens of the requests integrated over time.
    """

    run: str
    busy_s: float = 0.0
    nominal_s: float = 0.0
    answers: float = 0.0
    failures: float = 0.0
    token_s: float = 0.0


@frozen
class WorkReport:
    """The work that an entry saw since its last report, or all recent work of a `whole` zone."""

    zone: str
    work: tuple[ReplicaWork, ...]
    whole: bool = False


@frozen
class WorkReply:
    """Recent work over all zones; in reply to that of a zone, the work of the replier's zone."""

    zone: str
    work: tuple[ReplicaWork, ...]
