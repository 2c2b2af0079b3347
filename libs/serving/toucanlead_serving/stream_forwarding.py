"""Forwarding of streams: passes events on as they come, and resumes a stream that breaks off."""

import asyncio

import structlog

from toucanlead_backends.http_connection import MAX_BODY_BYTES
from toucanlead_core.errors import ExecutionStatus, OutcomeUnknown, Reason, Refusal, Step
from toucanlead_core.received_bytes import HeldAnswer, TooManyBytes
from toucanlead_peer.serving_interfaces import Turn
from toucanlead_replicas.replica_client import ReplicaResponse
from toucanlead_replicas.request import ResponseSink
from toucanlead_teams.ownership import may_continue, program_key

from .active_request import ActiveRequest
from .archive_client import ArchiveClient
from .budgets import Budgets
from .dispatch import Dispatch
from .events import EventSplitter, StreamEvent
from .sends import ReplicaSends, replica_call
from .stream_origins import StreamOrigins

log = structlog.get_logger()

MIN_STALL_S = 1.0  # callers abandon a stream after a pause of two seconds
FIRST_ERROR_STATUS = 400
STALL_GAPS = 4  # how many times the longest pause for an answer in time counts as a stall


class StreamForwarding:
    """Forwards the streams of one entry, and stores the turns that they end."""

    def __init__(
        self,
        sends: ReplicaSends,
        dispatch: Dispatch,
        archive_client: ArchiveClient,
        budgets: Budgets,
        origins: StreamOrigins,
    ) -> None:
        self._sends = sends
        self._dispatch = dispatch
        self._archive_client = archive_client
        self._budgets = budgets
        self._origins = origins

    async def forward(self, active: ActiveRequest, sink: ResponseSink) -> None:
        """Forward a stream until it ends whole; raise Refusal if it does not."""
        req = active.req
        if req.resumes or req.resume_after:
            await self._find_origin(active)
        body = await self._body_with_history(active)
        await self._reserve(active)
        try:
            while True:
                call = replica_call(active, body)
                try:
                    async with self._sends.send(active, call) as response:
                        active.status = response.head.status
                        if not response.head.streamed:
                            self._check_not_begun(active, response, sink)
                            await self._write_whole(active, response, sink)
                            return
                        await self._receive_events(active, response, sink)
                except OutcomeUnknown as exc:
                    await self._sends.check_resend(active, exc)
                    continue
                break
            self._dispatch.record_generated(
                active.replica, req, len(active.events) * self._tokens_per_event(active)
            )
            if not sink.head_sent:
                raise Refusal(
                    Reason.BACKEND_FAILED, 'replica sent an empty stream', ran=ExecutionStatus.RAN
                )
            if active.route.keeps_history:
                await self._store_turn(active)
            await sink.end()
            self._origins.record_end(req.ident)
        finally:
            if active.reservation is not None:
                self._budgets.settle(active.reservation)

    async def _find_origin(self, active: ActiveRequest) -> None:
        """Bind a stream that the caller resumes to its version; raise Refusal if that fails."""
        req, route = active.req, active.route
        service = route.service_for(req.split_key)
        active.origin = await self._origins.find(req.ident, req.resumes, service)
        if active.origin.service not in {target.service for target in route.targets}:
            raise self._sends.version_gone(active)

    async def _body_with_history(self, active: ActiveRequest) -> bytes:
        req = active.req
        if not active.route.keeps_history or req.previous_turn is None:
            return req.body
        program = req.program.program if req.program else ''
        active.history = await self._archive_client.history(
            req.previous_turn, program, active.expires_at
        )
        self._check_owner(active)
        return active.history.text + req.body

    def _check_owner(self, active: ActiveRequest) -> None:
        """Raise Refusal if the turn that is to be continued is another team's.

        To its caller it is a turn that does not exist.
        """
        owners = [turn.team for turn in active.history.turns]
        ident = active.req.previous_turn
        if not may_continue(active.team, owners):
            log.warning(
                'turn_of_other_team', request=active.req.ident, turn=ident, team=active.team
            )
            raise Refusal(Reason.UNKNOWN_TURN, ident, step=Step.ORDER)
        if active.team is not None and owners[0] is None:
            log.warning('turn_without_team', request=active.req.ident, turn=ident)

    async def _reserve(self, active: ActiveRequest) -> None:
        program, generation = active.req.program, active.req.generation
        if program is None or program.budget is None or generation is None:
            return
        active.reservation = await self._budgets.reserve(
            program_key(active.team, program.program),
            program.budget,
            generation.max_tokens,
            active.expires_at,
            generation.expected_tokens,
        )

    async def _write_whole(
        self, active: ActiveRequest, response: ReplicaResponse, sink: ResponseSink
    ) -> None:
        """Return a response that is not a stream, such as an error, to the caller."""
        body = await self._sends.read_body(active, response)
        await sink.send_head(response.head, len(body))
        if body:
            await sink.write(body)
        await sink.end()

    def _check_not_begun(
        self, active: ActiveRequest, response: ReplicaResponse, sink: ResponseSink
    ) -> None:
        """Raise OutcomeUnknown if a response that is not a stream comes after a stream's events.

        A caller that resumes a stream may still get an error, whose status it sees.
        """
        status = response.head.status
        if sink.head_sent or (active.req.resume_after and status < FIRST_ERROR_STATUS):
            raise OutcomeUnknown(
                f'status {status} instead of the rest of a stream',
                step='stream',
                peer=active.replica.ident,
            )

    async def _receive_events(
        self, active: ActiveRequest, response: ReplicaResponse, sink: ResponseSink
    ) -> None:
        """Pass a stream on; it is not interrupted while an event is written to the caller."""
        try:
            async with self._sends.received.hold(interruptible=False) as held:
                held.add(active.stream_bytes)
                await self._write_events(active, response, sink, held)
        except TooManyBytes as exc:
            raise OutcomeUnknown(str(exc), step='stream', peer=active.replica.ident) from exc

    async def _write_events(
        self,
        active: ActiveRequest,
        response: ReplicaResponse,
        sink: ResponseSink,
        held: HeldAnswer,
    ) -> None:
        splitter = EventSplitter()
        try:
            async with asyncio.timeout(None) as stall:
                async for chunk in held.count(response.chunks()):
                    events = self._split(splitter, chunk, active)
                    if not events:
                        continue
                    with_data = [event for event in events if event.data is not None]
                    stalled_at = stall.when()
                    stall.reschedule(None)
                    self._count_tokens(active, len(with_data))
                    if not sink.head_sent:
                        if active.route.repeatable:
                            active.origin = await self._origins.record(
                                active.req.ident, active.replica
                            )
                        await sink.send_head(response.head, None)
                    await sink.write(b''.join(event.raw for event in events))
                    active.events.extend(with_data)
                    stall.reschedule(self._stalled_at(active) if with_data else stalled_at)
        except TimeoutError as exc:
            raise OutcomeUnknown(
                'stream has stalled', step='stream', peer=active.replica.ident
            ) from exc
        if splitter.incomplete:
            raise OutcomeUnknown('stream ended in the middle of an event', step='stream', peer='')

    def _split(
        self, splitter: EventSplitter, chunk: bytes, active: ActiveRequest
    ) -> list[StreamEvent]:
        """Return the events that a chunk completes; raise OutcomeUnknown if there is no end."""
        peer = active.replica.ident
        try:
            events = splitter.feed(chunk)
        except ValueError as exc:
            raise OutcomeUnknown(str(exc), step='stream', peer=peer) from exc
        active.stream_bytes += len(chunk)
        if active.stream_bytes > MAX_BODY_BYTES:
            raise OutcomeUnknown(f'stream exceeds {MAX_BODY_BYTES} bytes', step='stream', peer=peer)
        return events

    def _stalled_at(self, active: ActiveRequest) -> float | None:
        """Return by when the next event must come, None if the stream cannot be resumed.

        Any other stream is left to its deadline: what it has generated would be lost.
        """
        route = active.route
        if not route.repeatable:
            return None
        gap_s = STALL_GAPS * (route.target_gap_s or 0.0)
        return asyncio.get_running_loop().time() + max(MIN_STALL_S, gap_s)

    def _count_tokens(self, active: ActiveRequest, events: int) -> None:
        reservation = active.reservation
        if reservation is not None:
            reservation.used += events * self._tokens_per_event(active)
            if reservation.left < 0:
                raise OutcomeUnknown(
                    'replica sent more tokens than were reserved', step='stream', peer=''
                )

    async def _store_turn(self, active: ActiveRequest) -> None:
        req = active.req
        output = b''.join(event.data + b'\n' for event in active.events)
        turn = Turn(
            req.ident,
            req.previous_turn or '',
            req.body,
            output,
            active.route.retention_s,
            team=active.team,
        )
        program = req.program.program if req.program else ''
        await self._archive_client.store_turn(turn, program, active.history)

    def _tokens_per_event(self, active: ActiveRequest) -> int:
        """Return how many tokens one stream event counts as."""
        service = active.table.services.get(active.replica.record.service)
        return service.engine.tokens_per_event if service and service.engine else 1
