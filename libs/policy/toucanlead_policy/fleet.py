"""What an entry knows of each replica: its capacity, its load and whether it is leaving."""

import math
from collections import deque

from attrs import define, field, frozen

SERVICE_TIME_SMOOTHING = 0.1
REPORT_FRESH_S = 0.5
REPORT_HALF_LIFE_S = 1.0
OWN_HISTORY_LENGTH = 128  # must cover the few seconds by which load reports are late


@frozen
class OutstandingCount:
    """The number of this entry's outstanding requests from the time `at` on."""

    at: float
    count: int


@define
class ReplicaState:
    """One replica of a model and its load as this entry sees it.

    The `own` fields count this entry's requests alone; `reported_outstanding` counts the
    requests of all entries in the replica's last load report.
    """

    name: str
    model: str
    zone: str
    region: str
    slots: int = 8
    prefill_tokens_per_s: float = 8000.0
    decode_token_s: float = 0.03
    address: str = ''
    leaving: bool = False
    own_outstanding: int = 0
    own_prefill_tokens: float = 0.0
    reported_outstanding: int = 0
    own_outstanding_at_report: int = 0
    reported_at: float = -1e9
    cache_usage: float = 0.0
    mean_service_s: float = 2.0
    _own_history: deque[OutstandingCount] = field(factory=lambda: deque(maxlen=OWN_HISTORY_LENGTH))

    def record_sent(self, tokens: float, now: float) -> None:
        """Count a request as sent, with the tokens it is expected to prefill."""
        self.own_prefill_tokens += tokens
        self._change_own(1, now)

    def end_prefill(self, tokens: float) -> None:
        """Subtract the tokens of a prefill that has ended."""
        self.own_prefill_tokens -= tokens

    def record_end(self, now: float, service_s: float | None) -> None:
        """Count a request as ended; `service_s` is its service time, None if it failed."""
        self._change_own(-1, now)
        if service_s is not None:
            self.mean_service_s += SERVICE_TIME_SMOOTHING * (service_s - self.mean_service_s)

    def apply_load_report(
        self, running: int, waiting: int, taken_at: float, cache_usage: float = 0.0
    ) -> None:
        """Apply a load report; `cache_usage` is the share of cache memory in use."""
        self.cache_usage = cache_usage
        self.reported_outstanding = running + waiting
        self.own_outstanding_at_report = self._own_at(taken_at)
        self.reported_at = taken_at

    def _change_own(self, change: int, now: float) -> None:
        self.own_outstanding += change
        self._own_history.append(OutstandingCount(now, self.own_outstanding))

    def _own_at(self, when: float) -> int:
        """Return the number of this entry's requests that were outstanding at a time."""
        for past in reversed(self._own_history):
            if past.at <= when:
                return past.count
        return 0 if len(self._own_history) < OWN_HISTORY_LENGTH else self.own_outstanding

    def outstanding(self, now: float | None = None) -> float:
        """Estimate the requests of all entries that are outstanding at the replica.

        This is the sum of this entry's requests and those of other entries in the last
        report. With `now`, the latter decay with the age of the report: most of those
        requests have ended, and relying on an old report makes all entries send to the
        same replica.
        """
        others = float(max(0, self.reported_outstanding - self.own_outstanding_at_report))
        if now is not None:
            stale_s = max(0.0, now - self.reported_at - REPORT_FRESH_S)
            others *= 0.5 ** (stale_s / REPORT_HALF_LIFE_S)
        return others + self.own_outstanding

    def queue_s(self, now: float | None = None) -> float:
        """Estimate how long a new request waits for a slot and for pending prefills."""
        excess = self.outstanding(now) + 1 - self.slots
        wait_s = max(0.0, excess) * self.mean_service_s / self.slots
        return wait_s + self.own_prefill_tokens / self.prefill_tokens_per_s


@define
class PendingPrefill:
    """The prefill of one request, counted as load of its replica until `stop`."""

    replica: ReplicaState
    tokens: float

    def stop(self) -> None:
        """Remove the prefill from the replica's load; further calls do nothing."""
        self.replica.end_prefill(self.tokens)
        self.tokens = 0.0


@define
class Fleet:
    """All replicas by name and by model, so that a lookup takes the same time at any size."""

    replicas: dict[str, ReplicaState] = field(factory=dict)
    _by_model: dict[str, list[str]] = field(factory=dict)

    def add(self, replica: ReplicaState) -> None:
        """Add a replica, or replace the one of the same name."""
        if replica.name not in self.replicas:
            self._by_model.setdefault(replica.model, []).append(replica.name)
        self.replicas[replica.name] = replica

    def remove(self, name: str) -> None:
        """Remove a replica, if it is known."""
        replica = self.replicas.pop(name, None)
        if replica is not None:
            self._by_model[replica.model].remove(name)

    def models(self) -> list[str]:
        """Return the models that have replicas."""
        return sorted(model for model, names in self._by_model.items() if names)

    def regions(self) -> set[str]:
        """Return the regions that have replicas."""
        return {replica.region for replica in self.replicas.values()}

    def names_of_model(self, model: str) -> list[str]:
        """Return the names of a model's replicas; the list must not be modified."""
        return self._by_model.get(model, [])

    def mean_queue_s(self, model: str, sample: int = 8) -> float:
        """Return the mean estimated wait over at most `sample` of a model's replicas."""
        names = self.names_of_model(model)
        step = max(1, math.ceil(len(names) / sample))
        waits = [self.replicas[name].queue_s() for name in names[::step]]
        return sum(waits) / len(waits) if waits else 0.0
