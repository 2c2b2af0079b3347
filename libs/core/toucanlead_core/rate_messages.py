"""Messages between entries and the keeper of the rates that replicas accept."""

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
class TokenAsk:
    """An entry's request for tokens of a group; it returns those that it does not need."""

    group: str
    entry: str
    wanted: int
    sightings: tuple[LimitSighting, ...] = ()
    returned: tuple[TokenCount, ...] = ()


@frozen
class TokenReply:
    """The tokens granted, and the rate in tokens per second that the entry can expect.

    `declined` means that the entry that was asked is not the group's keeper.
    """

    granted: tuple[TokenCount, ...] = ()
    rate_per_s: float = 0.0
    declined: bool = False
