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
    """The requests of one entry that broke off when a run of a replica crashed."""

    replica: str
    requests: tuple[BrokenRequest, ...]
