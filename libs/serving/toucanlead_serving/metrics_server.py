"""HTTP server for a process's Prometheus metrics."""

import asyncio
from collections.abc import Callable

from aiohttp import web

from toucanlead_core.bounded_http import BoundedServer
from toucanlead_core.sockets import split_address

from .metrics import ServingMetrics

CLOSE_TIMEOUT_S = 0.1  # how long a stop waits for responses in progress


class MetricsServer:
    """Answers a request for any path with the metrics."""

    def __init__(self, metrics: ServingMetrics, address: str) -> None:
        """Listen on `address`, given as host:port; an empty address disables the server."""
        self._metrics = metrics
        self._address = address
        self._runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Open the socket; raise OSError if the address is in use."""
        if not self._address:
            return
        host, port = split_address(self._address)
        now = asyncio.get_running_loop().time
        self._runner = web.ServerRunner(
            BoundedServer(now, self._answer, access_log=None), shutdown_timeout=CLOSE_TIMEOUT_S
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port, reuse_address=True).start()

    async def stop(self) -> None:
        """Close the socket and its connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _answer(self, req: web.BaseRequest) -> web.Response:
        return web.Response(body=self._metrics.text(), content_type='text/plain', charset='utf-8')


def age_of(read: Callable[[], float | None], now: Callable[[], float]) -> Callable[[], float]:
    """Return a gauge function: seconds since the time `read` returns, infinity for None."""

    def seconds() -> float:
        at = read()
        return float('inf') if at is None else now() - at

    return seconds
