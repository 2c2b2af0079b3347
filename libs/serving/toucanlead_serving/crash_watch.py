"""Crash watch: finds out whether a replica crashed when requests to it break off.

A connection that ends is no crash: it may have been reset, or the answer lost. A replica
counts as crashed when all connections to it have ended and its VM refuses new ones. One
that cannot be reached at all may be cut off, which no request causes.
"""

from collections.abc import Awaitable, Callable

import structlog
from attrs import define, field, frozen

from toucanlead_core.tasks import TaskSet
from toucanlead_core.timers import Timers
from toucanlead_replicas.registry import Replica
from toucanlead_replicas.request import ContentIds

log = structlog.get_logger()

GATHER_S = 0.1  # the requests of one crash break off within a round trip between regions
MAX_BROKEN = 128  # requests of one crash; more than the slots of a replica
MAX_LOGGED = 16


@frozen
class BrokenAnswer:
    """A request whose answer broke off; `produced` says whether output of it had come."""

    content: ContentIds
    produced: bool


@define(eq=False)
class CrashWatch:
    """The requests that have just broken off, by run of the replica.

    `is_down` returns whether a replica has ended; `on_crash` is called with the requests that
    broke off when a replica crashed.
    """

    _is_down: Callable[[Replica], Awaitable[bool]]
    _timers: Timers
    on_crash: Callable[[Replica, list[BrokenAnswer]], Awaitable[None]] | None = None
    _broken: dict[str, list[BrokenAnswer]] = field(factory=dict)
    _tasks: TaskSet = field(factory=TaskSet)

    def record_break(self, replica: Replica, content: ContentIds, produced: bool) -> None:
        """Record that the answer to a request broke off."""
        requests = self._broken.get(replica.run)
        if requests is None:
            requests = self._broken[replica.run] = []
            self._tasks.spawn(self._investigate(replica), 'crash watch')
        if len(requests) < MAX_BROKEN:
            requests.append(BrokenAnswer(content, produced))

    async def close(self) -> None:
        """Cancel the investigations in progress."""
        await self._tasks.cancel()

    async def _investigate(self, replica: Replica) -> None:
        try:
            await self._timers.sleep(GATHER_S)
            crashed = await self._is_down(replica)
        finally:
            requests = self._broken.pop(replica.run)
        if not crashed:
            return
        contents = [request.content.whole for request in requests if not request.produced]
        log.info(
            'replica_crashed',
            replica=replica.ident,
            service=replica.record.service,
            broken=len(requests),
            without_output=len(contents),
            contents=','.join(dict.fromkeys(contents[:MAX_LOGGED])),
        )
        if self.on_crash is not None:
            await self.on_crash(replica, requests)
