"""Reports of replicas' work over grpclib, client and server side."""

from collections.abc import Iterable

from grpclib.client import Channel
from grpclib.server import Stream

from toucanlead_core.pace_messages import ReplicaWork, WorkReply, WorkReport

from . import pace_grpc, pace_pb2
from .channels import ChannelPool
from .serving_interfaces import WorkHandler, WorkTransport


class GrpcWork(WorkTransport):
    """Reports the work of replicas to other entries over gRPC."""

    def __init__(self, channels: ChannelPool) -> None:
        """Use the channels that all calls to peers share."""
        self._channels = channels

    async def report(self, address: str, report: WorkReport, timeout_s: float) -> WorkReply:
        """Report work to a collector, and return what it knows."""
        message = pace_pb2.PaceReport(
            zone=report.zone, whole=report.whole, work=_work_to_proto(report.work)
        )

        async def rpc(channel: Channel) -> WorkReply:
            reply = await pace_grpc.ReplicaPaceStub(channel).Report(message, timeout=timeout_s)
            return WorkReply(reply.zone, _work_from_proto(reply.work))

        return await self._channels.call(address, 'replica pace', rpc, timeout_s)


class WorkServicer(pace_grpc.ReplicaPaceBase):
    """Serves the reports of work."""

    def __init__(self, handler: WorkHandler) -> None:
        self._handler = handler

    async def Report(self, stream: Stream) -> None:  # noqa: N802 - generated name
        """Answer a report of work."""
        message = await stream.recv_message()
        report = WorkReport(message.zone, _work_from_proto(message.work), message.whole)
        reply = self._handler.collect(report)
        await stream.send_message(
            pace_pb2.PaceReply(zone=reply.zone, work=_work_to_proto(reply.work))
        )


def _work_to_proto(rows: Iterable[ReplicaWork]) -> list[pace_pb2.ReplicaWork]:
    return [
        pace_pb2.ReplicaWork(
            run=row.run,
            busy_ms=round(1e3 * row.busy_s),
            nominal_ms=round(1e3 * row.nominal_s),
            answers_milli=round(1e3 * row.answers),
            failures_milli=round(1e3 * row.failures),
            token_ms=round(1e3 * row.token_s),
        )
        for row in rows
    ]


def _work_from_proto(rows: Iterable[pace_pb2.ReplicaWork]) -> tuple[ReplicaWork, ...]:
    return tuple(
        ReplicaWork(
            row.run,
            row.busy_ms / 1e3,
            row.nominal_ms / 1e3,
            row.answers_milli / 1e3,
            row.failures_milli / 1e3,
            row.token_ms / 1e3,
        )
        for row in rows
    )
