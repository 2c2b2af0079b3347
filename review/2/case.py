"""A conversation that goes on for longer than the retention loses its beginning."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib'))
from harness import APP, LLM, CannotRun, Engine, Replica, main

RETENTION_S = 60.0  # retentionS of the route
PAUSE_S = 33.0  # between the turns of a conversation
PROGRAMS = 4


async def play(site):
    """Return whether a turn was answered 404 whose previous turn is still to be kept."""
    llm = Engine(site, 'i-e0', LLM, 'centro-a', slots=12)
    app = Replica(site, 'i-a0', APP, 'centro-a')
    await site.start(
        {'front-centro-a-1': 'centro-a', 'front-centro-b-1': 'centro-b'},
        {'storage-centro-a-1': 'centro-a', 'storage-centro-b-1': 'centro-b'},
        [llm, app],
    )
    first, second = site.entries.values()
    lost = []

    async def program(number):
        """Make three turns, the last one through another zone if there is trouble."""
        turns = []
        for entry in (first, first, second if site.trouble else first):
            previous = turns[-1] if turns else None
            answer = await site.turn(
                entry,
                f'p{number}',
                2320,
                previous=previous.ident if previous else None,
                body=f'turn {len(turns) + 1}. '.encode(),
            )
            age_s = time.monotonic() - previous.ended_at if previous else 0.0
            if answer.status in (404, 410) and age_s < RETENTION_S:
                lost.append(answer)
                site.record(
                    f'LOST: {answer.ident} gets {answer.status}, though its previous turn '
                    f'{previous.ident} was answered whole {age_s:.1f} s ago'
                )
            elif not answer.ok:
                raise CannotRun(f'a turn was not served: {answer}')
            else:
                site.record(f'the replica got {llm.bodies[answer.ident]!r}')
            turns.append(answer)
            if len(turns) < 3:
                await asyncio.sleep(PAUSE_S)

    await asyncio.gather(*(program(number) for number in range(PROGRAMS)))
    site.record(f'{len(lost)} of {PROGRAMS} conversations were lost')
    return bool(lost)


main(__file__, play)
