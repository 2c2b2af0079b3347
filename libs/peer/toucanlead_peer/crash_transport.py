"""Crash reports and verdicts over grpclib, client and server side."""

from grpclib.client import Channel
from grpclib.server import Stream

from toucanlead_core.crash_messages import BrokenRequest, CrashReport, CrashVerdict

from . import serving_grpc, serving_pb2
from .channels import ChannelPool
from .serving_interfaces import CrashHandler, CrashTransport


class GrpcCrashes(CrashTransport):
    """Tells other entries of crashes over gRPC."""

    def __init__(self, channels: ChannelPool) -> None:
        """Use the channels that all calls to peers share."""
        self._channels = channels

    async def report(self, address: str, report: CrashReport, timeout_s: float) -> None:
        """Report a crash to a judge."""
        requests = [
            serving_pb2.BrokenRequest(content=request.content, produced=request.produced)
            for request in report.requests
        ]
        message = serving_pb2.CrashReport(
            replica=report.replica, requests=requests, cleared=report.cleared
        )

        async def rpc(channel: Channel) -> None:
            await serving_grpc.CrashJudgeStub(channel).Report(message, timeout=timeout_s)

        await self._channels.call(address, 'crash report', rpc, timeout_s)

    async def tell(self, address: str, verdict: CrashVerdict, timeout_s: float) -> None:
        """Tell an entry of a verdict."""
        message = serving_pb2.CrashVerdict(
            content=verdict.content,
            crashes=verdict.crashes,
            judge=verdict.judge,
            withdrawn=verdict.withdrawn,
        )

        async def rpc(channel: Channel) -> None:
            await serving_grpc.CrashJudgeStub(channel).Tell(message, timeout=timeout_s)

        await self._channels.call(address, 'crash verdict', rpc, timeout_s)


class CrashServicer(serving_grpc.CrashJudgeBase):
    """Serves crash reports and verdicts."""

    def __init__(self, handler: CrashHandler) -> None:
        self._handler = handler

    async def Report(self, stream: Stream) -> None:  # noqa: N802 - generated name
        """Accept a crash report."""
        message = await stream.recv_message()
        requests = (BrokenRequest(item.content, item.produced) for item in message.requests)
        report = CrashReport(message.replica, tuple(requests), tuple(message.cleared))
        await self._handler.record_crash(report)
        await stream.send_message(serving_pb2.CrashReportReply())

    async def Tell(self, stream: Stream) -> None:  # noqa: N802 - generated name
        """Accept a verdict."""
        message = await stream.recv_message()
        await self._handler.record_verdict(
            CrashVerdict(message.content, message.crashes, message.judge, message.withdrawn)
        )
        await stream.send_message(serving_pb2.CrashVerdictReply())
