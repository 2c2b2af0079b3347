"""Group commit of records into journal segments, without I/O; the caller passes in the time."""

from attrs import define, field

from toucanlead_core.codec import to_json

from .records import Record, Segment

SEGMENT_LIMIT_BYTES = 900_000  # the key-value service accepts values of up to 1 MB
SEGMENT_OVERHEAD_BYTES = 200


@define
class _Batch:
    ticket: int
    records: list[Record]
    size_bytes: int


@define
class Batcher:
    """Groups a holder's records into segments, in order, with one segment in flight at a time.

    Segments start at least `delay_s` seconds apart, unless a record is urgent.
    """

    holder: str
    delay_s: float
    next_index: int = 0
    _queued: list[_Batch] = field(factory=list)
    _in_flight: list[_Batch] = field(factory=list)
    _segment: Segment | None = None
    _due_at: float | None = None
    _started_at: float = -1e9
    _last_ticket: int = 0

    def add(self, records: list[Record], now: float, *, urgent: bool) -> int:
        """Queue a batch of records that must become durable together; return its ticket.

        Urgent records do not wait for the delay. Raise ValueError if the records
        do not fit into one segment.
        """
        size_bytes = sum(len(to_json(record)) + 16 for record in records)
        if size_bytes > SEGMENT_LIMIT_BYTES - SEGMENT_OVERHEAD_BYTES:
            raise ValueError(f'records of {size_bytes} bytes do not fit into one segment')
        self._last_ticket += 1
        self._queued.append(_Batch(self._last_ticket, records, size_bytes))
        # The first record after an idle period is written at once; a busy journal groups them.
        due = now if urgent else max(now, self._started_at + self.delay_s)
        self._due_at = due if self._due_at is None else min(self._due_at, due)
        return self._last_ticket

    def due_at(self) -> float | None:
        """Return when to start the next segment, None if nothing waits or one is in flight."""
        if self._segment is not None:
            return None
        return self._due_at

    @property
    def in_flight(self) -> Segment | None:
        """Return the segment being written, None if there is none."""
        return self._segment

    @property
    def backlog(self) -> int:
        """Return the number of batches that wait for the next segments."""
        return len(self._queued)

    def start(self, nonce: str, now: float) -> Segment:
        """Put as many waiting batches as fit into the next segment and return it."""
        self._started_at = now
        size_bytes = SEGMENT_OVERHEAD_BYTES
        while self._queued:
            size_bytes += self._queued[0].size_bytes
            if size_bytes > SEGMENT_LIMIT_BYTES:
                break
            self._in_flight.append(self._queued.pop(0))
        if not self._queued:
            self._due_at = None
        records = [record for batch in self._in_flight for record in batch.records]
        self._segment = Segment(nonce, self.holder, self.next_index, records)
        return self._segment

    def mark_committed(self) -> list[int]:
        """Record that the segment in flight is durable; return the tickets of its batches."""
        tickets = [batch.ticket for batch in self._in_flight]
        self._in_flight = []
        self._segment = None
        self.next_index += 1
        return tickets

    def uncommitted(self) -> list[Record]:
        """Return all records that are not known to be durable, in order."""
        batches = self._in_flight + self._queued
        return [record for batch in batches for record in batch.records]

    def drop_uncommitted(self) -> list[int]:
        """Drop all batches that are not known to be durable; return their tickets."""
        tickets = [batch.ticket for batch in self._in_flight + self._queued]
        self._in_flight = []
        self._queued = []
        self._segment = None
        self._due_at = None
        return tickets


def commit_delay_s(members: int, writes_per_s: float, min_interval_s: float) -> float:
    """Return the delay that keeps the journals of all members within a total write rate."""
    return max(min_interval_s, members / writes_per_s)
