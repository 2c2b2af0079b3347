"""Archive, loan, relay and feed calls over grpclib, client and server side."""

import asyncio
from collections.abc import AsyncGenerator
from contextlib import aclosing

from google.protobuf.message import DecodeError
from grpclib.client import Channel
from grpclib.exceptions import ProtocolError
from grpclib.server import Server, Stream
from h2.exceptions import StreamClosedError

from toucanlead_core.errors import OutcomeUnknown
from toucanlead_core.received_bytes import ReceivedBytes

from . import serving_grpc, serving_pb2
from .channels import RPC_ERRORS, ChannelPool
from .crash_transport import CrashServicer
from .message_limits import MAX_RECEIVED_BYTES, LimitedServer
from .pace_transport import WorkServicer
from .rate_transport import TokenServicer
from .replica_relay_interfaces import ReplicaRelayHandler
from .replica_relay_transport import ReplicaRelayServicer
from .serving_interfaces import (
    ArchiveHandler,
    ArchiveTransport,
    CrashHandler,
    FeedHandler,
    FeedRow,
    FeedTransport,
    FeedUpdate,
    GrantHolder,
    KnownPrefix,
    Loan,
    LoanHandler,
    LoanTransport,
    RelayedCall,
    RelayedReply,
    RelayHandler,
    RelayTransport,
    StoreResult,
    TokenHandler,
    Turn,
    TurnChain,
    WorkHandler,
)

FEED_SEND_TIMEOUT_S = 4.0  # a follower that does not read for so long is disconnected


class GrpcArchives(ArchiveTransport):
    """Calls archives over gRPC."""

    def __init__(self, channels: ChannelPool) -> None:
        """Use the channels that all calls to peers share."""
        self._channels = channels

    async def put(self, address: str, turn: Turn, timeout_s: float) -> StoreResult:
        """Store a turn on the archive's disk."""
        message = serving_pb2.PutRequest(turn=_turn_to_proto(turn))

        async def rpc(channel: Channel) -> StoreResult:
            reply = await serving_grpc.ArchiveStub(channel).Put(message, timeout=timeout_s)
            return StoreResult(reply.disk, reply.stored, tuple(reply.missing))

        return await self._channels.call(address, 'archive put', rpc, timeout_s)

    async def fetch(
        self, address: str, ident: str, known: list[str], timeout_s: float
    ) -> TurnChain:
        """Return a turn and its predecessors, stopping before those in `known`."""
        message = serving_pb2.FetchRequest(id=ident, known=known)

        async def rpc(channel: Channel) -> TurnChain:
            reply = await serving_grpc.ArchiveStub(channel).Fetch(message, timeout=timeout_s)
            return TurnChain([_turn_from_proto(turn) for turn in reply.turns])

        return await self._channels.call(address, 'archive fetch', rpc, timeout_s)

    async def copy(self, address: str, turns: list[Turn], timeout_s: float) -> StoreResult:
        """Store copies of turns that another disk holds."""
        message = serving_pb2.CopyRequest(turns=[_turn_to_proto(turn) for turn in turns])

        async def rpc(channel: Channel) -> StoreResult:
            reply = await serving_grpc.ArchiveStub(channel).Copy(message, timeout=timeout_s)
            return StoreResult(reply.disk, reply.stored, tuple(reply.missing))

        return await self._channels.call(address, 'archive copy', rpc, timeout_s)

    async def update_disks(
        self, address: str, idents: list[str], disks: tuple[str, ...], timeout_s: float
    ) -> int:
        """Update the disks that hold copies of turns; return how many turns the archive holds."""
        message = serving_pb2.AmendRequest(ids=idents, disks=disks)

        async def rpc(channel: Channel) -> int:
            reply = await serving_grpc.ArchiveStub(channel).Amend(message, timeout=timeout_s)
            return reply.amended

        return await self._channels.call(address, 'archive amend', rpc, timeout_s)


class GrpcLoans(LoanTransport):
    """Calls other entries about token grants over gRPC."""

    def __init__(self, channels: ChannelPool) -> None:
        """Use the channels that all calls to peers share."""
        self._channels = channels

    async def borrow(
        self, address: str, program: str, tokens: int, budget: int, timeout_s: float
    ) -> Loan:
        """Borrow tokens from a program's grant."""
        message = serving_pb2.BorrowRequest(program=program, tokens=tokens, budget=budget)

        async def rpc(channel: Channel) -> Loan:
            reply = await serving_grpc.EscrowStub(channel).Borrow(message, timeout=timeout_s)
            return Loan(reply.outcome, reply.tokens)

        return await self._channels.call(address, 'borrow', rpc, timeout_s)

    async def grant_holder(
        self, address: str, program: str, requester: str, timeout_s: float
    ) -> GrantHolder:
        """Ask which entry holds a program's grant."""
        message = serving_pb2.HolderRequest(program=program, asker=requester)

        async def rpc(channel: Channel) -> GrantHolder:
            reply = await serving_grpc.EscrowStub(channel).Holder(message, timeout=timeout_s)
            return GrantHolder(reply.holder, reply.complete, tuple(reply.askers))

        return await self._channels.call(address, 'holder', rpc, timeout_s)

    async def repay(
        self, address: str, program: str, unused: int, used: int, timeout_s: float
    ) -> None:
        """Settle a loan: return the unused tokens and report the used ones."""
        message = serving_pb2.RepayRequest(program=program, unused=unused, used=used)

        async def rpc(channel: Channel) -> None:
            await serving_grpc.EscrowStub(channel).Repay(message, timeout=timeout_s)

        await self._channels.call(address, 'repay', rpc, timeout_s)


class GrpcRelay(RelayTransport):
    """Calls the key-value service through a peer over gRPC."""

    TIMEOUT_MARGIN_S = 0.2  # for the round trip to the peer, in addition to the call's timeout

    def __init__(self, channels: ChannelPool) -> None:
        """Use the channels that all calls to peers share."""
        self._channels = channels

    async def call(self, address: str, call: RelayedCall) -> RelayedReply:
        """Have the peer at an address make a call."""
        message = serving_pb2.RelayRequest(
            method=call.method,
            target=call.target,
            body=call.body,
            timeout_ms=int(1e3 * call.timeout_s),
        )

        async def rpc(channel: Channel) -> RelayedReply:
            stub = serving_grpc.StoreRelayStub(channel)
            reply = await stub.Call(message, timeout=call.timeout_s + self.TIMEOUT_MARGIN_S)
            return RelayedReply(reply.status, reply.body)

        return await self._channels.call(address, 'relay', rpc)


class GrpcFeeds(FeedTransport):
    """Follows publishers over gRPC."""

    def __init__(self, channels: ChannelPool) -> None:
        """Use channels of its own: a feed must not end because a call on its channel fails."""
        self._channels = channels

    async def follow(self, address: str, prefixes: list[str]) -> AsyncGenerator[FeedUpdate, None]:
        """Yield the entries under each prefix, then changes and heartbeats."""
        channel = await self._channels.open(address)
        try:
            async with serving_grpc.FeedStub(channel).Follow.open() as stream:
                await stream.send_message(serving_pb2.FollowRequest(prefixes=prefixes), end=True)
                async for message in stream:
                    yield _feed_update_from_proto(message)
        except RPC_ERRORS as exc:
            raise OutcomeUnknown(repr(exc), step='feed', peer=address) from exc
        finally:
            self._channels.drop(address, channel)
        raise OutcomeUnknown('the publisher ended the feed', step='feed', peer=address)


class _ArchiveServicer(serving_grpc.ArchiveBase):
    def __init__(self, handler: ArchiveHandler) -> None:
        self._handler = handler

    async def Put(self, stream: Stream) -> None:  # noqa: N802 - generated name
        message = await stream.recv_message()
        stored = await self._handler.put(_turn_from_proto(message.turn))
        await stream.send_message(
            serving_pb2.PutReply(stored=stored.stored, disk=stored.disk, missing=stored.missing)
        )

    async def Fetch(self, stream: Stream) -> None:  # noqa: N802 - generated name
        message = await stream.recv_message()
        chain = await self._handler.fetch(message.id, list(message.known))
        turns = [_turn_to_proto(turn) for turn in chain.turns]
        await stream.send_message(serving_pb2.FetchReply(turns=turns))

    async def Copy(self, stream: Stream) -> None:  # noqa: N802 - generated name
        message = await stream.recv_message()
        stored = await self._handler.copy([_turn_from_proto(turn) for turn in message.turns])
        await stream.send_message(
            serving_pb2.CopyReply(stored=stored.stored, disk=stored.disk, missing=stored.missing)
        )

    async def Amend(self, stream: Stream) -> None:  # noqa: N802 - generated name
        message = await stream.recv_message()
        amended = await self._handler.update_disks(list(message.ids), tuple(message.disks))
        await stream.send_message(serving_pb2.AmendReply(amended=amended))


class _LoanServicer(serving_grpc.EscrowBase):
    def __init__(self, handler: LoanHandler) -> None:
        self._handler = handler

    async def Borrow(self, stream: Stream) -> None:  # noqa: N802 - generated name
        message = await stream.recv_message()
        loan = await self._handler.lend(message.program, message.tokens, message.budget)
        reply = serving_pb2.BorrowReply(outcome=loan.outcome, tokens=loan.tokens)
        await stream.send_message(reply)

    async def Holder(self, stream: Stream) -> None:  # noqa: N802 - generated name
        message = await stream.recv_message()
        holder = await self._handler.grant_holder(message.program, message.asker)
        reply = serving_pb2.HolderReply(
            holder=holder.address, complete=holder.complete, askers=holder.requesters
        )
        await stream.send_message(reply)

    async def Repay(self, stream: Stream) -> None:  # noqa: N802 - generated name
        message = await stream.recv_message()
        await self._handler.accept_repayment(message.program, message.unused, message.used)
        await stream.send_message(serving_pb2.RepayReply())


class _RelayServicer(serving_grpc.StoreRelayBase):
    def __init__(self, handler: RelayHandler) -> None:
        self._handler = handler

    async def Call(self, stream: Stream) -> None:  # noqa: N802 - generated name
        message = await stream.recv_message()
        reply = await self._handler.call(
            RelayedCall(message.method, message.target, message.body, message.timeout_ms / 1e3)
        )
        await stream.send_message(serving_pb2.RelayReply(status=reply.status, body=reply.body))


class _FeedServicer(serving_grpc.FeedBase):
    def __init__(self, handler: FeedHandler) -> None:
        self._handler = handler

    async def Follow(self, stream: Stream) -> None:  # noqa: N802 - generated name
        message = await stream.recv_message()
        async with aclosing(self._handler.follow(list(message.prefixes))) as updates:
            try:
                async for update in updates:
                    async with asyncio.timeout(FEED_SEND_TIMEOUT_S):
                        await stream.send_message(_feed_update_to_proto(update))
            except asyncio.CancelledError:
                await _end_stream(stream)
                raise


async def _end_stream(stream: Stream) -> None:
    """Tell the follower that this server is being closed, unless the follower has left."""
    try:
        await stream.cancel()
    except (StreamClosedError, ProtocolError):
        return


def serving_server(
    archive: ArchiveHandler | None = None,
    loans: LoanHandler | None = None,
    relay: RelayHandler | None = None,
    feed: FeedHandler | None = None,
    tokens: TokenHandler | None = None,
    crashes: CrashHandler | None = None,
    replica_relay: ReplicaRelayHandler | None = None,
    work: WorkHandler | None = None,
    received: ReceivedBytes | None = None,
) -> Server:
    """Return a grpclib server for the handlers that are given, not yet started.

    `received` is as for ChannelPool.
    """
    servicers = []
    if archive is not None:
        servicers.append(_ArchiveServicer(archive))
    if loans is not None:
        servicers.append(_LoanServicer(loans))
    if relay is not None:
        servicers.append(_RelayServicer(relay))
    if feed is not None:
        servicers.append(_FeedServicer(feed))
    if tokens is not None:
        servicers.append(TokenServicer(tokens))
    if crashes is not None:
        servicers.append(CrashServicer(crashes))
    if replica_relay is not None:
        servicers.append(ReplicaRelayServicer(replica_relay))
    if work is not None:
        servicers.append(WorkServicer(work))
    return LimitedServer(received or ReceivedBytes(MAX_RECEIVED_BYTES), servicers)


def turn_to_bytes(turn: Turn) -> bytes:
    """Serialize a turn as a protobuf message."""
    return _turn_to_proto(turn).SerializeToString()


def turn_from_bytes(data: bytes) -> Turn:
    """Parse a serialized turn; raise ValueError if it is malformed."""
    try:
        return _turn_from_proto(serving_pb2.TurnRecord.FromString(data))
    except DecodeError as exc:
        raise ValueError(f'malformed turn: {exc}') from exc


def _turn_to_proto(turn: Turn) -> serving_pb2.TurnRecord:
    return serving_pb2.TurnRecord(
        id=turn.ident,
        previous=turn.previous,
        input=turn.input,
        output=turn.output,
        keep_ms=int(1e3 * turn.keep_s),
        disks=turn.disks,
        team=turn.team,
    )


def _turn_from_proto(message: serving_pb2.TurnRecord) -> Turn:
    return Turn(
        message.id,
        message.previous,
        message.input,
        message.output,
        message.keep_ms / 1e3,
        tuple(message.disks),
        message.team if message.HasField('team') else None,
    )


def _feed_update_to_proto(update: FeedUpdate) -> serving_pb2.FeedUpdate:
    rows = [
        serving_pb2.FeedRow(
            key=row.key,
            value=row.value or b'',
            revision=row.revision,
            created=row.created,
            deleted=row.value is None,
        )
        for row in update.rows
    ]
    return serving_pb2.FeedUpdate(
        prefix=update.prefix,
        complete=update.complete,
        rows=rows,
        current=update.current,
        revision=update.revision,
        age_ms=round(1e3 * update.age_s),
        known=[
            serving_pb2.KnownPrefix(
                prefix=item.prefix, revision=item.revision, age_ms=round(1e3 * item.age_s)
            )
            for item in update.known
        ],
    )


def _feed_update_from_proto(message: serving_pb2.FeedUpdate) -> FeedUpdate:
    rows = tuple(
        FeedRow(row.key, None if row.deleted else row.value, row.revision, row.created)
        for row in message.rows
    )
    return FeedUpdate(
        message.prefix,
        rows,
        message.complete,
        message.current,
        message.revision,
        message.age_ms / 1e3,
        tuple(KnownPrefix(k.prefix, k.revision, k.age_ms / 1e3) for k in message.known),
    )
