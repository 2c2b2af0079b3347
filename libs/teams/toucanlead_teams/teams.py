"""Teams as the configuration lists them, found by the keys of their callers."""

import hashlib
from collections.abc import Iterable

from attrs import field, frozen

KEY_DIGEST_BYTES = 16
DEFAULT_PRIORITY = 5


def key_digest(key: str) -> str:
    """Return what a key is stored and looked up by, from which it cannot be restored."""
    data = key.encode('utf-8', 'surrogateescape')
    return hashlib.blake2b(data, digest_size=KEY_DIGEST_BYTES).hexdigest()


@frozen
class Team:
    """A team of callers; priority 0 is the highest and goes before that of the route.

    All entries together may send `rate_per_s` requests per second for it, and `burst` more
    at once; a rate of 0 is no limit.
    """

    name: str
    key_digests: frozenset[str] = field(factory=frozenset, repr=False)
    priority: int = DEFAULT_PRIORITY
    rate_per_s: float = 0.0
    burst: float = 0.0


@frozen
class TeamTable:
    """The teams of one version of the configuration; false if it lists none.

    A key or a name that is listed twice belongs to the first team. `complete` is false if
    the configuration lists a team that cannot be read, whose keys are not known then.
    """

    teams: tuple[Team, ...] = ()
    complete: bool = True
    _by_digest: dict[str, Team] = field(init=False, repr=False, eq=False)
    _by_name: dict[str, Team] = field(init=False, repr=False, eq=False)

    def __attrs_post_init__(self) -> None:
        """Index the teams."""
        by_digest = {d: team for team in reversed(self.teams) for d in team.key_digests}
        object.__setattr__(self, '_by_digest', by_digest)
        by_name = {team.name: team for team in reversed(self.teams)}
        object.__setattr__(self, '_by_name', by_name)

    def __bool__(self) -> bool:
        """Return whether there are teams, so that callers need keys."""
        return bool(self.teams) or not self.complete

    def team_of_key(self, key: str) -> Team | None:
        """Return the team that holds a key, or None."""
        return self._by_digest.get(key_digest(key))

    def priority_of(self, name: str) -> int:
        """Return the priority of a team; callers without a team have the default."""
        team = self._by_name.get(name)
        return DEFAULT_PRIORITY if team is None else team.priority

    def shared_keys(self) -> list[tuple[str, str]]:
        """Return the names of the teams that list the same key, in pairs."""
        return [
            (self._by_digest[digest].name, team.name)
            for team in self.teams
            for digest in team.key_digests
            if self._by_digest[digest] is not team
        ]

    def named(self, name: str) -> Team | None:
        """Return the team of a name, or None."""
        return self._by_name.get(name)


def digests(keys: Iterable[str]) -> frozenset[str]:
    """Return the digests of keys."""
    return frozenset(map(key_digest, keys))
