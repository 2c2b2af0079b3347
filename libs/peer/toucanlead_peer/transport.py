"""Interfaces between entries: what one calls, and what the other serves."""

import abc
from collections.abc import AsyncIterator

from .messages import ForwardReq, Frame, ProbeReply, ProbeReq, TailPiece


class PeerHandler(abc.ABC):
    """The serving side at an entry."""

    @abc.abstractmethod
    def forward(self, req: ForwardReq) -> AsyncIterator[Frame]:
        """Serve a request as the owner; raises Refusal."""

    @abc.abstractmethod
    async def probe(self, req: ProbeReq) -> ProbeReply:
        """Answer a probe."""

    @abc.abstractmethod
    async def keep_tail(self, piece: TailPiece) -> None:
        """Keep a copy of another entry's undurable segment."""

    @abc.abstractmethod
    async def deliver_tail(self, piece: TailPiece) -> None:
        """Take a former owner's segment that never became durable."""


class PeerTransport(abc.ABC):
    """The calling side; raises NotSent or OutcomeUnknown, and Refusal."""

    @abc.abstractmethod
    def forward(self, address: str, req: ForwardReq) -> AsyncIterator[Frame]:
        """Send a request to a program's owner."""

    @abc.abstractmethod
    async def probe(self, address: str, req: ProbeReq) -> ProbeReply:
        """Probe an entry."""

    @abc.abstractmethod
    async def keep_tail(self, address: str, piece: TailPiece) -> None:
        """Copy a segment to an entry."""

    @abc.abstractmethod
    async def deliver_tail(self, address: str, piece: TailPiece) -> None:
        """Hand a former owner's segment to a new owner."""
