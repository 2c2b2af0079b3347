"""Bodies of requests: JSON that is typed, or refused as a bad request."""

from typing import Any

import orjson
from aiohttp import web

from toucanlead_core.codec import from_json
from toucanlead_core.errors import Reason, Refusal


async def json_object(req: web.Request) -> dict[str, Any]:
    """Return a request's body, which must be a JSON object."""
    try:
        body = orjson.loads(await req.read())
    except orjson.JSONDecodeError as exc:
        raise Refusal(Reason.BAD_REQUEST, f'malformed JSON: {exc}') from None
    if not isinstance(body, dict):
        raise Refusal(Reason.BAD_REQUEST, 'expected a JSON object')
    return body


def typed_body(body: bytes, kind: type) -> Any:
    """Return a body as a typed value."""
    try:
        return from_json(body, kind)
    except ValueError as exc:
        raise Refusal(Reason.BAD_REQUEST, str(exc)) from None
