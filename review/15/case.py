"""A turn that names no turn, after the store was away for some seconds."""

import asyncio
from pathlib import Path

from lib3.fleet import Fleet
from lib3.script import BROKEN, HELD, NOT_RUN, TROUBLE, run
from lib3.turns import KEPT, describe, send_turn

AWAY_S = 3.0
TRIES = 6
RETRY_S = 0.4
INPUT = b'the next question'


async def play(fleet: Fleet) -> int:
    """Return whether a replica ran a turn that names no turn."""
    await fleet.start([KEPT])
    machine = fleet.fronts[0]
    program = 'garage7'
    await asyncio.sleep(1.0)
    fleet.store.down = TROUBLE
    fleet.note(f'the store is {"away" if TROUBLE else "there"}')
    await asyncio.sleep(AWAY_S / 2)
    for _ in range(TRIES):
        ident, answer = await send_turn(machine, program, b'hello', budget=2000)
        fleet.note(f'first turn {ident} of {program}: {describe(answer)}')
        if answer.status == 200:
            break
        await asyncio.sleep(RETRY_S)
    else:
        return NOT_RUN
    await asyncio.sleep(AWAY_S / 2)
    fleet.store.down = False
    fleet.note('the store is there')
    await asyncio.sleep(5.0)
    named = f'debt-{program}'
    ident, answer = await send_turn(machine, program, INPUT, named, budget=2000)
    fleet.note(f'turn {ident} that names {named}, which is no turn: {describe(answer)}')
    ran = [each for each in fleet.runs if each.request == ident]
    for each in ran:
        fleet.note(f'replica {each.replica} ran {ident} with the body {each.start!r}')
    return BROKEN if ran else HELD


if __name__ == '__main__':
    run(play, Path(__file__).parent)
