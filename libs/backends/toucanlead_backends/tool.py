"""Interface to tool services and applications."""

import abc
from enum import Enum
from typing import Any

from attrs import frozen


class OutcomeState(str, Enum):
    """The state of a call as the tool service knows it.

    UNSEEN means that the service has no record of the idempotency key.
    """

    DONE = 'done'
    RUNNING = 'running'
    UNSEEN = 'unseen'


@frozen
class ToolOutcome:
    """The outcome of a call, looked up by idempotency key; `content` is its answer."""

    state: OutcomeState
    content: str = ''


@frozen
class ToolReq:
    """One call to a tool or application."""

    program_id: str
    seq: int
    tool: str
    args: dict[str, Any]
    idempotency_key: str


class ToolService(abc.ABC):
    """A tool service or application.

    Methods raise NotSent if the connection was refused or the service is busy, and
    OutcomeUnknown if the request failed in any other way after it was sent.
    """

    @abc.abstractmethod
    async def call(self, req: ToolReq) -> str:
        """Run the tool and return its answer."""

    @abc.abstractmethod
    async def outcome(self, idempotency_key: str) -> ToolOutcome:
        """Return the outcome of an earlier call."""
