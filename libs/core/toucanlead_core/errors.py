"""Refusals and errors, with the step of the call and the peer where they occurred."""

from enum import Enum


class ExecutionStatus(str, Enum):
    """Whether a back end executed a refused call."""

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
    """Why a request was refused; /metrics has a counter for each member."""

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
    TEAM_RATE_UNKNOWN = 'team_rate_unknown'
    OVERLOAD = 'overload'
    DEADLINE = 'deadline'
    NO_REPLICA = 'no_replica'
    NO_LINK = 'no_link'
    BACKEND_FAILED = 'backend_failed'
    TOOL_TIMEOUT = 'tool_timeout'
    PLATFORM_DOWN = 'platform_down'
    OWNERSHIP_LOST = 'ownership_lost'
    NOT_OWNER = 'not_owner'
    OWNER_UNREACHABLE = 'owner_unreachable'
    NO_ROUTE = 'no_route'
    KEY_IN_DOUBT = 'key_in_doubt'
    NOT_CONFIGURED = 'not_configured'
    UNKNOWN_TURN = 'unknown_turn'
    HISTORY_UNAVAILABLE = 'history_unavailable'
    BUDGET_UNAVAILABLE = 'budget_unavailable'
    REPLICAS_FULL = 'replicas_full'
    REPLICA_LIMIT = 'replica_limit'
    CRASHES_REPLICAS = 'crashes_replicas'
    STREAM_VERSION_UNKNOWN = 'stream_version_unknown'
    STREAM_VERSION_GONE = 'stream_version_gone'
    STOPPING = 'stopping'
    NO_MEMORY = 'no_memory'
    CONFLICT = 'conflict'
    INTERNAL = 'internal'


class RetryReason(str, Enum):
    """Why a request to a back end, peer or service was retried."""

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
    """A refused request: the reason given to the caller and whether the call ran.

    `step` is the step that failed, `peer` the process or back end involved, and
    `retry_after_ms` the delay after which the caller may retry.
    """

    def __init__(
        self,
        reason: Reason,
        detail: str = '',
        *,
        ran: ExecutionStatus = ExecutionStatus.NOT_RUN,
        step: Step = Step.ACCEPT,
        peer: str = '',
        retry_after_ms: int | None = None,
    ) -> None:
        super().__init__(f'{reason.value} at {step.value}: {detail or "refused"}')
        self.reason = reason
        self.detail = detail
        self.ran = ran
        self.step = step
        self.peer = peer
        self.retry_after_ms = retry_after_ms


class PeerError(Exception):
    """A failure of a peer, platform service or back end, with the step where it occurred."""

    def __init__(self, detail: str, *, step: Step | str = '', peer: str = '') -> None:
        super().__init__(f'{detail} (step={getattr(step, "value", step)} peer={peer})')
        self.detail = detail
        self.step = step
        self.peer = peer


class NotSent(PeerError):
    """The request was certainly not received, for example because the connection was refused."""


class OutcomeUnknown(PeerError):
    """No valid response arrived, so the request may or may not have taken effect."""


class Fenced(PeerError):
    """A new owner has sealed the journal; this process may not append to it any more."""
