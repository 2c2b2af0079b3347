"""Priority over whole programs: least attained service, ageing, deadlines."""

import math

from attrs import frozen

PRIORITY_LIMIT = 1000
LATE_LEVELS = 6.0  # a program past its deadline goes after those that can meet theirs
URGENT_SHARE = 0.25  # of a deadline left, below which a program goes first


@frozen
class ProgramService:
    """What priority depends on: tokens received by the root's tree, and times."""

    attained_tokens: int
    opened_at: float
    deadline_s: float
    waiting_s: float = 0.0
    critical: bool = False


def engine_priority(program: ProgramService, now: float, aging_s: float) -> int:
    """Return the engine priority; lower is served first.

    A program's shape is unknown, so the one that has received least service
    goes first (by powers of two, so that order does not thrash), waiting
    lowers the number, and a near deadline goes before all. A program that is
    past its deadline gives way: under overload, serving it first would make
    others late too.
    """
    left_s = program.opened_at + program.deadline_s - now
    level = math.log2(1 + program.attained_tokens / 64)
    level -= program.waiting_s / aging_s
    if program.critical:
        level -= 1.0
    if left_s < 0:
        level += LATE_LEVELS
    elif left_s < URGENT_SHARE * program.deadline_s:
        level -= 2.0
    return max(0, min(PRIORITY_LIMIT, round(10 * level) + 100))
