"""Observations of replicas: turns answers into work by which the pace of replicas is learned."""

from attrs import define, field

from toucanlead_policy.placement import PREFILL_TOKENS_PER_MS
from toucanlead_policy.replica_work import OwnWork
from toucanlead_replicas.registry import Replica
from toucanlead_replicas.request import CallerReq

TOKEN_MS = 3.0  # nominal time of a generated token
FIRST_ERROR_STATUS = 500
ASSUMED_ANSWER_S = 0.05  # before the first answer of a kind
MEAN_SHARE = 0.1  # with which a new answer enters the mean of its kind
MAX_KINDS = 256


def _kind(service: str, req: CallerReq) -> tuple[str, str, str]:
    """Return the kind of a request to an application; requests of a kind take similar times."""
    end = req.target.find('/', 1)
    return service, req.method, req.target[:end] if end > 0 else req.target


@define
class ReplicaObservations:
    """Records this entry's requests to replicas over its own links, and their answers."""

    own: OwnWork = field(factory=OwnWork)
    _means_s: dict[tuple[str, str, str], float] = field(factory=dict)

    def expected_ms(self, service: str, req: CallerReq) -> float:
        """Return the nominal time of an answer in milliseconds, without reading a prompt."""
        generation = req.generation
        if generation is None:
            return 1e3 * self._means_s.get(_kind(service, req), ASSUMED_ANSWER_S)
        return TOKEN_MS * (generation.expected_tokens or generation.max_tokens)

    def begin(self, replica: Replica, req: CallerReq, now: float) -> None:
        """Record that a request is sent."""
        self.own.begin(replica.run, _tokens(req), now)

    def end(self, replica: Replica, req: CallerReq, now: float) -> None:
        """Record that a request is no longer at the replica."""
        self.own.end(replica.run, _tokens(req), now)

    def record_answer(self, replica: Replica, req: CallerReq, status: int, seconds: float) -> None:
        """Record an answer; that of an engine counts as work by `record_generated`."""
        if status >= FIRST_ERROR_STATUS:
            self.own.record_failure(replica.run)
        elif req.generation is None:
            kind = _kind(replica.record.service, req)
            known = self._means_s.get(kind)
            if known is None and len(self._means_s) >= MAX_KINDS:
                self._means_s.clear()
            mean = seconds if known is None else known + MEAN_SHARE * (seconds - known)
            self._means_s[kind] = mean
            self.own.record_answer(replica.run, mean)

    def record_generated(self, replica: Replica, uncached_tokens: int, tokens: int) -> None:
        """Record that a replica has read `uncached_tokens` and generated `tokens` tokens."""
        nominal_ms = uncached_tokens / PREFILL_TOKENS_PER_MS + TOKEN_MS * tokens
        self.own.record_answer(replica.run, nominal_ms / 1e3)

    def record_failure(self, replica: Replica) -> None:
        """Record that a replica could not be reached, or that its answer broke off."""
        self.own.record_failure(replica.run)


def _tokens(req: CallerReq) -> int:
    """Return the tokens of engine memory that a request may hold."""
    generation = req.generation
    return generation.prompt_tokens + generation.max_tokens if generation is not None else 0
