"""Coalescing of token frames; sending one message per token used up whole CPU cores."""

import asyncio
from collections.abc import AsyncIterator

from toucanlead_core.messages import Chunk
from toucanlead_peer.messages import Frame

from .live import joined

WINDOW_S = 0.005  # the longest delay added to a frame
_END = None


async def coalesced(source: AsyncIterator[Frame]) -> AsyncIterator[Frame]:
    """Yield the frames of `source`, merging chunks that arrive within the window."""
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
        # Close the source now and not only at its garbage collection.
        await asyncio.gather(pump, return_exceptions=True)


class _Lull:
    """Signals that the window elapsed without another frame."""


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
