"""Tool services and applications: the narrow interface."""

import abc
from enum import Enum
from typing import Any

from attrs import frozen


class OutcomeState(str, Enum):
    """What a tool service knows of an idempotency key."""

    DONE = 'done'
    RUNNING = 'running'
    UNSEEN = 'unseen'


@frozen
class ToolOutcome:
    """What became of a call, asked by its idempotency key."""

    state: OutcomeState
    content: str = ''


@frozen
class ToolReq:
    """One call of a tool or application."""

    program_id: str
    seq: int
    tool: str
    args: dict[str, Any]
    idempotency_key: str


class ToolService(abc.ABC):
    """A tool service or application.

    Methods raise NotSent when the connection was refused, and OutcomeUnknown
    when no answer came.
    """

    @abc.abstractmethod
    async def call(self, req: ToolReq) -> str:
        """Run the tool and return its answer."""

    @abc.abstractmethod
    async def outcome(self, idempotency_key: str) -> ToolOutcome:
        """Ask what became of an earlier call."""
