"""Turns of agent programs as callers send them, and the platform's limit on memory."""

import asyncio
import signal

from .fleet import HOST, Fleet, Machine, new_id, route
from .http import Answer, ask

KEPT = route(
    'kept', '/kept/', 'streaming', 'llm', keepsContext=True, retentionS=60, targetGapMs=200
)
TURN_TOKENS = 70  # of one turn at most: 7 events of 10 tokens
SAMPLE_S = 0.02
FINISH_MS = 40_000  # of a program; the scripts end before


async def send_turn(
    machine: Machine,
    program: str,
    body: bytes,
    previous: str = '',
    budget: int = 100_000,
) -> tuple[str, Answer]:
    """Send a turn; return its id and the answer."""
    ident = new_id()
    headers = {
        'Host': HOST,
        'Toucanlead-Request-Id': ident,
        'Toucanlead-Program-Id': program,
        'Toucanlead-Session-Id': program,
        'Toucanlead-Finish-Ms': str(FINISH_MS),
        'Toucanlead-Deadline-Ms': '4000',
        'Toucanlead-Token-Budget': str(budget),
        'Toucanlead-Token-Usage': f'100,{TURN_TOKENS}',
    }
    if previous:
        headers['Toucanlead-Previous-Turn'] = previous
    return ident, await ask(machine.front, 'POST', '/kept/4b', headers, body, timeout_s=6.0)


async def long_chain(
    fleet: Fleet, machine: Machine, size: int, turns: int
) -> tuple[str, str] | None:
    """Send turns with long inputs, one after another; return the program and the last turn.

    A turn that is refused as not run comes again, as callers do. Returns None if one fails.
    """
    program, previous = f'p{new_id()[:8]}', ''
    for _ in range(turns):
        for _ in range(12):
            ident, answer = await send_turn(machine, program, b'a' * size, previous)
            fleet.note(f'turn {ident}, {size} bytes, to {machine.name}: {describe(answer)}')
            if answer.status == 200 and answer.complete:
                break
            await asyncio.sleep(0.2)
        else:
            return None
        previous = ident
    return program, previous


def describe(answer: Answer) -> str:
    """Return a text for the record."""
    return f'{answer.status or "no answer"}{"" if answer.complete else " (not whole)"}'


async def limit_memory(fleet: Fleet) -> None:
    """End processes that use more memory than their machine has, as the platform does."""
    while True:
        for machine in fleet.machines:
            size = machine.resident_mb()
            machine.peak_mb = max(machine.peak_mb, size)
            if size > machine.memory_mb:
                fleet.note(f'{machine.name} uses {size:.0f} of {machine.memory_mb} MB: ended')
                machine.send(signal.SIGKILL)
        await asyncio.sleep(SAMPLE_S)


def most_memory(fleet: Fleet) -> str:
    """Return the most memory that each process had."""
    return ', '.join(f'{m.name} {m.peak_mb:.0f} of {m.memory_mb} MB' for m in fleet.machines)


def broken_ends(fleet: Fleet) -> bool:
    """Return whether the rule Fault is broken: two machines, a tenth, ended three times each."""
    often = [machine.name for machine in fleet.machines if len(machine.ends) >= 3]
    ends = ', '.join(f'{m.name} {len(m.ends)}' for m in fleet.machines if m.ends)
    fleet.note(f'processes that ended: {ends or "none"}')
    return len(often) >= max(2, len(fleet.machines) / 10)
