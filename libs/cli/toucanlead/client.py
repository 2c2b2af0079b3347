"""Client for the administration API."""

import asyncio
from typing import Any

import aiohttp
import orjson
from attrs import frozen

from .errors import AdminError

REQUEST_TIMEOUT_S = 30.0


@frozen
class AdminReply:
    """A JSON response and its ETag, the configuration revision it was read at."""

    document: dict[str, Any]
    revision: str


class AdminClient:
    """Sends requests to an entry's administration port, one at a time."""

    def __init__(self, server: str, key: str) -> None:
        """`server` is host:port; `key` is an operator key."""
        self._server = server
        self._key = key

    def request(
        self, method: str, path: str, body: Any = None, base: str | None = None
    ) -> AdminReply:
        """Send a request; raise AdminError if it is refused or gets no answer.

        `base` is the revision that a change is based on, sent as If-Match.
        """
        return asyncio.run(self._request(method, path, body, base))

    async def _request(self, method: str, path: str, body: Any, base: str | None) -> AdminReply:
        headers = {'Authorization': f'Bearer {self._key}'}
        if base is not None:
            headers['If-Match'] = base
        url = f'http://{self._server}{path}'
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.request(method, url, json=body, headers=headers) as resp,
            ):
                text = await resp.read()
                document = orjson.loads(text) if 'json' in resp.content_type else {}
                if resp.status >= 400:
                    raise AdminError(_error_text(resp.status, document))
                return AdminReply(document, resp.headers.get('ETag', ''))
        except (aiohttp.ClientError, asyncio.TimeoutError) as exc:
            raise AdminError(f'{self._server}: {exc or "no answer"}') from None


def _error_text(status: int, document: dict[str, Any]) -> str:
    title = document.get('title', f'status {status}')
    detail = document.get('detail', '')
    return f'{title}: {detail}' if detail else title
