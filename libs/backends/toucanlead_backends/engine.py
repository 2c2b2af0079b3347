"""Interface to the replicas of a model engine."""

import abc
from collections.abc import AsyncIterator

from attrs import field, frozen

from toucanlead_core.messages import Chunk, Message


@frozen
class GenerateReq:
    """A request for one model answer.

    To continue an interrupted stream, `resume_text` holds the text received so far
    and `resume_from` its length in tokens. Requests with a lower `priority` are
    served first.
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
class TokenUsage:
    """The last item of a stream: the token counts reported by the engine."""

    prompt_tokens: int
    cached_tokens: int
    output_tokens: int


@frozen
class LoadReport:
    """The load of a replica, measured `age_s` seconds ago.

    `running` and `waiting` count requests.
    """

    running: int
    waiting: int
    cache_used_tokens: int
    cache_limit_tokens: int
    age_s: float


@frozen
class CacheEvent:
    """A change to a replica's prefix cache.

    Events are numbered consecutively, so a gap in `number` shows a missed event.
    `cached_tokens` is how much of the program the cache holds after the change.
    """

    number: int
    program_id: str
    cached_tokens: int


@frozen
class EngineOrder:
    """The desired state of a replica.

    `fence` is the fencing token of the controller that sends the order.
    """

    fence: int
    model: str
    version: str = ''
    adapters: list[str] = field(factory=list)
    role: str = 'serve'


class ModelEngine(abc.ABC):
    """One replica of a model engine.

    Methods raise NotSent if the connection was refused or the replica is busy, and
    OutcomeUnknown if the request failed in any other way after it was sent.
    """

    @abc.abstractmethod
    def generate(self, req: GenerateReq) -> AsyncIterator[Chunk | TokenUsage]:
        """Yield the answer in chunks, then its token counts.

        Closing the iterator cancels the request.
        """

    @abc.abstractmethod
    async def load_report(self) -> LoadReport:
        """Return the current load report."""

    @abc.abstractmethod
    async def cache_events(self, since: int) -> list[CacheEvent]:
        """Return the cache events with a number greater than `since`."""

    @abc.abstractmethod
    async def held_programs(self) -> list[str]:
        """Return the ids of programs whose KV cache the replica holds."""

    @abc.abstractmethod
    async def hold(self, program_id: str) -> None:
        """Pin a program's KV cache for the duration of its tool pause."""

    @abc.abstractmethod
    async def release(self, program_id: str) -> None:
        """Free a program's KV cache; idempotent."""

    @abc.abstractmethod
    async def export_cache(self, program_id: str) -> str:
        """Move a program's KV cache to slower memory; return its handle."""

    @abc.abstractmethod
    async def import_cache(self, program_id: str, handle: str) -> None:
        """Restore a KV cache from the handle that `export_cache` returned."""

    @abc.abstractmethod
    async def order(self, order: EngineOrder) -> EngineOrder:
        """Set the desired state; return the state now set."""
