"""Prometheus metrics of the serving processes."""

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from toucanlead_core.errors import Reason, RetryReason

LATENCY_BUCKETS_S = (0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 4.0)


class ServingMetrics:
    """Metrics in their own registry, so that several entries can run in one OS process."""

    def __init__(self) -> None:
        """Create the counters; each refusal and retry reason starts at zero."""
        self.registry = CollectorRegistry()
        self._answers = Counter(
            'toucanlead_answers', 'Whole answers', ['kind'], registry=self.registry
        )
        self._refusals = Counter(
            'toucanlead_serving_refusals', 'Refusals', ['reason'], registry=self.registry
        )
        self._refused_keys = Counter(
            'toucanlead_refused_keys',
            'Requests refused for their keys, by what is wrong and whether that is certain',
            ['fault', 'outcome'],
            registry=self.registry,
        )
        self._retries = Counter(
            'toucanlead_serving_retries', 'Retries', ['reason'], registry=self.registry
        )
        self._sent_to_limited = Counter(
            'toucanlead_sent_to_limited_replicas',
            'Requests sent to replicas that name a rate limit',
            registry=self.registry,
        )
        self._resumed = Counter(
            'toucanlead_resumed_streams',
            'Streams that callers resumed, by how their version is known',
            ['source'],
            registry=self.registry,
        )
        self._relayed = Counter(
            'toucanlead_relayed_requests',
            'Requests sent through a peer (out) or for a peer (in)',
            ['direction'],
            registry=self.registry,
        )
        self._task_failures = Counter(
            'toucanlead_task_failures',
            'Background tasks that failed; those without an end are started again',
            ['task'],
            registry=self.registry,
        )
        self._latency = Histogram(
            'toucanlead_answer_seconds',
            'Time to the whole answer',
            ['kind'],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        for reason in Reason:
            self._refusals.labels(reason.value)
        for retry in RetryReason:
            self._retries.labels(retry.value)

    def answered(self, kind: str, seconds: float) -> None:
        """Count a complete answer and record its latency in seconds."""
        self._answers.labels(kind).inc()
        self._latency.labels(kind).observe(seconds)

    def refused(self, reason: Reason) -> None:
        """Count a refusal."""
        self._refusals.labels(reason.value).inc()

    def key_refused(self, fault: str, outcome: str) -> None:
        """Count a request that was refused for its key."""
        self._refused_keys.labels(fault, outcome).inc()

    def retried(self, reason: RetryReason) -> None:
        """Count a retry."""
        self._retries.labels(reason.value).inc()

    def sent_to_limited(self) -> None:
        """Count a request to a replica that names a rate limit."""
        self._sent_to_limited.inc()

    def relayed(self, direction: str) -> None:
        """Count a request sent through a peer (`out`), or for one (`in`)."""
        self._relayed.labels(direction).inc()

    def resumed(self, source: str) -> None:
        """Count a stream that a caller resumed at the version that began it."""
        self._resumed.labels(source).inc()

    def task_failed(self, name: str) -> None:
        """Count a failure of a background task."""
        self._task_failures.labels(name).inc()

    def gauge(self, name: str, help_text: str, read: Callable[[], float]) -> None:
        """Add a gauge whose value is read at each scrape."""
        Gauge(name, help_text, registry=self.registry).set_function(read)

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
