"""Key-value service: the narrow interface and its typed messages."""

import abc
from collections.abc import AsyncIterator

from attrs import define, field, frozen

from toucanlead_core.errors import PeerError

WATCH_WAIT_S = 30.0  # the longest that the platform's service lets a watch wait


@frozen
class KvEntry:
    """One key with its revisions; `mod_rev` grows with each change."""

    key: str
    value: bytes
    create_rev: int
    mod_rev: int


@frozen
class Compare:
    """A condition: the key's modification revision, 0 for an absent key."""

    key: str
    mod_rev: int


@frozen
class Put:
    """Write a value, optionally bound to a lease."""

    key: str
    value: bytes
    lease: int = 0


@frozen
class Delete:
    """Delete a key."""

    key: str


@frozen
class TxnResult:
    """Whether all conditions held, and the service's revision.

    After a failure, `current` holds the entries that the conditions named, as far
    as the service returns them.
    """

    succeeded: bool
    revision: int
    current: list[KvEntry] = field(factory=list)


@frozen
class WatchEvent:
    """A change of a key; the value is None after a deletion."""

    key: str
    value: bytes | None
    mod_rev: int


@frozen
class Snapshot:
    """Entries under a prefix, and the revision from which to follow their changes."""

    entries: list[KvEntry]
    revision: int


@frozen
class Changes:
    """Changes after a revision, and the revision from which to go on."""

    events: list[WatchEvent]
    revision: int


class HistoryLost(PeerError):
    """The service no longer has the changes after a revision; read a snapshot."""


class LeaseLost(PeerError):
    """The lease that an operation names has ended; nothing was done."""


@define
class KvCounters:
    """Calls to the service, as it counts them."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    write_bytes: int = 0
    unknown: int = field(default=0)


class KeyValueStore(abc.ABC):
    """Compare-and-swap, leases and watches.

    Each method raises NotSent when the request provably had no effect, and
    OutcomeUnknown when no answer arrived.
    """

    @abc.abstractmethod
    async def get(self, key: str) -> KvEntry | None:
        """Return an entry, or None."""

    @abc.abstractmethod
    async def scan(self, prefix: str) -> list[KvEntry]:
        """Return all entries under a prefix, in key order."""

    @abc.abstractmethod
    async def txn(self, compares: list[Compare], ops: list[Put | Delete]) -> TxnResult:
        """Apply all operations if all conditions hold."""

    @abc.abstractmethod
    async def grant_lease(self, ttl_s: int) -> int:
        """Create a lease and return its id."""

    @abc.abstractmethod
    async def keep_alive(self, lease: int) -> bool:
        """Renew a lease; False when it has lapsed."""

    @abc.abstractmethod
    async def revoke(self, lease: int) -> None:
        """End a lease and delete its keys."""

    @abc.abstractmethod
    def watch(self, prefix: str, from_rev: int) -> AsyncIterator[WatchEvent]:
        """Yield changes under a prefix from a revision on."""


class PollingStore(KeyValueStore):
    """A service whose changes are asked for, each time after a known revision."""

    @abc.abstractmethod
    async def snapshot(self, prefix: str) -> Snapshot:
        """Return all entries under a prefix; changes may overlap the entries."""

    @abc.abstractmethod
    async def poll(self, prefix: str, after_rev: int, wait_s: float) -> Changes:
        """Return changes after a revision, waiting for the first one.

        Returns no events when the wait is over. Raises HistoryLost.
        """

    @abc.abstractmethod
    async def probe(self, key: str) -> None:
        """Make the cheapest read there is, to learn whether the service answers."""

    async def scan(self, prefix: str) -> list[KvEntry]:
        """Return all entries under a prefix, in key order."""
        return (await self.snapshot(prefix)).entries

    async def watch(self, prefix: str, from_rev: int) -> AsyncIterator[WatchEvent]:
        """Yield changes under a prefix from a revision on."""
        after_rev = from_rev - 1
        while True:
            changes = await self.poll(prefix, after_rev, WATCH_WAIT_S)
            after_rev = changes.revision
            for event in changes.events:
                yield event
