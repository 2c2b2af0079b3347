"""What an entry believes of its own links to replicas, from what it sent and heard.

One replica that is silent or accepts no connection says nothing about this entry's links. They
are believed to be down when several replicas accept no connection and none has accepted one
since, and to work again once one does. Silence alone only makes the entry try a connection.
"""

from enum import Enum

from attrs import define, field, frozen

SILENCE_S = 0.4  # without a byte from any replica, although a request is unanswered
OPEN_FAILURE_S = 2.0  # how long a failure to open a connection counts
LIVELY_S = 0.3  # since a byte came over an open connection
MIN_REPLICAS = 2  # that accept no connection before the fault is sought in this entry's links
PROBE_INTERVAL_S = 0.5
LATE_CHECK_S = 0.5  # since the check before: this process stood still, not the replicas


class OpenFailure(str, Enum):
    """Why a connection could not be opened."""

    REFUSED = 'refused'
    NO_ANSWER = 'no_answer'


@frozen(eq=False)
class UnansweredSend:
    """A request to a replica whose answer has not ended."""

    sent_at: float


@frozen
class _FailedOpen:
    at: float
    failure: OpenFailure


@define(eq=False)
class OwnLinks:
    """The links of one entry to all replicas; times are loop times in seconds.

    `heard_at` is when the last byte came from any replica. `down_since` is when the links
    were found to be down, None while they work.
    """

    heard_at: float = 0.0
    down_since: float | None = None
    _unanswered: set[UnansweredSend] = field(factory=set)
    _failed_opens: dict[str, _FailedOpen] = field(factory=dict)
    _checked_at: float | None = None
    _counted_from: float = 0.0
    _probed_at: float = float('-inf')

    @property
    def down(self) -> bool:
        """Return whether requests should go through peers."""
        return self.down_since is not None

    def record_send(self, now: float) -> UnansweredSend:
        """Record that a request was sent to a replica."""
        send = UnansweredSend(now)
        self._unanswered.add(send)
        return send

    def record_end(self, send: UnansweredSend) -> None:
        """Record that an answer has ended, or was given up."""
        self._unanswered.discard(send)

    def record_heard(self, now: float) -> None:
        """Record that a byte came from a replica."""
        self.heard_at = max(self.heard_at, now)

    def record_opened(self, now: float) -> None:
        """Record that a replica accepted a connection."""
        self._failed_opens.clear()
        self.down_since = None
        self._counted_from = self.heard_at = now

    def record_open_failed(self, run: str, failure: OpenFailure, now: float) -> None:
        """Record that a connection to a run of a replica could not be opened."""
        self._failed_opens[run] = _FailedOpen(now, failure)
        recent = [f for f in self._failed_opens.values() if now - f.at < OPEN_FAILURE_S]
        if self.down_since is None and len(recent) >= MIN_REPLICAS:
            self.down_since = now

    def usable(self, has_idle_connection: bool, now: float) -> bool:
        """Return whether a request may be sent over the link to a replica.

        `has_idle_connection` says whether that needs no new connection: open ones may live on
        while new ones are refused.
        """
        if not self.down:
            return True
        if not has_idle_connection or self.is_silent(now):
            return False
        return now - self.heard_at < LIVELY_S or not self._no_answers()

    def is_silent(self, now: float) -> bool:
        """Return whether nothing has come from any replica although a request is unanswered."""
        if not self._unanswered:
            return False
        waiting_since = min(send.sent_at for send in self._unanswered)
        return now >= max(waiting_since, self.heard_at, self._counted_from) + SILENCE_S

    def is_lost(self, now: float) -> bool:
        """Return whether requests that wait for an answer will not get one."""
        return self.down and self.is_silent(now)

    def is_probe_due(self, now: float) -> bool:
        """Return whether to open connections only to learn whether that works.

        To be called several times a second. A call that is late shows that this process stood
        still: what came meanwhile has not been read yet.
        """
        if self._checked_at is not None and now - self._checked_at > LATE_CHECK_S:
            self._counted_from = now
        self._checked_at = now
        if now - self._probed_at < PROBE_INTERVAL_S or not (self.down or self.is_silent(now)):
            return False
        self._probed_at = now
        return True

    def failed_runs(self) -> set[str]:
        """Return the runs that have accepted no connection since one was last accepted."""
        return set(self._failed_opens)

    def keep_only(self, runs: set[str]) -> None:
        """Forget runs of replicas that no longer exist."""
        for run in self._failed_opens.keys() - runs:
            del self._failed_opens[run]

    def _no_answers(self) -> bool:
        """Return whether packets are lost, not only connections refused."""
        return any(f.failure is OpenFailure.NO_ANSWER for f in self._failed_opens.values())
