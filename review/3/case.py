"""A program that has spent its budget in one region gets a new one in the other."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib'))
from harness import APP, LLM, CannotRun, Engine, Replica, main

OUTAGE_S = 4.5  # `platform_down` with how 'busy' in the site file: for_s
BUDGET = 2320  # as in the example of a turn on the protocol page, with at most 290 a turn
TURN = 290
PROGRAM = '3fa81c'


class Model(Engine):
    """A model replica whose turns generate all the tokens that they may."""

    events = TURN // 10
    gap_s = 0.005


async def play(site):
    """Return whether the program was handed more than its budget and one turn."""
    llm = Model(site, 'i-e0', LLM, 'centro-a', slots=12)
    app = Replica(site, 'i-a0', APP, 'centro-a')
    await site.start(
        {
            'front-centro-a-1': 'centro-a',
            'front-centro-b-1': 'centro-b',
            'front-norte-a-1': 'norte-a',
        },
        {
            'storage-centro-a-1': 'centro-a',
            'storage-centro-b-1': 'centro-b',
            'storage-norte-a-1': 'norte-a',
        },
        [llm, app],
    )
    norte = site.entries['front-norte-a-1']
    centro = site.entries['front-centro-a-1']
    handed = 0
    served = 0

    async def turn(entry):
        nonlocal handed, served
        answer = await site.turn(entry, PROGRAM, BUDGET)
        handed += answer.tokens
        served += answer.ok
        site.record(f'program {PROGRAM} has been handed {handed} of {BUDGET} tokens')
        return answer.status

    async def other_program(number):
        return (await site.turn(centro, f'aa{number}', BUDGET)).ok

    site.record(f'program {PROGRAM} loops without end in norte, until it is stopped')
    while await turn(norte) == 200:
        pass
    await turn(norte)
    await turn(norte)
    if served < 6:
        raise CannotRun('the budget was not served before the disruption')
    if not await other_program(1):
        raise CannotRun('another program was not served')

    norte.send(signal.SIGTERM)  # planned; norte has no other front machine
    await asyncio.sleep(2.0)  # two questions for its readiness without a 200
    end = time.monotonic() + OUTAGE_S
    if site.trouble:
        site.record('the platform store answers 503 to everybody')
        site.store.set_state('busy')
    site.record(f'program {PROGRAM} returns, now through centro')
    while time.monotonic() < end - 0.5:
        await turn(centro)
        await asyncio.sleep(0.3)
    await asyncio.sleep(max(0.0, end - time.monotonic()))
    site.store.set_state('')
    site.record('the platform store serves')
    await asyncio.sleep(3.0)
    for _ in range(3):
        await turn(centro)

    site.record(f'handed to the consumers of {PROGRAM}: {handed}; allowed: {BUDGET} + {TURN}')
    return handed > BUDGET + TURN


main(__file__, play)
