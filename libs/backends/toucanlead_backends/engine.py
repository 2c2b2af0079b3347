"""Model engine: the narrow interface that engines are met through."""

import abc
from collections.abc import AsyncIterator

from attrs import field, frozen

from toucanlead_core.messages import Chunk, Message


@frozen
class GenerateReq:
    """A request for one model answer.

    `resume_text` holds what an interrupted stream already delivered, and
    `resume_from` its length in tokens. A lower `priority` is served first.
    """

    request_id: str
    program_id: str
    seq: int
    model: str
    messages: list[Message]
    max_tokens: int
    priority: int = 0
    resume_from: int = 0
    resume_text: str = ''


@frozen
class GenerateEnd:
    """The last item of a stream: what the engine counted, in tokens."""

    prompt_tokens: int
    cached_tokens: int
    output_tokens: int


@frozen
class LoadReport:
    """A replica's load as it was `age_s` seconds ago."""

    running: int
    waiting: int
    cache_used_tokens: int
    cache_limit_tokens: int
    age_s: float


@frozen
class CacheEvent:
    """A change of a replica's prefix cache; numbers show gaps."""

    number: int
    program_id: str
    cached_tokens: int


@frozen
class EngineOrder:
    """The wanted state of a replica, with the controller's fencing number."""

    fence: int
    model: str
    version: str = ''
    adapters: list[str] = field(factory=list)
    role: str = 'serve'


class ModelEngine(abc.ABC):
    """One replica of a model engine.

    Methods raise NotSent when the connection was refused, and OutcomeUnknown
    when it broke after the request went out.
    """

    @abc.abstractmethod
    def generate(self, req: GenerateReq) -> AsyncIterator[Chunk | GenerateEnd]:
        """Stream an answer; closing the iterator cancels the request."""

    @abc.abstractmethod
    async def load(self) -> LoadReport:
        """Return the load report."""

    @abc.abstractmethod
    async def events(self, since: int) -> list[CacheEvent]:
        """Return cache events numbered above `since`."""

    @abc.abstractmethod
    async def held(self) -> list[str]:
        """Return the ids of programs whose KV cache the replica holds."""

    @abc.abstractmethod
    async def hold(self, program_id: str) -> None:
        """Keep a program's KV cache through its tool pause."""

    @abc.abstractmethod
    async def release(self, program_id: str) -> None:
        """Free a program's KV cache; idempotent."""

    @abc.abstractmethod
    async def export_cache(self, program_id: str) -> str:
        """Move a program's KV cache to slower memory; return its handle."""

    @abc.abstractmethod
    async def import_cache(self, program_id: str, handle: str) -> None:
        """Load an exported KV cache."""

    @abc.abstractmethod
    async def order(self, order: EngineOrder) -> EngineOrder:
        """State the wanted model, version, adapters and role; return what is set."""
