"""Forwarder: sends callers' requests to replicas and returns the answers."""

import asyncio
from contextlib import asynccontextmanager, contextmanager

import structlog
from attrs import define, field

from toucanlead_core.errors import (
    NotSent,
    OutcomeUnknown,
    Ran,
    Reason,
    Refusal,
    RetryReason,
    Step,
)
from toucanlead_core.timers import Timers
from toucanlead_peer.turns import Turn

from .budgets import Budgets, Reservation
from .dispatch import Dispatch
from .events import EventSplitter, StreamEvent
from .metrics import ServingMetrics
from .registry import Replica
from .replica_client import NotExecuted, ReplicaAnswer
from .request import AnswerSink, CallerReq, ReplicaCall
from .routes import CurrentRoutes, Route, RouteKind, RouteTable
from .turns import Turns

log = structlog.get_logger()

FULL_WAIT_S = 1.0  # how long a request is retried while all replicas are full
FULL_DELAY_S = 0.03
FULL_RETRY_AFTER_MS = 400
MAX_SENDS = 4  # of one repeatable request


@define(eq=False)
class Journey:
    """State of one request in progress: its route, its attempts and the answer so far."""

    req: CallerReq
    route: Route
    table: RouteTable
    limit_at: float
    sends: int = 0
    may_have_run: bool = False
    avoid: set[str] = field(factory=set)
    asked: set[str] = field(factory=set)
    reservation: Reservation | None = None
    events: list[StreamEvent] = field(factory=list)
    replica: Replica | None = None
    status: int = 0
    detail: str = ''

    @property
    def ran(self) -> Ran:
        """Return whether the request may have run, for a refusal without an answer."""
        return Ran.UNKNOWN if self.may_have_run else Ran.NOT_RUN

    @contextmanager
    def sending_to(self, replica: Replica):
        """Record an attempt; undo it if the replica certainly did not run the request.

        The replica may run the request as soon as the first byte is sent, so the attempt
        stays recorded when the deadline passes without an answer.
        """
        ran_before, asked_before = self.may_have_run, replica.ident in self.asked
        self.replica = replica
        self.may_have_run = True
        self.asked.add(replica.ident)
        self.sends += 1
        try:
            yield
        except (NotSent, NotExecuted):
            self.may_have_run = ran_before
            self.sends -= 1
            if not asked_before:
                self.asked.discard(replica.ident)
            raise


class Forwarder:
    """Forwards the requests of all callers of one entry."""

    def __init__(
        self,
        routes: CurrentRoutes,
        dispatch: Dispatch,
        turns: Turns,
        budgets: Budgets,
        timers: Timers,
        metrics: ServingMetrics,
    ) -> None:
        self._routes = routes
        self._dispatch = dispatch
        self._turns = turns
        self._budgets = budgets
        self._timers = timers
        self._metrics = metrics
        self._kept_on: set[asyncio.Task] = set()
        self.in_progress = 0

    async def serve(self, req: CallerReq, sink: AnswerSink) -> None:
        """Serve a request; raise Refusal when it has no complete answer.

        After a Refusal, `sink.begun` says whether a partial answer must be aborted.
        """
        table = self._routes.table
        if table is None:
            raise Refusal(
                Reason.NOT_CONFIGURED, 'no configuration received yet', retry_after_ms=500
            )
        route = table.match(req.host, req.path)
        if route is None:
            raise Refusal(Reason.NO_ROUTE, f'{req.host}{req.path}', step=Step.ROUTE)
        limit_at = min(req.deadline_at, req.arrived_at + route.timeout_s)
        journey = Journey(req, route, table, limit_at)
        self.in_progress += 1
        try:
            if route.kind is RouteKind.UNSAFE:
                await self._to_the_end(self._carry(journey, sink))
            else:
                await self._carry(journey, sink)
        finally:
            self.in_progress -= 1

    async def _carry(self, journey: Journey, sink: AnswerSink) -> None:
        """Forward a request, count its outcome in the metrics and log it."""
        outcome = 'caller_left'
        try:
            await self._within_limit(journey, sink)
            outcome = 'answered'
        except Refusal as refusal:
            outcome = refusal.reason.value
            journey.detail = refusal.detail
            self._metrics.refused(refusal.reason)
            raise
        except ConnectionError as exc:
            raise asyncio.CancelledError('caller disconnected') from exc
        finally:
            seconds = self._timers.now() - journey.req.arrived_at
            if outcome == 'answered':
                self._metrics.answered(journey.route.kind.value, seconds)
            log.info('request_ended', **self._story(journey, outcome, seconds))

    def _story(self, journey: Journey, outcome: str, seconds: float) -> dict[str, object]:
        """Return the fields of a request's log line."""
        req = journey.req
        return {
            'request': req.ident,
            'outcome': outcome,
            'detail': journey.detail,
            'ran': Ran.RAN.value if outcome == 'answered' else journey.ran.value,
            'program': req.program.program if req.program else '',
            'previous': req.previous_turn or '',
            'route': journey.route.name,
            'config': journey.table.version,
            'replica': journey.replica.ident if journey.replica else '',
            'status': journey.status,
            'sends': journey.sends,
            'events': len(journey.events),
            'ms': round(1e3 * seconds),
            'left_ms': round(1e3 * (req.deadline_at - self._timers.now())),
        }

    async def finished(self) -> None:
        """Wait for all unsafe requests, also those whose callers have disconnected."""
        while self._kept_on:
            await asyncio.wait(list(self._kept_on))

    async def _to_the_end(self, work) -> None:
        """Run to completion even if the caller disconnects: the request is not repeatable."""
        task = asyncio.ensure_future(work)
        self._kept_on.add(task)
        task.add_done_callback(self._done)
        await asyncio.shield(task)

    def _done(self, task: asyncio.Task) -> None:
        self._kept_on.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.debug('request_ended', error=repr(task.exception()))

    async def _within_limit(self, journey: Journey, sink: AnswerSink) -> None:
        try:
            async with asyncio.timeout_at(journey.limit_at):
                if journey.route.kind is RouteKind.STREAM:
                    await self._stream(journey, sink)
                else:
                    await self._plain(journey, sink)
        except TimeoutError:
            raise self._time_over(journey) from None

    def _time_over(self, journey: Journey) -> Refusal:
        return Refusal(
            Reason.DEADLINE,
            f'no answer after {self._timers.now() - journey.req.arrived_at:.3f} s',
            ran=journey.ran,
            step=Step.ANSWER,
            retry_after_ms=FULL_RETRY_AFTER_MS,
        )

    async def _plain(self, journey: Journey, sink: AnswerSink) -> None:
        while True:
            call = self._call(journey, journey.req.body)
            try:
                async with self._sent(journey, call) as answer:
                    body = b''.join([chunk async for chunk in answer.chunks()])
                    head = answer.head
            except OutcomeUnknown as exc:
                self._may_try_again(journey, exc)
                continue
            journey.status = head.status
            await sink.begin(head, len(body))
            if body:
                await sink.write(body)
            await sink.end()
            return

    async def _stream(self, journey: Journey, sink: AnswerSink) -> None:
        req = journey.req
        body = await self._with_history(journey)
        await self._reserve(journey)
        try:
            while True:
                call = self._call(journey, body)
                try:
                    async with self._sent(journey, call) as answer:
                        journey.status = answer.head.status
                        if not answer.head.streamed:
                            await self._pass_whole(answer, sink)
                            return
                        await self._pass_events(journey, answer, sink)
                except OutcomeUnknown as exc:
                    self._may_try_again(journey, exc)
                    continue
                break
            self._dispatch.generated(journey.replica, req, len(journey.events) * self._per(journey))
            if not sink.begun:
                raise Refusal(Reason.BACKEND_FAILED, 'replica sent an empty stream', ran=Ran.RAN)
            if journey.route.keeps_history:
                await self._keep(journey)
            await sink.end()
        finally:
            if journey.reservation is not None:
                self._budgets.settle(journey.reservation)

    async def _with_history(self, journey: Journey) -> bytes:
        req = journey.req
        if not journey.route.keeps_history or req.previous_turn is None:
            return req.body
        program = req.program.program if req.program else ''
        history = await self._turns.history(req.previous_turn, program, journey.limit_at)
        return history + req.body

    async def _reserve(self, journey: Journey) -> None:
        program, generation = journey.req.program, journey.req.generation
        if program is None or program.budget is None or generation is None:
            return
        journey.reservation = await self._budgets.reserve(
            program.program,
            program.budget,
            generation.max_tokens,
            journey.limit_at,
            generation.expected_tokens,
        )

    async def _pass_whole(self, answer: ReplicaAnswer, sink: AnswerSink) -> None:
        """Return an answer that is not a stream, such as an error, to the caller."""
        body = b''.join([chunk async for chunk in answer.chunks()])
        await sink.begin(answer.head, len(body))
        if body:
            await sink.write(body)
        await sink.end()

    async def _pass_events(self, journey: Journey, answer: ReplicaAnswer, sink: AnswerSink) -> None:
        splitter = EventSplitter()
        async for chunk in answer.chunks():
            events = splitter.feed(chunk)
            if not events:
                continue
            self._spend(journey, len(events))
            if not sink.begun:
                await sink.begin(answer.head, None)
            await sink.write(b''.join(event.raw for event in events))
            journey.events.extend(events)
        if splitter.rest:
            raise OutcomeUnknown('stream ended in the middle of an event', step='stream', peer='')

    def _spend(self, journey: Journey, events: int) -> None:
        reservation = journey.reservation
        if reservation is not None:
            reservation.used += events * self._per(journey)
            if reservation.left < 0:
                raise OutcomeUnknown(
                    'replica sent more tokens than were reserved', step='stream', peer=''
                )

    async def _keep(self, journey: Journey) -> None:
        req = journey.req
        output = b''.join(event.data + b'\n' for event in journey.events)
        turn = Turn(req.ident, req.previous_turn or '', req.body, output, journey.route.retention_s)
        program = req.program.program if req.program else ''
        await self._turns.keep(turn, program)

    def _per(self, journey: Journey) -> int:
        """Return how many tokens one stream event counts as."""
        service = journey.table.services.get(journey.replica.record.service)
        return service.engine.tokens_per_event if service and service.engine else 1

    def _call(self, journey: Journey, body: bytes) -> ReplicaCall:
        resume_after = journey.req.resume_after
        if journey.events:
            resume_after = journey.events[-1].ident
        return ReplicaCall(journey.req, body, journey.limit_at, resume_after=resume_after)

    @asynccontextmanager
    async def _sent(self, journey: Journey, call: ReplicaCall):
        """Send to one replica after another and yield the answer of the first to accept."""
        give_up_at = min(journey.limit_at, self._timers.now() + FULL_WAIT_S)
        while True:
            replica = self._place(journey)
            entered = False
            try:
                with journey.sending_to(replica):
                    async with self._dispatch.sending(replica, call) as answer:
                        entered = True
                        yield answer
                        return
            except (NotSent, NotExecuted) as exc:
                if entered:
                    raise
                await self._not_taken(journey, replica, exc, give_up_at)

    def _place(self, journey: Journey) -> Replica:
        service = journey.route.service_for(_split_key(journey.req))
        only = journey.asked if len(journey.asked) >= journey.route.max_attempts else None
        replica = self._dispatch.place(service, journey.req, journey.avoid, only)
        if replica is None and only is not None:  # all tried replicas are gone or avoided
            journey.asked.clear()
            replica = self._dispatch.place(service, journey.req, journey.avoid, None)
        if replica is None and journey.avoid:
            journey.avoid.clear()
            replica = self._dispatch.place(service, journey.req, journey.avoid, None)
        if replica is None:
            raise Refusal(
                Reason.NO_REPLICA,
                service,
                ran=journey.ran,
                step=Step.ROUTE,
                retry_after_ms=FULL_RETRY_AFTER_MS,
            )
        return replica

    async def _not_taken(
        self, journey: Journey, replica: Replica, exc: NotSent | NotExecuted, give_up_at: float
    ) -> None:
        """Avoid a replica that did not run the request; raise Refusal if time is up."""
        now = self._timers.now()
        wrong = isinstance(exc, NotExecuted) and exc.wrong_replica
        reason = RetryReason.CONNECT_FAILED
        if isinstance(exc, NotExecuted):
            reason = RetryReason.WRONG_REPLICA if wrong else RetryReason.REPLICA_BUSY
        self._metrics.retried(reason)
        journey.avoid.add(replica.ident)
        log.info(
            'not_taken',
            request=journey.req.ident,
            replica=replica.ident,
            reason=reason.value,
            error=str(exc),
        )
        if now + FULL_DELAY_S > give_up_at:
            raise Refusal(
                Reason.REPLICAS_FULL,
                f'no replica of {replica.record.service} accepted the request',
                ran=journey.ran,
                step=Step.SEND,
                peer=replica.ident,
                retry_after_ms=FULL_RETRY_AFTER_MS,
            )
        if reason is RetryReason.REPLICA_BUSY:
            await self._timers.sleep(FULL_DELAY_S)

    def _may_try_again(self, journey: Journey, exc: OutcomeUnknown) -> None:
        """Raise Refusal unless the request may be sent again.

        It may go to the same replica again, or to another one within the route's
        `max_attempts` or when none of those tried before is left.
        """
        if journey.route.repeatable and journey.sends < MAX_SENDS:
            log.info('sent_again', request=journey.req.ident, error=str(exc))
            self._metrics.retried(RetryReason.ANSWER_LOST)
            return
        raise Refusal(
            Reason.BACKEND_FAILED, str(exc), ran=Ran.UNKNOWN, step=Step.SEND, peer=exc.peer
        ) from exc


def _split_key(req: CallerReq) -> str:
    return req.program.program if req.program else req.ident
