"""Problem documents (RFC 9457) for refused requests."""

import orjson
from aiohttp import web

from toucanlead_core.errors import Reason, Refusal

STATUS_BY_REASON = {
    Reason.BAD_REQUEST: 400,
    Reason.TOO_LARGE: 413,
    Reason.UNAUTHORIZED: 401,
    Reason.FORBIDDEN: 403,
    Reason.UNKNOWN_PROGRAM: 404,
    Reason.UNKNOWN_CALL: 404,
    Reason.UNKNOWN_MODEL: 404,
    Reason.UNKNOWN_TOOL: 404,
    Reason.PROGRAM_ENDED: 410,
    Reason.BODY_MISMATCH: 409,
    Reason.HISTORY_MISMATCH: 409,
    Reason.SEQ_GAP: 409,
    Reason.HISTORY_BEHIND: 409,
    Reason.IN_PROGRESS: 409,
    Reason.IN_DOUBT: 409,
    Reason.CONFLICT: 412,
    Reason.BUDGET_EXHAUSTED: 402,
    Reason.RUNAWAY: 429,
    Reason.TURN_LIMIT: 429,
    Reason.TEAM_LIMIT: 429,
    Reason.DEADLINE: 408,
    Reason.BACKEND_FAILED: 502,
    Reason.TOOL_TIMEOUT: 504,
    Reason.INTERNAL: 500,
}
DEFAULT_STATUS = 503


def problem_document(refusal: Refusal) -> dict[str, object]:
    """Return a refusal as a problem document."""
    return {
        'type': f'urn:toucanlead:refusal:{refusal.reason.value}',
        'title': refusal.reason.value.replace('_', ' '),
        'status': STATUS_BY_REASON.get(refusal.reason, DEFAULT_STATUS),
        'detail': refusal.detail,
        'ran': refusal.ran.value,
        'reason': refusal.reason.value,
        'step': refusal.step.value,
        'peer': refusal.peer,
        'retry_after_ms': refusal.retry_after_ms,
    }


def problem_response(refusal: Refusal) -> web.Response:
    """Return a refusal as an HTTP response."""
    document = problem_document(refusal)
    headers = {}
    if refusal.retry_after_ms is not None:
        headers['Retry-After'] = str(max(1, round(refusal.retry_after_ms / 1000)))
    return web.Response(
        body=orjson.dumps(document),
        status=int(document['status']),
        content_type='application/problem+json',
        headers=headers,
    )
