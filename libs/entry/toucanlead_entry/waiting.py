"""Waits with timeouts."""

import asyncio
from collections.abc import AsyncIterator
from typing import TypeVar

from toucanlead_core.errors import OutcomeUnknown, Step
from toucanlead_core.timers import Timers

T = TypeVar('T')


async def completes_within(timers: Timers, future: asyncio.Future, limit_s: float) -> bool:
    """Wait for a future; return False, without cancelling it, after `limit_s` seconds.

    If the future fails, its exception is raised.
    """
    done, _ = await asyncio.wait([future], timeout=limit_s)
    if not done:
        return False
    future.result()
    return True


async def with_progress_timeout(
    source: AsyncIterator[T], first_timeout_s: float, next_timeout_s: float, peer: str
) -> AsyncIterator[T]:
    """Yield the items of a stream; raise OutcomeUnknown if it is silent for too long.

    `first_timeout_s` limits the wait for the first item, `next_timeout_s` that for each
    later one.
    """
    loop = asyncio.get_running_loop()
    iterator = source.__aiter__()
    timeout = asyncio.timeout(first_timeout_s)
    try:
        async with timeout:
            async for item in iterator:
                # The time that the consumer spends on an item does not count as silence.
                timeout.reschedule(None)
                yield item
                timeout.reschedule(loop.time() + next_timeout_s)
    except TimeoutError:
        raise OutcomeUnknown('silent for too long', step=Step.STREAM, peer=peer) from None
    finally:
        await iterator.aclose()
