"""Bound on the bytes of all answers that a process is receiving and holds in memory."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from attrs import define, field

# Smaller than what a connection buffers anyway; such an answer is never given up.
ALWAYS_HELD_BYTES = 65_536


class TooManyBytes(Exception):
    """Raised for the largest of the answers that are held when there are too many bytes."""


@define(eq=False)
class HeldAnswer:
    """The bytes of one answer that are held so far."""

    _received: 'ReceivedBytes'
    _timeout: asyncio.Timeout
    _interruptible: bool
    size: int = 0
    given_up: bool = False

    def add(self, size: int) -> None:
        """Count bytes that have arrived; raise TooManyBytes if this answer is given up."""
        self.size += size
        self._received.total += size
        self._received.give_up_largest()
        if self.given_up:
            raise TooManyBytes(f'given up after {self.size} bytes, the largest of the answers held')

    async def count(self, chunks: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
        """Yield the chunks of an answer, and count them."""
        async for chunk in chunks:
            self.add(len(chunk))
            yield chunk

    def give_up(self) -> None:
        """End the answer with its next byte, or at once if it may be interrupted."""
        self.given_up = True
        if self._interruptible:
            self._timeout.reschedule(asyncio.get_running_loop().time())


@define(eq=False)
class ReceivedBytes:
    """Bounds the sum of the answers that are held: the largest ones are given up.

    Answers without an end are the largest, so that others are received whole beside them.
    """

    max_total: int
    total: int = 0
    _held: set[HeldAnswer] = field(factory=set)

    @asynccontextmanager
    async def hold(self, *, interruptible: bool = True) -> AsyncIterator[HeldAnswer]:
        """Hold an answer; raise TooManyBytes if it is given up.

        One that is not interruptible is given up with its next byte only.
        """
        answer = None
        try:
            async with asyncio.timeout(None) as timeout:
                answer = HeldAnswer(self, timeout, interruptible)
                self._held.add(answer)
                yield answer
        except TimeoutError as exc:
            if not timeout.expired():
                raise
            detail = f'given up after {answer.size} bytes, the largest of the answers held'
            raise TooManyBytes(detail) from exc
        finally:
            self._held.discard(answer)
            self.total -= answer.size

    def give_up_largest(self) -> None:
        """Give up the largest answers until the others fit."""
        while self.total > self.max_total and self.total - self._ending() > self.max_total:
            others = [answer for answer in self._held if not answer.given_up]
            largest = max(others, key=lambda answer: answer.size, default=None)
            if largest is None or largest.size <= ALWAYS_HELD_BYTES:
                return
            largest.give_up()

    def _ending(self) -> int:
        """Return the bytes of answers that are given up and released at once."""
        return sum(a.size for a in self._held if a.given_up and a._interruptible)
