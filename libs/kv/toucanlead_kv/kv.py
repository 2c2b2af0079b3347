"""Interface of the key-value service and its message types."""

import abc
from collections.abc import AsyncIterator

from attrs import define, field, frozen

from toucanlead_core.errors import PeerError

WATCH_WAIT_S = 30.0  # the platform's limit per watch call
POLL_MARGIN_S = 1.0  # added to the wait time that a poll asks the service for


@frozen
class KvEntry:
    """A key and its value, with the revisions of its creation and its last change."""

    key: str
    value: bytes
    create_rev: int
    mod_rev: int


@frozen
class Compare:
    """A condition: the key was last changed at `mod_rev`, or does not exist if that is 0."""

    key: str
    mod_rev: int


@frozen
class Put:
    """Write a value, attached to a lease unless `lease` is 0."""

    key: str
    value: bytes
    lease: int = 0


@frozen
class Delete:
    """Delete a key."""

    key: str


@frozen
class TxnResult:
    """The result of a transaction, with the service's revision.

    `succeeded` says whether all conditions held. If not, `current` has the entries of
    the compared keys, as far as the service returns them.
    """

    succeeded: bool
    revision: int
    current: list[KvEntry] = field(factory=list)


@frozen
class WatchEvent:
    """A change of a key; `value` is None for a deletion."""

    key: str
    value: bytes | None
    mod_rev: int


@frozen
class Snapshot:
    """The entries under a prefix, and the revision after which to poll for changes."""

    entries: list[KvEntry]
    revision: int


@frozen
class Changes:
    """Changes under a prefix, and the revision after which to poll next."""

    events: list[WatchEvent]
    revision: int


class HistoryCompacted(PeerError):
    """The service has dropped the changes after a revision; take a new snapshot."""


class LeaseLost(PeerError):
    """The lease of an operation has expired; the operation had no effect."""


@define
class KvCounters:
    """Counters of the calls that the service received."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    write_bytes: int = 0
    unknown: int = field(default=0)


class KeyValueStore(abc.ABC):
    """A key-value service with compare-and-swap transactions, leases and watches.

    Every method raises NotSent if the request certainly had no effect, and
    OutcomeUnknown if no response arrived.
    """

    @abc.abstractmethod
    async def get(self, key: str) -> KvEntry | None:
        """Return the entry at a key, or None if the key does not exist."""

    @abc.abstractmethod
    async def scan(self, prefix: str) -> list[KvEntry]:
        """Return all entries under a prefix, in key order."""

    @abc.abstractmethod
    async def txn(self, compares: list[Compare], ops: list[Put | Delete]) -> TxnResult:
        """Apply all operations atomically if all conditions hold."""

    @abc.abstractmethod
    async def grant_lease(self, ttl_s: int) -> int:
        """Create a lease and return its id."""

    @abc.abstractmethod
    async def keep_alive(self, lease: int) -> bool:
        """Renew a lease; return False if it has expired."""

    @abc.abstractmethod
    async def revoke(self, lease: int) -> None:
        """Revoke a lease, which deletes its keys."""

    @abc.abstractmethod
    def watch(self, prefix: str, from_rev: int) -> AsyncIterator[WatchEvent]:
        """Yield changes under a prefix, starting at a revision."""


class PollingStore(KeyValueStore):
    """A key-value service whose watches are long-poll calls after a known revision."""

    @abc.abstractmethod
    async def snapshot(self, prefix: str) -> Snapshot:
        """Return all entries under a prefix.

        Polling after the snapshot's revision may return changes that it already contains.
        """

    @abc.abstractmethod
    async def poll(
        self, prefix: str, after_rev: int, wait_s: float, margin_s: float = POLL_MARGIN_S
    ) -> Changes:
        """Wait up to `wait_s` for changes after a revision; return none on timeout.

        Raises HistoryCompacted if the service no longer has these changes, and OutcomeUnknown
        if no response has arrived `margin_s` after the wait.
        """

    @abc.abstractmethod
    async def probe(self, key: str) -> None:
        """Make the cheapest possible read, to check that the service responds."""

    @property
    def is_relayed(self) -> bool:
        """Return whether calls go through peers because the service rejects this process."""
        return False

    async def scan(self, prefix: str) -> list[KvEntry]:
        """Return all entries under a prefix, in key order."""
        return (await self.snapshot(prefix)).entries

    async def watch(self, prefix: str, from_rev: int) -> AsyncIterator[WatchEvent]:
        """Yield changes under a prefix, starting at a revision."""
        after_rev = from_rev - 1
        while True:
            changes = await self.poll(prefix, after_rev, WATCH_WAIT_S)
            after_rev = changes.revision
            for event in changes.events:
                yield event
