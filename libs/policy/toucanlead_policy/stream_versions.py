"""Which software versions of a service may have begun a stream that a caller resumes.

Serves streams that break off, alone or all at once, while a release is replacing the
replicas of a service. Entries share a durable list of the versions of each service. A
version is on it before a stream begins there, and stays on it until no replica has run it
for longer than callers wait for a stream. While one version alone is on the list, it began
every stream; otherwise each stream has to be recorded, or its version is unknown.
"""

from collections.abc import Set

from attrs import define, field

STREAM_LIFETIME_S = 30.0  # callers give up on a stream sooner, retries included
FRESH_S = 2.0  # what is known of replicas and lists must be younger
# On the list of a service whose streams began before there was a list.
UNKNOWN_VERSION = '?'


@define
class ServiceVersions:
    """What one entry knows of the versions of a service.

    `listed` are the versions on the durable list, `present` those of the replicas that are
    known. `fresh` says whether both are up to date. Times are in seconds of one clock.
    """

    listed: frozenset[str] = frozenset()
    present: frozenset[str] = frozenset()
    fresh: bool = False
    _absent_since: dict[str, float] = field(factory=dict)

    def observe(self, present: Set[str], fresh: bool, now: float) -> None:
        """Record the versions of the replicas that are known, and since when others are gone.

        While knowledge is not fresh, a version may come and go unseen, so absence then
        counts from anew.
        """
        self.present = frozenset(present)
        self.fresh = fresh
        if not fresh:
            self._absent_since.clear()
            return
        absent = self.listed - self.present
        self._absent_since = {v: self._absent_since.get(v, now) for v in absent}

    @property
    def only_version(self) -> str | None:
        """Return the version that began every stream of the service, None if it may be several."""
        versions = self.listed | self.present
        if not self.fresh or not self.listed or len(versions) != 1:
            return None
        (version,) = versions
        return None if version == UNKNOWN_VERSION else version

    def unlisted(self) -> frozenset[str]:
        """Return the versions that must be listed before a stream begins there."""
        return self.present - self.listed

    def outlived(self, now: float) -> frozenset[str]:
        """Return the listed versions that no stream can come from any more."""
        if not self.fresh:
            return frozenset()
        absent = self._absent_since.items()
        return frozenset(v for v, since in absent if now - since > STREAM_LIFETIME_S)

    def to_prefer(self) -> frozenset[str] | None:
        """Return the versions at which new streams should begin, None for all.

        While knowledge is not fresh, the list cannot be extended, and new replicas would idle.
        """
        listed = self.listed & self.present if self.fresh else frozenset()
        return listed if listed and listed != self.present else None
