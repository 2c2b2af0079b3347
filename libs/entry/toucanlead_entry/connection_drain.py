"""End of callers' connections when an entry stops: each request that has begun is answered."""

import asyncio

from aiohttp import web

from toucanlead_core.timers import Timers

CHECK_PERIOD_S = 0.02
LIMIT_S = 30.0  # then the connections are closed, whatever they are used for


class ConnectionDrain:
    """Counts the requests in progress, bodies still coming included, and ends connections.

    Once it stops, every response announces the end of its connection.
    """

    def __init__(self, timers: Timers) -> None:
        self._timers = timers
        self._stopping = False
        self._in_progress = 0

    def watch(self, app: web.Application) -> None:
        """Count the requests of an application."""
        app.middlewares.insert(0, self._count)
        app.on_response_prepare.append(self._announce_end)

    async def drain(self, runner: web.AppRunner) -> None:
        """Accept no connections, and wait until all requests are answered."""
        self._stopping = True
        for site in list(runner.sites):
            await site.stop()
        try:
            async with asyncio.timeout(LIMIT_S):
                while self._in_progress:
                    await self._timers.sleep(CHECK_PERIOD_S)
        except TimeoutError:
            return

    @web.middleware
    async def _count(self, req: web.Request, handler) -> web.StreamResponse:
        self._in_progress += 1
        try:
            return await handler(req)
        finally:
            self._in_progress -= 1

    async def _announce_end(self, req: web.Request, resp: web.StreamResponse) -> None:
        if self._stopping:
            resp.force_close()
