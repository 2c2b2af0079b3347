"""State of one request in progress."""

from collections import Counter
from collections.abc import Set
from contextlib import contextmanager

from attrs import define, field

from toucanlead_core.errors import ExecutionStatus, NotSent
from toucanlead_links.replica_links import Link
from toucanlead_replicas.registry import Replica
from toucanlead_replicas.replica_client import NotExecuted
from toucanlead_replicas.request import CallerReq, ContentIds

from .budgets import Reservation
from .events import StreamEvent
from .histories import NO_HISTORY, History
from .routes import Route, RouteTable
from .stream_origins import StreamOrigin

GONE_AFTER = 2  # failures to reach a replica; one alone may be a lost packet


@define(eq=False)
class ActiveRequest:
    """State of one request in progress: its route, its attempts and the response so far.

    `counted` says that it counts against the rate of its team.

    `origin` is where its stream began, None while the caller holds no event. `avoid` holds
    the ids of replicas that did not accept the request, `tried` those of replicas that may
    have run it. `unreached` counts how often each replica could not be reached.
    """

    req: CallerReq
    route: Route
    table: RouteTable
    expires_at: float
    content: ContentIds
    sends: int = 0
    crashes: int = 0
    may_have_run: bool = False
    counted: bool = False
    avoid: set[str] = field(factory=set)
    tried: set[str] = field(factory=set)
    unreached: Counter[str] = field(factory=Counter)
    origin: StreamOrigin | None = None
    history: History = NO_HISTORY
    reservation: Reservation | None = None
    events: list[StreamEvent] = field(factory=list)
    events_before_send: int = 0
    stream_bytes: int = 0
    link: Link | None = None
    status: int = 0
    detail: str = ''

    @property
    def team(self) -> str | None:
        """Return the caller's team, empty for one without, None where there are no teams."""
        return self.req.team if self.table.teams else None

    @property
    def rank(self) -> tuple[int, ...]:
        """Return the place among waiting requests: team, route, begun chains; low goes first."""
        team_priority = self.table.teams.priority_of(self.req.team)
        return team_priority, self.route.priority, int(self.req.previous_turn is None)

    @property
    def replica(self) -> Replica | None:
        """Return the replica that the request was sent to last."""
        return self.link.replica if self.link else None

    @property
    def ran(self) -> ExecutionStatus:
        """Return whether the request may have run, for a refusal without a response."""
        return ExecutionStatus.UNKNOWN if self.may_have_run else ExecutionStatus.NOT_RUN

    def gone(self) -> Set[str]:
        """Return the replicas that seem to have ended, or to be cut off from this entry."""
        return {name for name, count in self.unreached.items() if count >= GONE_AFTER}

    @contextmanager
    def record_attempt(self, link: Link):
        """Record an attempt; undo it if the replica certainly did not run the request.

        The replica may run the request as soon as the first byte is sent, so the attempt
        stays recorded when the deadline passes without a response.
        """
        replica = link.replica
        ran_before, tried_before = self.may_have_run, replica.ident in self.tried
        self.link = link
        self.events_before_send = len(self.events)
        self.may_have_run = True
        self.tried.add(replica.ident)
        self.sends += 1
        try:
            yield
        except (NotSent, NotExecuted):
            self.may_have_run = ran_before
            self.sends -= 1
            if not tried_before:
                self.tried.discard(replica.ident)
            raise
