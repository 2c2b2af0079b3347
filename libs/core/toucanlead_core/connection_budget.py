"""Decides what a process holds for clients: bytes and connections, and who gives way.

Does no input or output and has no clock; `docs/design/memory-of-others.md` gives the reasons.
"""

from collections.abc import Callable
from enum import Enum

from attrs import define, field

from .kernel_buffers import NO_BYTES, KernelBytes
from .memory_plan import MemoryPlan

DESCRIPTORS_SHARE = 1 / 2  # of the descriptors; the rest is for peers, replicas and the store
WHOLE_COPIES = 3  # of a request being served: received, encoded, and in the socket's buffer
BODIES_ALWAYS_HELD = 4  # of the longest that is allowed
ALWAYS_HELD_BYTES = 16_384  # of one connection; never the reason to give it up
STILL_S = 1.0  # a connection on which nothing has moved for so long gives way first
LEAVING_SHARE = 1 / 4  # of the connections; more that are given up, but open, admit no new one
LEAVING_LIMIT_S = 2.0  # how long a connection that is given up may take to end
SWEEP_PERIOD_S = 0.5
MEASURE_PERIOD_S = 0.05  # between two measurements of all connections


class Cause(Enum):
    """Why a connection is given up."""

    BYTES = 'bytes'
    CONNECTIONS = 'connections'


@define(eq=False)
class ConnectionHold:
    """What is held for one connection, in bytes.

    `arriving` counts requests that are not whole, or wait `behind` the one that is being served,
    `serving` that one with its copies, and `unread` an answer that the client has not taken yet.
    `buffered` is what the socket's buffers were last found to hold. While `answering`, the
    client has sent a whole request and waits. Something last moved at `moved_at`.

    `give_up` is called when the connection has to go; it releases what is held soon. `reset`
    ends the connection at once, and `measure` returns what its buffers hold now. With
    `watched`, the buffers may fill although nothing is read or written.
    """

    give_up: Callable[[Cause], None]
    moved_at: float
    measure: Callable[[], KernelBytes] = KernelBytes
    reset: Callable[[], None] = lambda: None
    arriving: int = 0
    serving: int = 0
    unread: int = 0
    buffered: KernelBytes = NO_BYTES
    answering: bool = False
    behind: bool = False
    watched: bool = False
    given_up: bool = False
    given_up_at: float = 0.0

    @property
    def yieldable(self) -> int:
        """The bytes that giving up this connection releases."""
        return self.arriving + self.unread + self.buffered.total

    @property
    def held(self) -> int:
        """All bytes."""
        return self.yieldable + self.serving


@define(eq=False)
class ConnectionBudget:
    """Bounds the bytes and the number of the connections of one process's clients.

    Above the bound on bytes, connections with requests behind another give way first, then those
    that stand still, then those that hold most. Above the bound on connections, the one that has
    been still for longest gives way unless it waits for an answer; if all wait, a new one is
    refused. So is a new one while too many of those that were given up have not ended.

    `total` counts the bytes of connections that stay, `leaving_bytes` those of the others; while
    these exceed `max_leaving_bytes` nobody may linger.
    """

    max_bytes: int
    max_connections: int
    longest_body: Callable[[], int] = int  # that is allowed now; there is always room for some
    max_leaving_bytes: float = float('inf')
    total: int = 0
    given_up: dict[Cause, int] = field(factory=lambda: dict.fromkeys(Cause, 0))
    _holds: set[ConnectionHold] = field(factory=set)
    _leaving: set[ConnectionHold] = field(factory=set)
    _measured_at: float = float('-inf')

    @classmethod
    def for_vm(
        cls, memory_mb: float, file_descriptors: int, longest_body: Callable[[], int] = int
    ) -> 'ConnectionBudget':
        """Return the budget of a process with so much memory and so many descriptors."""
        plan = MemoryPlan.for_vm(memory_mb)
        by_descriptors = max(1, int(file_descriptors * DESCRIPTORS_SHARE))
        connections = min(plan.max_connections, by_descriptors)
        return cls(plan.callers, connections, longest_body, plan.leaving)

    def __len__(self) -> int:
        """Return the number of connections that are not given up."""
        return len(self._holds)

    @property
    def leaving(self) -> int:
        """The number of connections that are given up and have not ended."""
        return len(self._leaving)

    @property
    def leaving_bytes(self) -> int:
        """What is held for them, in bytes."""
        return sum(each.held for each in self._leaving)

    @property
    def may_linger(self) -> bool:
        """Whether connections that are given up may take their time to end."""
        if self.leaving_bytes > self.max_leaving_bytes:
            return False
        return len(self._leaving) <= self.max_connections * LEAVING_SHARE / 2

    @property
    def bound(self) -> int:
        """The bound on bytes."""
        return max(self.max_bytes, BODIES_ALWAYS_HELD * self.longest_body())

    def resize(self, other: 'ConnectionBudget') -> None:
        """Take the bounds of another budget; connections give way as new bytes come."""
        self.max_bytes, self.max_connections = other.max_bytes, other.max_connections
        self.max_leaving_bytes = other.max_leaving_bytes

    def open(self, hold: ConnectionHold) -> bool:
        """Add a connection; return False if there is no room for it."""
        if not self._has_room_to_leave():
            self.given_up[Cause.CONNECTIONS] += 1
            return False
        while self._staying() >= self.max_connections:
            others = [each for each in self._holds if not each.answering]
            if not others:
                self.given_up[Cause.CONNECTIONS] += 1
                return False
            stillest = min(others, key=lambda each: each.moved_at)
            self._give_up(stillest, hold.moved_at, Cause.CONNECTIONS)
        self._holds.add(hold)
        self.total += hold.held
        return True

    def close(self, hold: ConnectionHold) -> None:
        """Forget a connection that has ended."""
        self._leaving.discard(hold)
        self._remove(hold)

    def update(
        self,
        hold: ConnectionHold,
        now: float,
        *,
        arriving: int | None = None,
        serving: int | None = None,
        unread: int | None = None,
        buffered: KernelBytes | None = None,
    ) -> None:
        """Set what a connection holds, and give up connections until the rest fits.

        `hold` itself may be given up too.
        """
        before = hold.held
        if arriving is not None:
            hold.arriving = arriving
        if serving is not None:
            hold.serving = serving
        if unread is not None:
            hold.unread = unread
        if buffered is not None:
            hold.buffered = buffered
        hold.moved_at = now
        if hold not in self._holds:
            return
        self.total += hold.held - before
        if self.total > self.bound:
            self._make_room(now, self.bound)

    def accepts(self, hold: ConnectionHold) -> bool:
        """Return whether a whole request may be served: it fits, or it is small."""
        return self.total <= self.bound or hold.held <= WHOLE_COPIES * ALWAYS_HELD_BYTES

    def sweep(self, now: float) -> None:
        """Measure buffers that fill by themselves, and end connections that take too long to.

        To be called every SWEEP_PERIOD_S.
        """
        self._measure(now)
        if self.total > self.bound:
            self._make_room(now, self.bound)
        for hold in list(self._leaving):
            hold.buffered = hold.measure()
            if not hold.answering and now - hold.given_up_at >= LEAVING_LIMIT_S:
                hold.reset()

    def _staying(self) -> int:
        """Return how many connections are open and not about to end."""
        return len(self._holds) + sum(each.answering for each in self._leaving)

    def _has_room_to_leave(self) -> bool:
        ending = sum(not each.answering for each in self._leaving)
        return ending <= self.max_connections * LEAVING_SHARE

    def _measure(self, now: float) -> None:
        """Measure the connections whose buffers hold something, or may."""
        if now - self._measured_at < MEASURE_PERIOD_S:
            return
        self._measured_at = now
        for hold in self._holds:
            if not hold.watched and not hold.buffered.total:
                continue
            before, hold.buffered = hold.buffered, hold.measure()
            self.total += hold.buffered.total - before.total
            if hold.buffered.unsent < before.unsent:
                hold.moved_at = now

    def _make_room(self, now: float, max_bytes: int) -> None:
        self._measure(now)
        while self.total > max_bytes:
            victims = [each for each in self._holds if each.yieldable > ALWAYS_HELD_BYTES]
            if not victims:
                break
            self._give_up(max(victims, key=lambda each: _precedence(each, now)), now, Cause.BYTES)
        while self.total > max_bytes:
            victims = [each for each in self._holds if each.yieldable and not each.answering]
            if not victims:
                return
            self._give_up(min(victims, key=lambda each: each.moved_at), now, Cause.BYTES)

    def _give_up(self, hold: ConnectionHold, now: float, cause: Cause) -> None:
        self._remove(hold)
        self._leaving.add(hold)
        self.given_up[cause] += 1
        hold.given_up = True
        hold.given_up_at = now
        hold.give_up(cause)

    def _remove(self, hold: ConnectionHold) -> None:
        if hold in self._holds:
            self._holds.remove(hold)
            self.total -= hold.held


def _precedence(hold: ConnectionHold, now: float) -> tuple[bool, bool, int]:
    """Return a key that is greatest for the connection to give up first."""
    return hold.behind, now - hold.moved_at >= STILL_S, hold.yieldable
