"""A call in progress, independent of the connections that wait for it."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Iterator

from toucanlead_core.errors import NotSent, Refusal
from toucanlead_core.messages import Answer, CallReq, Chunk


class LiveCall:
    """Collects a call's chunks and outcome; any number of callers may follow it."""

    def __init__(self, program_id: str, req: CallReq, now: float) -> None:
        """Start without chunks; `now` is the start time in seconds."""
        self.program_id = program_id
        self.req = req
        self.digest = req.digest()
        self.started_at = now
        self.task: asyncio.Task | None = None
        self.may_have_run = False
        self.reserved = 0
        self.tokens = 0
        self._chunks: list[Chunk] = []
        self._outcome: Answer | Refusal | None = None
        self._changed = asyncio.Event()

    def publish(self, chunk: Chunk) -> None:
        """Add the next chunk; a chunk at any other offset is dropped."""
        if chunk.offset != self.tokens:
            return
        self._chunks.append(chunk)
        self.tokens += chunk.tokens
        self._notify_followers()

    @contextlib.contextmanager
    def sending(self) -> Iterator[None]:
        """Set `may_have_run`, since the call may run; restore it if nothing was sent."""
        previous = self.may_have_run
        self.may_have_run = True
        try:
            yield
        except NotSent:
            self.may_have_run = previous
            raise

    def text(self) -> str:
        """Return the text received so far."""
        return ''.join(chunk.text for chunk in self._chunks)

    def finish(self, outcome: Answer | Refusal) -> None:
        """Set the outcome and wake the followers; only the first outcome counts."""
        if self._outcome is None:
            self._outcome = outcome
            self._notify_followers()

    async def follow(self, from_offset: int) -> AsyncIterator[Chunk | Answer]:
        """Yield chunks from an offset in tokens, then the answer; raise if it was refused."""
        position = 0
        while True:
            ready = [c for c in self._chunks[position:] if c.offset >= from_offset]
            position = len(self._chunks)
            if ready:
                yield merge_chunks(ready)
            if self._outcome is not None:
                break
            await self._changed.wait()
        if isinstance(self._outcome, Refusal):
            raise self._outcome
        yield self._outcome

    def _notify_followers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


def merge_chunks(chunks: list[Chunk]) -> Chunk:
    """Merge consecutive chunks into one."""
    if len(chunks) == 1:
        return chunks[0]
    text = ''.join(chunk.text for chunk in chunks)
    return Chunk(chunks[0].offset, text, sum(chunk.tokens for chunk in chunks))
