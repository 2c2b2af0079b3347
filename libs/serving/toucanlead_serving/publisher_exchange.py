"""Exchange between publishers: what one has seen shows another what it has missed.

A change is answered to each publisher's watch. When one of these answers is lost, the others
tell at once. What one has read to check its own watches is proof for the others too, so that the
calls to the key-value service hardly grow with the number of zones.
"""

import asyncio
from collections.abc import Callable
from contextlib import aclosing

import structlog

from toucanlead_core.errors import NotSent, OutcomeUnknown
from toucanlead_core.timers import Timers
from toucanlead_peer.serving_interfaces import FeedTransport, KnownPrefix

from .change_feed import HEARTBEAT_S

log = structlog.get_logger()

PEERS = 2  # of other zones; one of them may fail, or miss the same change
SILENCE_LIMIT_S = 2.5 * HEARTBEAT_S  # tolerates a heartbeat that is lost and sent again
RETRY_S = 1.0
RECHECK_S = 5.0  # how often the choice of peers is made again


class PublisherExchange:
    """Listens to a few other publishers."""

    def __init__(
        self,
        feeds: FeedTransport,
        timers: Timers,
        publishers: Callable[[], list[str]],
        hear: Callable[[tuple[KnownPrefix, ...]], None],
    ) -> None:
        """`publishers` returns the host:port of those of other zones, in order of preference.

        `hear` is called with what one of them knows.
        """
        self._feeds = feeds
        self._timers = timers
        self._publishers = publishers
        self._hear = hear

    async def run(self) -> None:
        """Listen until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            for number in range(PEERS):
                tasks.create_task(self._listen(number))

    async def _listen(self, number: int) -> None:
        """Listen to the publisher with a number in the order of preference."""
        while True:
            address = self._address(number)
            if address:
                try:
                    await self._listen_to(address, number)
                except (NotSent, OutcomeUnknown, TimeoutError) as exc:
                    log.info('exchange_ended', publisher=address, detail=str(exc) or 'silent')
            await self._timers.sleep(RETRY_S)

    def _address(self, number: int) -> str:
        return next(iter(self._publishers()[number : number + 1]), '')

    async def _listen_to(self, address: str, number: int) -> None:
        """Listen to a publisher until it fails or another one is to be listened to."""
        recheck_at = self._timers.now() + RECHECK_S
        updates = self._feeds.follow(address, [])
        async with asyncio.timeout(SILENCE_LIMIT_S) as silence, aclosing(updates):
            async for update in updates:
                self._hear(update.known)
                if self._timers.now() >= recheck_at:
                    recheck_at = self._timers.now() + RECHECK_S
                    if self._address(number) != address:
                        return
                silence.reschedule(asyncio.get_running_loop().time() + SILENCE_LIMIT_S)
