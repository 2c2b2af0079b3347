"""Coalescing of token frames; sending one message per token used up whole CPU cores."""

import asyncio
from collections.abc import AsyncIterator

from toucanlead_core.messages import Chunk
from toucanlead_peer.messages import Frame

from .live_call import merge_chunks

COALESCE_WINDOW_S = 0.005  # the longest wait for another chunk to merge
_END_OF_STREAM = None


async def coalesced(source: AsyncIterator[Frame]) -> AsyncIterator[Frame]:
    """Yield the frames of `source`, merging consecutive chunks less than a window apart."""
    queue: asyncio.Queue[Frame | BaseException | None] = asyncio.Queue()
    reader = asyncio.get_running_loop().create_task(_enqueue_frames(source, queue))
    pending: Chunk | None = None
    try:
        while True:
            item = await _next_item(queue, pending is not None)
            if isinstance(item, Chunk):
                pending = merge_chunks([pending, item]) if pending is not None else item
                continue
            if pending is not None:
                yield pending
                pending = None
            if isinstance(item, BaseException):
                raise item
            if item is _END_OF_STREAM:
                return
            if item is not _WindowElapsed:
                yield item
    finally:
        reader.cancel()
        # Wait until the source is closed rather than leave that to garbage collection.
        await asyncio.gather(reader, return_exceptions=True)


class _WindowElapsed:
    """Signals that the window elapsed without another frame."""


async def _next_item(queue: asyncio.Queue, has_pending: bool):
    if not has_pending:
        return await queue.get()
    try:
        return await asyncio.wait_for(queue.get(), COALESCE_WINDOW_S)
    except TimeoutError:
        return _WindowElapsed


async def _enqueue_frames(source: AsyncIterator[Frame], queue: asyncio.Queue) -> None:
    try:
        async for frame in source:
            queue.put_nowait(frame)
        queue.put_nowait(_END_OF_STREAM)
    except Exception as exc:
        queue.put_nowait(exc)
