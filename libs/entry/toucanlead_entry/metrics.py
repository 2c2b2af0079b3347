"""Prometheus metrics of one entry."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from toucanlead_core.errors import Reason, RetryReason, Step


class Metrics:
    """Metrics of one entry in a separate registry, so that entries can share a process."""

    def __init__(self) -> None:
        """Create all metrics, with a counter at zero for each reason and step."""
        self.registry = CollectorRegistry()
        self.refusals = self._counter('toucanlead_refusals', 'Refused requests', ['reason'])
        self.retries = self._counter('toucanlead_retries', 'Retries', ['reason'])
        self.steps = self._counter('toucanlead_call_steps', 'Calls that reached a step', ['step'])
        self.calls = self._counter('toucanlead_calls', 'Finished calls', ['kind'])
        self.tokens = self._counter('toucanlead_tokens', 'Tokens', ['kind'])
        self.kv_calls = self._counter('toucanlead_kv_calls', 'Key-value calls', ['kind'])
        self.takeovers = self._counter('toucanlead_slot_takeovers', 'Slots taken over', ['why'])
        self.programs = Gauge('toucanlead_programs', 'Programs in memory', registry=self.registry)
        self.in_progress = Gauge(
            'toucanlead_calls_in_progress', 'Calls in progress', registry=self.registry
        )
        self.slots_owned = Gauge('toucanlead_slots', 'Slots owned', registry=self.registry)
        self.first_token = Histogram(
            'toucanlead_first_token_seconds',
            'Time to the first token',
            buckets=(0.05, 0.1, 0.2, 0.4, 0.7, 1.1, 2, 5, 15, 60),
            registry=self.registry,
        )
        for reason in Reason:
            self.refusals.labels(reason.value)
        for retry in RetryReason:
            self.retries.labels(retry.value)
        for step in Step:
            self.steps.labels(step.value)

    def text(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def refused(self, reason: Reason) -> None:
        """Count a refusal."""
        self.refusals.labels(reason.value).inc()

    def retried(self, reason: RetryReason) -> None:
        """Count a retry."""
        self.retries.labels(reason.value).inc()

    def _counter(self, name: str, text: str, labels: list[str]) -> Counter:
        return Counter(name, text, labels, registry=self.registry)
