"""Forwarder: sends callers' requests to replicas and returns the responses."""

import asyncio

import structlog

from toucanlead_core.errors import ExecutionStatus, OutcomeUnknown, Reason, Refusal, Step
from toucanlead_core.timers import Timers
from toucanlead_replicas.request import CallerReq, ResponseSink
from toucanlead_teams.ownership import program_key

from .active_request import ActiveRequest
from .crash_verdicts import CrashVerdicts
from .dispatch import Dispatch
from .metrics import ServingMetrics
from .planned_stop import PlannedStop
from .routes import CurrentRoutes, RouteKind
from .sends import OTHER_ENTRY_RETRY_AFTER_MS, RETRY_AFTER_MS, ReplicaSends, replica_call
from .stream_forwarding import StreamForwarding
from .team_rates import TeamRates

log = structlog.get_logger()


class Forwarder:
    """Forwards the requests of all callers of one entry."""

    def __init__(
        self,
        stop: PlannedStop,
        routes: CurrentRoutes,
        dispatch: Dispatch,
        sends: ReplicaSends,
        streams: StreamForwarding,
        verdicts: CrashVerdicts,
        team_rates: TeamRates,
        timers: Timers,
        metrics: ServingMetrics,
    ) -> None:
        self._stop = stop
        self._routes = routes
        self._dispatch = dispatch
        self._sends = sends
        self._streams = streams
        self._verdicts = verdicts
        self._team_rates = team_rates
        self._timers = timers
        self._metrics = metrics
        self._shielded_tasks: set[asyncio.Task] = set()
        self._timeouts: set[asyncio.Timeout] = set()
        self._aborted = False
        self.in_progress = 0

    async def serve(self, req: CallerReq, sink: ResponseSink) -> None:
        """Serve a request; raise Refusal when it has no complete response.

        After a Refusal, `sink.head_sent` says whether a partial response must be aborted.
        """
        table = self._routes.table
        if table is None:
            raise Refusal(
                Reason.NOT_CONFIGURED, 'no configuration received yet', retry_after_ms=500
            )
        route = table.match(req.host, req.path)
        if route is None:
            raise Refusal(Reason.NO_ROUTE, f'{req.host}{req.path}', step=Step.ROUTE)
        expires_at = min(req.deadline_at, req.arrived_at + route.timeout_s)
        if expires_at <= self._timers.now():
            raise Refusal(
                Reason.DEADLINE,
                'the request was read after its time',
                step=Step.ROUTE,
                retry_after_ms=RETRY_AFTER_MS,
            )
        if not self._stop.accepts(expires_at):
            raise Refusal(
                Reason.STOPPING,
                'the request may last longer than this process',
                retry_after_ms=OTHER_ENTRY_RETRY_AFTER_MS,
            )
        self._dispatch.limits.record_request(route.service_for(req.split_key))
        active = ActiveRequest(req, route, table, expires_at, req.content_ids())
        self.in_progress += 1
        try:
            if route.kind is RouteKind.UNSAFE:
                await self._run_shielded(self._forward(active, sink))
            else:
                await self._forward(active, sink)
        finally:
            self.in_progress -= 1

    async def _forward(self, active: ActiveRequest, sink: ResponseSink) -> None:
        """Forward a request, count its outcome in the metrics and log it."""
        outcome = 'caller_left'
        try:
            await self._forward_in_time(active, sink)
            outcome = 'answered'
            self._verdicts.record_answer(active.content)
        except Refusal as refusal:
            outcome = refusal.reason.value
            active.detail = refusal.detail
            self._metrics.refused(refusal.reason)
            raise
        except ConnectionError as exc:
            raise asyncio.CancelledError('caller disconnected') from exc
        finally:
            if active.counted and not active.may_have_run:
                self._team_rates.give_back(active.req.team)
            seconds = self._timers.now() - active.req.arrived_at
            if outcome == 'answered':
                self._metrics.answered(active.route.kind.value, seconds)
            log.info('request_ended', **self._log_fields(active, outcome, seconds))

    def _log_fields(self, active: ActiveRequest, outcome: str, seconds: float) -> dict[str, object]:
        """Return the fields of a request's log line."""
        req = active.req
        return {
            'request': req.ident,
            **({} if active.team is None else {'team': req.team}),
            'outcome': outcome,
            'detail': active.detail,
            'ran': ExecutionStatus.RAN.value if outcome == 'answered' else active.ran.value,
            'program': program_key(active.team, req.program.program) if req.program else '',
            'previous': req.previous_turn or '',
            'resumes': req.resumes or '',
            'resume_after': req.resume_after or '',
            'route': active.route.name,
            'config': active.table.version,
            'replica': active.replica.ident if active.replica else '',
            'peer': active.link.peer if active.link else '',
            'version': active.replica.record.version if active.replica else '',
            'content': active.content.whole,
            'status': active.status,
            'sends': active.sends,
            'events': len(active.events),
            'ms': round(1e3 * seconds),
            'left_ms': round(1e3 * (req.deadline_at - self._timers.now())),
        }

    async def finished(self) -> None:
        """Wait for all non-repeatable requests, also those whose callers disconnected."""
        while self._shielded_tasks:
            await asyncio.wait(list(self._shielded_tasks))

    async def _run_shielded(self, coro) -> None:
        """Run to completion even if the caller disconnects: the request is not repeatable."""
        task = asyncio.ensure_future(coro)
        self._shielded_tasks.add(task)
        task.add_done_callback(self._on_task_done)
        await asyncio.shield(task)

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._shielded_tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.debug('request_ended', error=repr(task.exception()))

    async def _forward_in_time(self, active: ActiveRequest, sink: ResponseSink) -> None:
        self._verdicts.check(active.content, active.ran)
        try:
            async with asyncio.timeout_at(active.expires_at) as timeout:
                self._timeouts.add(timeout)
                try:
                    with self._verdicts.running(active.content):
                        if active.route.kind is RouteKind.STREAM:
                            await self._streams.forward(active, sink)
                        else:
                            await self._forward_whole(active, sink)
                finally:
                    self._timeouts.discard(timeout)
        except TimeoutError:
            raise self._deadline_refusal(active) from None

    def abort_all(self) -> None:
        """End all requests in progress now; those that no replica may have run are refused."""
        self._aborted = True
        now = asyncio.get_running_loop().time()
        for timeout in self._timeouts:
            if not timeout.expired():
                timeout.reschedule(now)

    def _deadline_refusal(self, active: ActiveRequest) -> Refusal:
        if self._aborted:
            return Refusal(
                Reason.STOPPING,
                'the process is ending',
                ran=active.ran,
                step=Step.ANSWER,
                retry_after_ms=OTHER_ENTRY_RETRY_AFTER_MS,
            )
        return Refusal(
            Reason.DEADLINE,
            f'no answer after {self._timers.now() - active.req.arrived_at:.3f} s',
            ran=active.ran,
            step=Step.ANSWER,
            retry_after_ms=RETRY_AFTER_MS,
        )

    async def _forward_whole(self, active: ActiveRequest, sink: ResponseSink) -> None:
        while True:
            call = replica_call(active, active.req.body)
            try:
                async with self._sends.send(active, call) as response:
                    body = await self._sends.read_body(active, response)
                    head = response.head
            except OutcomeUnknown as exc:
                await self._sends.check_resend(active, exc)
                continue
            active.status = head.status
            await sink.send_head(head, len(body))
            if body:
                await sink.write(body)
            await sink.end()
            return
