"""Messages between entries and the keepers of rates, of replicas and of teams."""

from attrs import frozen


@frozen
class LimitSighting:
    """A limit in an answer of a replica, in requests per second, and the age of the answer.

    `per_s` is None if the answer named no limit.
    """

    replica: str
    per_s: float | None
    age_s: float


@frozen
class TokenCount:
    """A number of tokens for one replica."""

    replica: str
    tokens: int


@frozen
class TeamAsk:
    """What an entry wants to send for one team.

    `programs` are those that may begin with a request, `begun` those of the other requests,
    empty for a request of no program. `returned` counts earlier requests that no replica ran.
    `recent` counts the requests of the last window, of the entry or, in a report, of the
    region; `expected` are those that the region's programs will still make.
    """

    team: str
    programs: tuple[str, ...] = ()
    begun: tuple[str, ...] = ()
    returned: int = 0
    recent: int = 0
    expected: int = 0


@frozen
class TeamGrant:
    """Which requests of one team may be sent: the first `granted` ones of `begun`.

    `admitted` are the programs that may begin or were known as begun. What is not granted
    may be asked for again after `retry_after_s`, programs after `program_retry_after_s`. A
    new keeper of another region is told in `recent` what was heard from its predecessor.
    """

    team: str
    granted: int = 0
    admitted: tuple[str, ...] = ()
    retry_after_s: float = 0.0
    program_retry_after_s: float = 0.0
    recent: int = 0


@frozen
class TokenAsk:
    """An entry's request for tokens of a group; it returns those that it does not need.

    A group of teams has `teams`; `region` is set if the keeper of another region reports.
    """

    group: str
    entry: str
    wanted: int
    sightings: tuple[LimitSighting, ...] = ()
    returned: tuple[TokenCount, ...] = ()
    teams: tuple[TeamAsk, ...] = ()
    region: str = ''


@frozen
class TokenReply:
    """The tokens granted, and the rate in tokens per second that the entry can expect.

    `declined` means that the entry that was asked is not the group's keeper. A keeper of
    teams has kept the group for `age_s`.
    """

    granted: tuple[TokenCount, ...] = ()
    rate_per_s: float = 0.0
    declined: bool = False
    teams: tuple[TeamGrant, ...] = ()
    age_s: float = 0.0
