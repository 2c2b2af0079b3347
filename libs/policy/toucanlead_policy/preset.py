"""Presets: sets of weights and limits chosen by operators; exactly one is in force."""

from attrs import field, frozen, validators

_POSITIVE = validators.gt(0)
_SHARE = validators.and_(validators.ge(0), validators.le(1))


@frozen
class Preset:
    """All adjustable parameters of the scheduling decisions.

    A weight multiplies one part of a replica's expected latency: queue, prefill or link.
    It is in milliseconds of cost per millisecond of that part, so 1.0 counts the part
    at its expected latency.
    """

    name: str = 'ordinary'
    queue_weight: float = field(default=1.0, validator=validators.ge(0))
    prefill_weight: float = field(default=1.0, validator=validators.ge(0))
    link_weight: float = field(default=1.0, validator=validators.ge(0))
    candidates: int = field(default=3, validator=_POSITIVE)
    admit_queue_s: float = field(default=20.0, validator=_POSITIVE)
    turn_queue_s: float = field(default=120.0, validator=_POSITIVE)
    team_concurrency: int = field(default=64, validator=_POSITIVE)
    team_tokens_per_s: float = field(default=20_000.0, validator=_POSITIVE)
    max_turns: int = field(default=260, validator=_POSITIVE)
    repeat_limit: int = field(default=8, validator=_POSITIVE)
    retry_share: float = field(default=0.1, validator=_SHARE)
    attempts: int = field(default=3, validator=_POSITIVE)
    progress_timeout_s: float = field(default=5.0, validator=_POSITIVE)
    first_token_timeout_s: float = field(default=30.0, validator=_POSITIVE)
    gap_wait_s: float = field(default=5.0, validator=_POSITIVE)
    claim_wait_s: float = field(default=2.0, validator=_POSITIVE)
    record_wait_s: float = field(default=2.0, validator=_POSITIVE)
    grant_calls: int = field(default=4, validator=_POSITIVE)
    aging_s: float = field(default=30.0, validator=_POSITIVE)


ORDINARY = Preset()
PEAK = Preset(name='peak', admit_queue_s=8.0, turn_queue_s=60.0, retry_share=0.05)
MAINTENANCE = Preset(name='maintenance', candidates=4, admit_queue_s=40.0, attempts=4)
