"""The store is down; the entry that holds a program's grant is killed before the store is back."""

import asyncio
import sys
from pathlib import Path

from lib2.deployment import BROKEN, COULD_NOT_RUN, HELD, Deployment, Machine, run_case

from toucanlead_core.ids import rendezvous

BUDGET = 1200
TURN_LIMIT = 120
CALM_S = 5.0
OUTAGE_S = 4.5
KILLED_AFTER_S = 3.0
RESTART_S = 0.5
TURNS_IN_OUTAGE = 8
MAX_TURNS = 40
REST_S = 20.0
TRY_AGAIN_S = 0.3
WITNESSES = 3
MACHINES = [
    ('storage-centro-a-1', 'centro-a', 'archive'),
    ('storage-centro-b-1', 'centro-b', 'archive'),
    ('storage-norte-a-1', 'norte-a', 'archive'),
    ('front-centro-a-1', 'centro-a', 'entry'),
    ('front-centro-a-2', 'centro-a', 'entry'),
    ('front-centro-a-3', 'centro-a', 'entry'),
    ('front-centro-b-1', 'centro-b', 'entry'),
    ('front-centro-b-2', 'centro-b', 'entry'),
]


def program_between(first: Machine, second: Machine, fronts: list[Machine]) -> str:
    """Return a program that `first` grants tokens to in an outage, and `second` does not hear of.

    One program in ten is like that for two entries of five.
    """
    addresses = sorted(front.address('peers') for front in fronts)
    for number in range(1000):
        order = rendezvous(f'p{number}', addresses)
        if order[0] == first.address('peers') and second.address('peers') in order[WITNESSES:]:
            return f'p{number}'
    raise OSError('no such program')


async def run_turns(
    site: Deployment, front: Machine, program: str, previous: str, most: int, until: float
) -> tuple[int, str, int]:
    """Send turns, each again after a 503; return their tokens, the last turn and the last status.

    Ends after `most` turns, at `until`, or with any other refusal.
    """
    tokens, status, served = 0, 0, 0
    while served < most and site.now() < until:
        answer = await site.turn(front, program, b'go on', previous, BUDGET, TURN_LIMIT)
        tokens += answer.tokens
        status = answer.status
        if answer.succeeded:
            previous = answer.ident
            served += 1
        elif status == 503:
            await asyncio.sleep(TRY_AGAIN_S)
        else:
            break
    return tokens, previous, status


async def case(site: Deployment, trouble: bool) -> int:
    """Return whether a program got more tokens than its budget and one turn."""
    await site.start(MACHINES)
    fronts = [machine for machine in site.machines.values() if machine.role == 'entry']
    first, second = fronts[0], fronts[-1]
    program = program_between(first, second, fronts)
    site.note(f'program {program} has a budget of {BUDGET} tokens, {TURN_LIMIT} a turn at most')
    await asyncio.sleep(CALM_S)
    began = site.now()
    if trouble:
        site.store.busy = True
        site.note('the store answers 503 from now on')
    before, previous, _ = await run_turns(
        site, first, program, '', TURNS_IN_OUTAGE, began + KILLED_AFTER_S
    )
    site.note(f'{before} tokens were handed out')
    if not before:
        return COULD_NOT_RUN
    if trouble:
        await asyncio.sleep(max(0.0, began + KILLED_AFTER_S - site.now()))
        await first.kill()
        site.note(f'{first.name} is killed')
        await asyncio.sleep(RESTART_S)
        await site.restart(first)
        await asyncio.sleep(max(0.0, began + OUTAGE_S - site.now()))
        site.store.busy = False
        site.note('the store is back')
        await asyncio.sleep(CALM_S)
    after, _, status = await run_turns(
        site, second, program, previous, MAX_TURNS, site.now() + REST_S
    )
    site.note(f'{after} more tokens were handed out, and then a turn got {status}')
    site.note(f'{before + after} tokens in all, allowed are {BUDGET} + {TURN_LIMIT}')
    return BROKEN if before + after > BUDGET + TURN_LIMIT else HELD


if __name__ == '__main__':
    sys.exit(run_case(case, Path(__file__).with_name('record.txt')))
