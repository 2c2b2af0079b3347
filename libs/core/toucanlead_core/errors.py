"""Errors with the step and the peer at which they arose."""

from enum import Enum


class Ran(str, Enum):
    """Whether a refused call took effect at a back end."""

    NOT_RUN = 'not_run'
    RAN = 'ran'
    UNKNOWN = 'unknown'


class Step(str, Enum):
    """The steps of a call, in order."""

    ACCEPT = 'accept'
    ORDER = 'order'
    RESERVE = 'reserve'
    CLAIM = 'claim'
    ROUTE = 'route'
    SEND = 'send'
    STREAM = 'stream'
    ANSWER = 'answer'
    RECORD = 'record'
    RELEASE = 'release'


class Reason(str, Enum):
    """Why a request was refused; each member has a counter in /metrics."""

    BAD_REQUEST = 'bad_request'
    TOO_LARGE = 'too_large'
    UNAUTHORIZED = 'unauthorized'
    FORBIDDEN = 'forbidden'
    UNKNOWN_PROGRAM = 'unknown_program'
    UNKNOWN_CALL = 'unknown_call'
    UNKNOWN_MODEL = 'unknown_model'
    UNKNOWN_TOOL = 'unknown_tool'
    PROGRAM_ENDED = 'program_ended'
    BODY_MISMATCH = 'body_mismatch'
    HISTORY_MISMATCH = 'history_mismatch'
    SEQ_GAP = 'seq_gap'
    HISTORY_BEHIND = 'history_behind'
    IN_PROGRESS = 'in_progress'
    IN_DOUBT = 'in_doubt'
    BUDGET_EXHAUSTED = 'budget_exhausted'
    RUNAWAY = 'runaway'
    TURN_LIMIT = 'turn_limit'
    TEAM_LIMIT = 'team_limit'
    OVERLOAD = 'overload'
    DEADLINE = 'deadline'
    NO_REPLICA = 'no_replica'
    BACKEND_FAILED = 'backend_failed'
    TOOL_TIMEOUT = 'tool_timeout'
    PLATFORM_DOWN = 'platform_down'
    OWNERSHIP_LOST = 'ownership_lost'
    NOT_OWNER = 'not_owner'
    OWNER_UNREACHABLE = 'owner_unreachable'
    NO_ROUTE = 'no_route'
    NOT_CONFIGURED = 'not_configured'
    UNKNOWN_TURN = 'unknown_turn'
    HISTORY_UNAVAILABLE = 'history_unavailable'
    BUDGET_UNAVAILABLE = 'budget_unavailable'
    REPLICAS_FULL = 'replicas_full'
    STOPPING = 'stopping'
    CONFLICT = 'conflict'
    INTERNAL = 'internal'


class RetryReason(str, Enum):
    """Why a request to a back end, peer or service was sent again."""

    CONNECT_FAILED = 'connect_failed'
    STREAM_SILENT = 'stream_silent'
    STREAM_BROKEN = 'stream_broken'
    REPLICA_BUSY = 'replica_busy'
    OWNER_MOVED = 'owner_moved'
    OWNER_UNREACHABLE = 'owner_unreachable'
    ANSWER_LOST = 'answer_lost'
    PLATFORM_DOWN = 'platform_down'
    RELEASE_FAILED = 'release_failed'
    WRONG_REPLICA = 'wrong_replica'


class Refusal(Exception):
    """A refused request: what the caller is told and whether anything ran."""

    def __init__(
        self,
        reason: Reason,
        detail: str = '',
        *,
        ran: Ran = Ran.NOT_RUN,
        step: Step = Step.ACCEPT,
        peer: str = '',
        retry_after_ms: int | None = None,
    ) -> None:
        """Keep the parts; the text is for logs."""
        super().__init__(f'{reason.value} at {step.value}: {detail or "refused"}')
        self.reason = reason
        self.detail = detail
        self.ran = ran
        self.step = step
        self.peer = peer
        self.retry_after_ms = retry_after_ms


class PeerError(Exception):
    """A peer, platform service or back end failed; says where."""

    def __init__(self, detail: str, *, step: Step | str = '', peer: str = '') -> None:
        """Keep the step and the peer at which the error arose."""
        super().__init__(f'{detail} (step={getattr(step, "value", step)} peer={peer})')
        self.detail = detail
        self.step = step
        self.peer = peer


class NotSent(PeerError):
    """The request provably reached nobody, such as a refused connection."""


class OutcomeUnknown(PeerError):
    """The request may have taken effect; no answer arrived."""


class Fenced(PeerError):
    """The journal was sealed by a new owner; nothing more may be appended."""
