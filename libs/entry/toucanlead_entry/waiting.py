"""Bounded waits."""

import asyncio
from collections.abc import AsyncIterator
from typing import TypeVar

from toucanlead_core.errors import OutcomeUnknown, Step
from toucanlead_core.timers import Timers

T = TypeVar('T')


async def within(timers: Timers, future: asyncio.Future, limit_s: float) -> bool:
    """Wait for a future without cancelling it; False when the time is over."""
    done, _ = await asyncio.wait([future], timeout=limit_s)
    if not done:
        return False
    future.result()
    return True


async def with_progress(
    source: AsyncIterator[T], first_s: float, next_s: float, peer: str
) -> AsyncIterator[T]:
    """Yield from a stream; OutcomeUnknown when it is silent for too long."""
    limit_s = first_s
    iterator = source.__aiter__()
    try:
        while True:
            try:
                item = await asyncio.wait_for(iterator.__anext__(), limit_s)
            except StopAsyncIteration:
                return
            except TimeoutError:
                raise OutcomeUnknown(
                    f'silent for {limit_s:g} s', step=Step.STREAM, peer=peer
                ) from None
            yield item
            limit_s = next_s
    finally:
        await iterator.aclose()
