"""Client for tool services and applications over HTTP with JSON bodies."""

import asyncio

import aiohttp
import orjson

from toucanlead_core.codec import structure
from toucanlead_core.errors import NotSent, OutcomeUnknown, Step
from toucanlead_core.http_status import is_final_status

from .http_connection import MAX_BODY_BYTES, join_chunks
from .tool import ToolOutcome, ToolReq, ToolService

CONNECT_TIMEOUT_S = 1.0
OUTCOME_TIMEOUT_S = 3.0


class HttpTool(ToolService):
    """A tool service reached over HTTP.

    `call` has no overall timeout: its caller limits the time.
    """

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        """`address` is the service's host:port; the caller owns `session`."""
        self._session = session
        self._address = address

    async def call(self, req: ToolReq) -> str:
        """Post the arguments with the idempotency key and return the answer's text."""
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
        headers = {
            'Idempotency-Key': req.idempotency_key,
            'X-Program': req.program_id,
            'X-Seq': str(req.seq),
        }
        url = f'http://{self._address}/v1/tools/{req.tool}'
        try:
            async with self._session.post(
                url, json=req.args, headers=headers, timeout=timeout
            ) as resp:
                if resp.status == 503:
                    raise NotSent('busy', step=Step.SEND, peer=self._address)
                if resp.status >= 400 or not is_final_status(resp.status):
                    raise OutcomeUnknown(
                        f'status {resp.status}', step=Step.ANSWER, peer=self._address
                    )
                return (await self._read(resp)).decode()
        except aiohttp.ClientConnectorError as exc:
            raise NotSent(str(exc), step=Step.SEND, peer=self._address) from exc
        except (aiohttp.ClientError, asyncio.TimeoutError, ConnectionError) as exc:
            raise OutcomeUnknown(repr(exc), step=Step.ANSWER, peer=self._address) from exc

    async def outcome(self, idempotency_key: str) -> ToolOutcome:
        """Return the outcome of an earlier call."""
        timeout = aiohttp.ClientTimeout(total=OUTCOME_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S)
        url = f'http://{self._address}/v1/outcomes/{idempotency_key}'
        try:
            async with self._session.get(url, timeout=timeout) as resp:
                if not is_final_status(resp.status):
                    raise OutcomeUnknown(
                        f'status {resp.status}', step='outcome', peer=self._address
                    )
                return structure(orjson.loads(await self._read(resp)), ToolOutcome)
        except aiohttp.ClientConnectorError as exc:
            raise NotSent(str(exc), step='outcome', peer=self._address) from exc
        except (aiohttp.ClientError, asyncio.TimeoutError) as exc:
            raise OutcomeUnknown(repr(exc), step='outcome', peer=self._address) from exc

    async def _read(self, resp: aiohttp.ClientResponse) -> bytes:
        """Return the whole body; raise OutcomeUnknown if it is too long."""
        return await join_chunks(resp.content.iter_any(), MAX_BODY_BYTES, self._address)
