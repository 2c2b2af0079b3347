"""Parsing of JSON request bodies; invalid ones raise a BAD_REQUEST refusal."""

from typing import Any

import orjson
from aiohttp import web

from toucanlead_core.codec import from_json
from toucanlead_core.errors import Reason, Refusal


async def json_object(req: web.Request) -> dict[str, Any]:
    """Parse a request's body as a JSON object; raise Refusal if it is anything else."""
    try:
        body = orjson.loads(await req.read())
    except orjson.JSONDecodeError as exc:
        raise Refusal(Reason.BAD_REQUEST, f'malformed JSON: {exc}') from None
    if not isinstance(body, dict):
        raise Refusal(Reason.BAD_REQUEST, 'expected a JSON object')
    return body


def typed_body(body: bytes, kind: type) -> Any:
    """Parse a JSON body as an instance of `kind`; raise Refusal if it does not match."""
    try:
        return from_json(body, kind)
    except ValueError as exc:
        raise Refusal(Reason.BAD_REQUEST, str(exc)) from None
