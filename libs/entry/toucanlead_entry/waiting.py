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
    loop = asyncio.get_running_loop()
    iterator = source.__aiter__()
    timeout = asyncio.timeout(first_s)
    try:
        async with timeout:
            async for item in iterator:
                # The consumer's own time does not count as silence.
                timeout.reschedule(None)
                yield item
                timeout.reschedule(loop.time() + next_s)
    except TimeoutError:
        raise OutcomeUnknown('silent for too long', step=Step.STREAM, peer=peer) from None
    finally:
        await iterator.aclose()
