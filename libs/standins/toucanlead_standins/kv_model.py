"""State of the stand-in key-value service: revisions, leases, watches and faults."""

import asyncio
from collections.abc import Callable

from attrs import define, field

from toucanlead_kv.kv import (
    Compare,
    Delete,
    HistoryCompacted,
    KvCounters,
    KvEntry,
    Put,
    TxnResult,
    WatchEvent,
)

MAX_VALUE_BYTES = 1_000_000


@define
class _Lease:
    ttl_s: float
    expires_at: float
    keys: set[str] = field(factory=set)


class KvModel:
    """State of one key-value service; each method takes effect at once.

    `clock` returns the time in seconds, by which leases expire. Servers and clients of
    the model apply its faults: `down`, `delay_s`, and `lose_answers`, the number of
    coming writes whose answers get lost.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._entries: dict[str, KvEntry] = {}
        self._leases: dict[int, _Lease] = {}
        self._history: list[WatchEvent] = []
        self._change_events: dict[str, asyncio.Event] = {}
        self._changed_keys: set[str] = set()
        self._last_lease = 0
        self.revision = 1
        self.oldest_revision = 1
        self.counters = KvCounters()
        self.down = False
        self.delay_s = 0.0
        self.lose_answers = 0

    def get(self, key: str) -> KvEntry | None:
        """Return an entry, or None."""
        self._expire()
        self.counters.reads += 1
        return self._entries.get(key)

    def scan(self, prefix: str) -> list[KvEntry]:
        """Return all entries under a prefix, in key order."""
        self._expire()
        self.counters.reads += 1
        return [self._entries[k] for k in sorted(self._entries) if k.startswith(prefix)]

    def txn(self, compares: list[Compare], ops: list[Put | Delete]) -> TxnResult:
        """Apply all operations if all conditions hold; ValueError when a value is too long."""
        self._expire()
        self.counters.writes += 1
        for compare in compares:
            entry = self._entries.get(compare.key)
            if (entry.mod_rev if entry else 0) != compare.mod_rev:
                return TxnResult(False, self.revision)
        self.revision += 1
        for op in ops:
            if isinstance(op, Delete):
                self._delete(op.key)
            else:
                self._put(op)
        self._notify()
        return TxnResult(True, self.revision)

    def grant_lease(self, ttl_s: float) -> int:
        """Create a lease and return its id."""
        self.counters.writes += 1
        self._last_lease += 1
        lease = self._last_lease
        self._leases[lease] = _Lease(ttl_s, self._clock() + ttl_s)
        return lease

    def keep_alive(self, lease: int) -> bool:
        """Renew a lease; False when it has expired or does not exist."""
        self._expire()
        self.counters.writes += 1
        record = self._leases.get(lease)
        if record is None or record.expires_at <= self._clock():
            return False
        record.expires_at = self._clock() + record.ttl_s
        return True

    def lease_exists(self, lease: int) -> bool:
        """Return whether a lease exists and has not expired."""
        self._expire()
        return lease in self._leases

    def revoke(self, lease: int) -> None:
        """End a lease and delete its keys."""
        record = self._leases.get(lease)
        if record is not None:
            record.expires_at = self._clock()
            self._expire()

    def compact_history(self) -> None:
        """Discard the past changes; a watch can then start only at a later revision."""
        self._history.clear()
        self.oldest_revision = self.revision + 1

    def events_from(self, prefix: str, revision: int) -> list[WatchEvent]:
        """Return changes at or above a revision; HistoryCompacted when some were discarded."""
        self._expire()
        if revision < self.oldest_revision:
            raise HistoryCompacted(
                f'changes from revision {revision} were discarded', step='watch', peer='stand-in'
            )
        start = len(self._history)
        while start and self._history[start - 1].mod_rev >= revision:
            start -= 1
        return [e for e in self._history[start:] if e.key.startswith(prefix)]

    def next_change(self, prefix: str) -> asyncio.Event:
        """Return an event that is set at the next change under a prefix.

        Get it before reading the changes, so that none in between is missed.
        """
        return self._change_events.setdefault(prefix, asyncio.Event())

    def _put(self, op: Put) -> None:
        if len(op.value) > MAX_VALUE_BYTES:
            raise ValueError(f'{op.key}: value of {len(op.value)} bytes is over the limit')
        self.counters.write_bytes += len(op.value)
        old = self._entries.get(op.key)
        create_rev = old.create_rev if old else self.revision
        self._entries[op.key] = KvEntry(op.key, op.value, create_rev, self.revision)
        self._record_change(op.key, op.value)
        for lease in self._leases.values():
            lease.keys.discard(op.key)
        if op.lease in self._leases:
            self._leases[op.lease].keys.add(op.key)

    def _delete(self, key: str) -> None:
        if self._entries.pop(key, None) is not None:
            self._record_change(key, None)

    def _expire(self) -> None:
        now = self._clock()
        lapsed = [lease for lease, record in self._leases.items() if record.expires_at <= now]
        for lease in lapsed:
            record = self._leases.pop(lease)
            self.revision += bool(record.keys)
            for key in sorted(record.keys):
                self._delete(key)
        if lapsed:
            self._notify()

    def _record_change(self, key: str, value: bytes | None) -> None:
        self._history.append(WatchEvent(key, value, self.revision))
        self._changed_keys.add(key)

    def _notify(self) -> None:
        for prefix in list(self._change_events):
            if any(key.startswith(prefix) for key in self._changed_keys):
                self._change_events.pop(prefix).set()
        self._changed_keys.clear()
