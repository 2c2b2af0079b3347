"""Messages between entries about replicas that crash and the requests that they ran."""

from attrs import frozen


@frozen
class BrokenRequest:
    """A request whose answer broke off when a replica crashed.

    `content` identifies what was asked for, whoever asks and whenever. `produced` says
    whether the replica had sent output of it.
    """

    content: str
    produced: bool


@frozen
class CrashReport:
    """The requests of one entry that broke off when a run of a replica crashed.

    `cleared` are contents reported before that have since been answered in full.
    """

    replica: str = ''
    requests: tuple[BrokenRequest, ...] = ()
    cleared: tuple[str, ...] = ()


@frozen
class CrashVerdict:
    """A content that crashes the replicas that run it; it is sent to none for a while.

    `crashes` is how many replicas it crashed, `judge` the entry that found out.
    `withdrawn` means that it was answered after all.
    """

    content: str
    crashes: int
    judge: str
    withdrawn: bool = False
