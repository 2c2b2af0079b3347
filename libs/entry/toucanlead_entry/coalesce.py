"""Coalescing of token frames, since one message per token costs whole cores."""

import asyncio
from collections.abc import AsyncIterator

from toucanlead_core.messages import Chunk
from toucanlead_peer.messages import Frame

from .live import joined

WINDOW_S = 0.005  # added delay per frame at most
_END = None


async def coalesced(source: AsyncIterator[Frame]) -> AsyncIterator[Frame]:
    """Yield frames, consecutive chunks within the window joined into one."""
    queue: asyncio.Queue[Frame | BaseException | None] = asyncio.Queue()
    pump = asyncio.get_running_loop().create_task(_pump(source, queue))
    held: Chunk | None = None
    try:
        while True:
            item = await _next(queue, held is not None)
            if isinstance(item, Chunk):
                held = joined([held, item]) if held is not None else item
                continue
            if held is not None:
                yield held
                held = None
            if isinstance(item, BaseException):
                raise item
            if item is _END:
                return
            if item is not _Lull:
                yield item
    finally:
        pump.cancel()
        # The source is closed here, not when the collector finds it.
        await asyncio.gather(pump, return_exceptions=True)


class _Lull:
    """Marks a window without a further frame."""


async def _next(queue: asyncio.Queue, holding: bool):
    if not holding:
        return await queue.get()
    try:
        return await asyncio.wait_for(queue.get(), WINDOW_S)
    except TimeoutError:
        return _Lull


async def _pump(source: AsyncIterator[Frame], queue: asyncio.Queue) -> None:
    try:
        async for frame in source:
            queue.put_nowait(frame)
        queue.put_nowait(_END)
    except Exception as exc:
        queue.put_nowait(exc)
