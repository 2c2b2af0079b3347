"""Priority of whole programs by least attained service, aging and deadline."""

import math

from attrs import frozen

MAX_PRIORITY = 1000
OVERDUE_PENALTY = 6.0  # puts overdue programs after those that can still meet their deadline
URGENT_SHARE = 0.25  # a program with less than this share of its deadline left is urgent


@frozen
class PriorityInputs:
    """The inputs of a program's priority.

    `attained_tokens` is the service received so far by the root program and all its
    sub-agents; `is_sub_agent` raises the urgency.
    """

    attained_tokens: int
    opened_at: float
    deadline_s: float
    waiting_s: float = 0.0
    is_sub_agent: bool = False


def engine_priority(program: PriorityInputs, now: float, aging_s: float) -> int:
    """Return the engine priority, from 0 to 1000; lower is served first.

    The total length of a program is unknown, so the program that has received
    the least service goes first. Service counts on a log2 scale, so that small
    differences do not reorder programs. Waiting and a near deadline raise the
    urgency. A program past its deadline is put back: under overload, serving it
    first would make other programs late too.
    """
    left_s = program.opened_at + program.deadline_s - now
    level = math.log2(1 + program.attained_tokens / 64)
    level -= program.waiting_s / aging_s
    if program.is_sub_agent:
        level -= 1.0
    if left_s < 0:
        level += OVERDUE_PENALTY
    elif left_s < URGENT_SHARE * program.deadline_s:
        level -= 2.0
    return max(0, min(MAX_PRIORITY, round(10 * level) + 100))
