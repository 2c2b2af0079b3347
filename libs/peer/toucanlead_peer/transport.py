"""Interfaces of the calls between entries, client and server side."""

import abc
from collections.abc import AsyncIterator

from .messages import ForwardReq, Frame, ProbeReply, ProbeReq, TailPiece


class PeerHandler(abc.ABC):
    """Serves the calls of other entries."""

    @abc.abstractmethod
    def forward(self, req: ForwardReq) -> AsyncIterator[Frame]:
        """Serve a request as the program's owner and yield frames; raise Refusal."""

    @abc.abstractmethod
    async def probe(self, req: ProbeReq) -> ProbeReply:
        """Reply to a probe."""

    @abc.abstractmethod
    async def keep_tail(self, piece: TailPiece) -> None:
        """Keep a copy of another entry's journal segment until that is durable."""

    @abc.abstractmethod
    async def deliver_tail(self, piece: TailPiece) -> None:
        """Take over a former owner's journal segment that never became durable."""


class PeerTransport(abc.ABC):
    """Calls other entries by host:port; calls raise NotSent, OutcomeUnknown or Refusal."""

    @abc.abstractmethod
    def forward(self, address: str, req: ForwardReq) -> AsyncIterator[Frame]:
        """Send a request to a program's owner and yield the frames of its response."""

    @abc.abstractmethod
    async def probe(self, address: str, req: ProbeReq) -> ProbeReply:
        """Send a probe to an entry."""

    @abc.abstractmethod
    async def keep_tail(self, address: str, piece: TailPiece) -> None:
        """Send an entry a copy of a journal segment that is not durable yet."""

    @abc.abstractmethod
    async def deliver_tail(self, address: str, piece: TailPiece) -> None:
        """Send a former owner's journal segment to the new owner."""
