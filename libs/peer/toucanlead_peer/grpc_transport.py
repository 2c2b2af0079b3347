"""Calls between entries over grpclib, client and server side."""

from collections.abc import AsyncIterator, Callable

from grpclib.client import Channel
from grpclib.server import Server, Stream

from toucanlead_core.errors import (
    ExecutionStatus,
    OutcomeUnknown,
    Reason,
    Refusal,
    Step,
)
from toucanlead_core.messages import Chunk

from . import peer_grpc, peer_pb2
from .channels import RPC_ERRORS, ChannelPool
from .messages import (
    ForwardReq,
    Frame,
    MemberNews,
    Operation,
    ProbeReply,
    ProbeReq,
    RefusalInfo,
    Result,
    TailPiece,
)
from .transport import PeerHandler, PeerTransport

CONNECT_TIMEOUT_S = 1.0
PROBE_TIMEOUT_S = 1.0
TAIL_TIMEOUT_S = 2.0


class GrpcTransport(PeerTransport):
    """Calls other entries by host:port."""

    def __init__(self, resolve: Callable[[str], str] = str) -> None:
        """Use `resolve` to map each address to the host:port to connect to."""
        self._channels = ChannelPool(resolve)

    async def forward(self, address: str, req: ForwardReq) -> AsyncIterator[Frame]:
        """Send a request to a program's owner and yield the frames of its response."""
        stub = peer_grpc.PeerStub(await self._connect(address))
        message = peer_pb2.ForwardRequest(
            operation=req.operation.value,
            team=req.team,
            program_id=req.program_id,
            seq=req.seq,
            body=req.body,
            from_offset=req.from_offset,
        )
        try:
            async with stub.Forward.open() as stream:
                await stream.send_message(message, end=True)
                async for frame in stream:
                    yield _frame_from_proto(frame)
        except RPC_ERRORS as exc:
            self._channels.drop(address)
            raise OutcomeUnknown(repr(exc), step='forward', peer=address) from exc

    async def probe(self, address: str, req: ProbeReq) -> ProbeReply:
        """Send a probe to an entry."""
        stub = peer_grpc.PeerStub(await self._connect(address))
        message = _probe_to_proto(req)
        try:
            return _probe_from_proto(await stub.Probe(message, timeout=PROBE_TIMEOUT_S), ProbeReply)
        except RPC_ERRORS as exc:
            self._channels.drop(address)
            raise OutcomeUnknown(repr(exc), step='probe', peer=address) from exc

    async def keep_tail(self, address: str, piece: TailPiece) -> None:
        """Send an entry a copy of a journal segment that is not durable yet."""
        stub = peer_grpc.PeerStub(await self._connect(address))
        await self._send_tail(address, stub.KeepTail, piece)

    async def deliver_tail(self, address: str, piece: TailPiece) -> None:
        """Send a former owner's journal segment to the new owner."""
        stub = peer_grpc.PeerStub(await self._connect(address))
        await self._send_tail(address, stub.DeliverTail, piece)

    def close(self) -> None:
        """Close all channels."""
        self._channels.close()

    async def _send_tail(self, address: str, method, piece: TailPiece) -> None:
        message = peer_pb2.TailPiece(holder=piece.holder, index=piece.index, segment=piece.segment)
        try:
            await method(message, timeout=TAIL_TIMEOUT_S)
        except RPC_ERRORS as exc:
            self._channels.drop(address)
            raise OutcomeUnknown(repr(exc), step='tail', peer=address) from exc

    async def _connect(self, address: str) -> Channel:
        return await self._channels.open(address, CONNECT_TIMEOUT_S)


class _Servicer(peer_grpc.PeerBase):
    def __init__(self, handler: PeerHandler) -> None:
        self._handler = handler

    async def Forward(self, stream: Stream) -> None:  # noqa: N802 - generated name
        message = await stream.recv_message()
        req = ForwardReq(
            Operation(message.operation),
            message.team,
            message.program_id,
            message.seq,
            message.body,
            message.from_offset,
        )
        try:
            async for frame in self._handler.forward(req):
                await stream.send_message(_frame_to_proto(frame))
        except Refusal as refusal:
            await stream.send_message(_refusal_to_proto(RefusalInfo.of(refusal)))

    async def Probe(self, stream: Stream) -> None:  # noqa: N802 - generated name
        req = _probe_from_proto(await stream.recv_message(), ProbeReq)
        await stream.send_message(_probe_to_proto(await self._handler.probe(req)))

    async def KeepTail(self, stream: Stream) -> None:  # noqa: N802 - generated name
        message = await stream.recv_message()
        piece = TailPiece(message.holder, message.index, message.segment)
        await self._handler.keep_tail(piece)
        await stream.send_message(peer_pb2.Ack())

    async def DeliverTail(self, stream: Stream) -> None:  # noqa: N802 - generated name
        message = await stream.recv_message()
        piece = TailPiece(message.holder, message.index, message.segment)
        await self._handler.deliver_tail(piece)
        await stream.send_message(peer_pb2.Ack())


def peer_server(handler: PeerHandler) -> Server:
    """Return a grpclib server for a handler, not yet started."""
    return Server([_Servicer(handler)])


def _frame_to_proto(frame: Frame) -> peer_pb2.ForwardFrame:
    if isinstance(frame, Chunk):
        chunk = peer_pb2.TokenChunk(offset=frame.offset, text=frame.text, tokens=frame.tokens)
        return peer_pb2.ForwardFrame(chunk=chunk)
    return peer_pb2.ForwardFrame(result=frame.body)


def _refusal_to_proto(info: RefusalInfo) -> peer_pb2.ForwardFrame:
    message = peer_pb2.RefusalInfo(
        reason=info.reason.value,
        ran=info.ran.value,
        step=info.step.value,
        detail=info.detail,
        peer=info.peer,
        retry_after_ms=info.retry_after_ms,
    )
    return peer_pb2.ForwardFrame(refusal=message)


def _frame_from_proto(message: peer_pb2.ForwardFrame) -> Frame:
    kind = message.WhichOneof('kind')
    if kind == 'chunk':
        return Chunk(message.chunk.offset, message.chunk.text, message.chunk.tokens)
    if kind == 'result':
        return Result(message.result)
    info = message.refusal
    raise RefusalInfo(
        Reason(info.reason),
        ExecutionStatus(info.ran),
        Step(info.step),
        info.detail,
        info.peer,
        info.retry_after_ms,
    ).to_refusal()


def _probe_to_proto(probe: ProbeReq | ProbeReply) -> peer_pb2.ProbeMessage:
    news = [
        peer_pb2.MemberNews(
            entry=n.entry, incarnation=n.incarnation, state=n.state, revision=n.revision
        )
        for n in probe.news
    ]
    return peer_pb2.ProbeMessage(
        sender=probe.sender, revision=probe.revision, news=news, leaving=probe.leaving
    )


def _probe_from_proto(message: peer_pb2.ProbeMessage, cls):
    news = [MemberNews(n.entry, n.incarnation, n.state, n.revision) for n in message.news]
    return cls(message.sender, message.revision, news, list(message.leaving))
