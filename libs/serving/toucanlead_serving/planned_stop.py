"""Decisions of a planned stop: what becomes of callers' connections and their next requests.

A caller goes on using a connection until it is told that it ends or sees its end. During a
stop every answer therefore announces the end of its connection. An answer whose head was sent
before the stop could not announce it, so that its connection ends together with the answer.
"""

import enum

from attrs import define

FIRST_REQUEST_WAIT_S = 1.0  # a caller that connects sends its request at once


class StopPhase(enum.Enum):
    """How far a stop has got."""

    RUNNING = 'running'
    LEAVING = 'leaving'  # the load balancer may still send new connections
    CLOSING = 'closing'  # no new connections come; those without a request are closed


class ConnectionState(enum.Enum):
    """What a caller's connection is being used for."""

    NEW = 'new'  # no byte has arrived yet
    READING = 'reading'  # a request has arrived in part, or waits for the one before it
    ANSWERING = 'answering'  # a whole request is being served
    IDLE = 'idle'  # the last request has been answered
    ENDING = 'ending'  # the last answer has been sent


@define
class PlannedStop:
    """The phase of a process's stop, and what follows from it.

    Requests that are still in progress at `abort_at` (loop time, seconds) are aborted.
    """

    phase: StopPhase = StopPhase.RUNNING
    abort_at: float = float('inf')

    def leave(self, abort_at: float) -> None:
        """Begin the stop."""
        self.phase = StopPhase.LEAVING
        self.abort_at = abort_at

    def close_connections(self) -> None:
        """End the time in which new connections come."""
        self.phase = StopPhase.CLOSING

    def finish(self) -> None:
        """Accept nothing more: what is left of the stop waits for no request."""
        self.abort_at = float('-inf')

    @property
    def stopping(self) -> bool:
        """Return whether the stop has begun."""
        return self.phase is not StopPhase.RUNNING

    def accepts(self, expires_at: float) -> bool:
        """Return whether to serve a request that ends at `expires_at` at the latest.

        While new connections come, every request is served: most end long before their
        deadline, and a caller that is refused may be sent here again. Later a request is
        refused, as not run, unless it is sure to end in time.
        """
        return self.phase is not StopPhase.CLOSING or expires_at <= self.abort_at

    def ends_after_answer(self, queued: int) -> bool:
        """Return whether a connection ends with an answer; `queued` requests wait behind it.

        All requests that were read are answered first.
        """
        return self.stopping and not queued

    def should_close(self, state: ConnectionState, unused_s: float) -> bool:
        """Return whether to close a connection that has been in its state for `unused_s`."""
        if self.phase is not StopPhase.CLOSING:
            return False
        if state is ConnectionState.NEW:
            return unused_s >= FIRST_REQUEST_WAIT_S
        return state is ConnectionState.IDLE
