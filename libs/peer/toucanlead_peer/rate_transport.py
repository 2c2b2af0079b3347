"""Calls to the keepers of rates over grpclib, client and server side."""

from collections.abc import Iterable

from attrs import asdict
from grpclib.client import Channel
from grpclib.server import Stream

from toucanlead_core.rate_messages import (
    LimitSighting,
    TeamAsk,
    TeamGrant,
    TokenAsk,
    TokenCount,
    TokenReply,
)

from . import serving_grpc, serving_pb2
from .channels import ChannelPool
from .serving_interfaces import TokenHandler, TokenTransport


class GrpcTokens(TokenTransport):
    """Asks other entries for rate tokens over gRPC."""

    def __init__(self, channels: ChannelPool) -> None:
        """Use the channels that all calls to peers share."""
        self._channels = channels

    async def ask(self, address: str, ask: TokenAsk, timeout_s: float) -> TokenReply:
        """Ask the entry at an address for tokens."""
        message = serving_pb2.TokenRequest(
            group=ask.group,
            entry=ask.entry,
            wanted=ask.wanted,
            sightings=[_sighting_to_proto(sighting) for sighting in ask.sightings],
            returned=_token_counts_to_proto(ask.returned),
            teams=[serving_pb2.TeamAsk(**asdict(team)) for team in ask.teams],
            region=ask.region,
        )

        async def rpc(channel: Channel) -> TokenReply:
            reply = await serving_grpc.RateKeeperStub(channel).Ask(message, timeout=timeout_s)
            granted = _token_counts_from_proto(reply.granted)
            teams = tuple(map(_team_grant_from_proto, reply.teams))
            return TokenReply(granted, reply.rate_per_s, reply.declined, teams, reply.age_s)

        return await self._channels.call(address, 'rate tokens', rpc, timeout_s)


class TokenServicer(serving_grpc.RateKeeperBase):
    """Serves the requests for rate tokens."""

    def __init__(self, handler: TokenHandler) -> None:
        self._handler = handler

    async def Ask(self, stream: Stream) -> None:  # noqa: N802 - generated name
        """Answer a request for tokens."""
        message = await stream.recv_message()
        reply = await self._handler.ask_tokens(
            TokenAsk(
                message.group,
                message.entry,
                message.wanted,
                tuple(_sighting_from_proto(sighting) for sighting in message.sightings),
                _token_counts_from_proto(message.returned),
                tuple(map(_team_ask_from_proto, message.teams)),
                message.region,
            )
        )
        await stream.send_message(
            serving_pb2.TokenReply(
                granted=_token_counts_to_proto(reply.granted),
                rate_per_s=reply.rate_per_s,
                declined=reply.declined,
                teams=[serving_pb2.TeamGrant(**asdict(grant)) for grant in reply.teams],
                age_s=reply.age_s,
            )
        )


def _sighting_to_proto(sighting: LimitSighting) -> serving_pb2.LimitSighting:
    return serving_pb2.LimitSighting(
        replica=sighting.replica,
        per_s=sighting.per_s or 0.0,
        ended=sighting.per_s is None,
        age_ms=int(1e3 * sighting.age_s),
    )


def _sighting_from_proto(message: serving_pb2.LimitSighting) -> LimitSighting:
    per_s = None if message.ended else message.per_s
    return LimitSighting(message.replica, per_s, message.age_ms / 1e3)


def _token_counts_to_proto(counts: Iterable[TokenCount]) -> list[serving_pb2.TokenCount]:
    return [serving_pb2.TokenCount(replica=c.replica, tokens=c.tokens) for c in counts]


def _token_counts_from_proto(
    messages: Iterable[serving_pb2.TokenCount],
) -> tuple[TokenCount, ...]:
    return tuple(TokenCount(message.replica, message.tokens) for message in messages)


def _team_ask_from_proto(message: serving_pb2.TeamAsk) -> TeamAsk:
    return TeamAsk(
        message.team,
        tuple(message.programs),
        tuple(message.begun),
        message.returned,
        message.recent,
        message.expected,
    )


def _team_grant_from_proto(message: serving_pb2.TeamGrant) -> TeamGrant:
    return TeamGrant(
        message.team,
        message.granted,
        tuple(message.admitted),
        message.retry_after_s,
        message.program_retry_after_s,
        message.recent,
    )
