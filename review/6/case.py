"""Both storage machines of a region are replaced, as planned, one after the other."""

import asyncio
import sys
from collections import Counter
from pathlib import Path

from lib2.deployment import BROKEN, COULD_NOT_RUN, HELD, RETENTION_S, Deployment, Machine, run_case

PROGRAMS = 12
CATCH_UP_S = 4.4
REPLACED = ('centro-b', 'centro-a')
STABLE_WINDOW_S = 4.0
RESTART_S = 0.5
TRIES = 6
TRY_AGAIN_S = 0.5
MACHINES = [
    ('storage-centro-a-1', 'centro-a', 'archive'),
    ('storage-centro-b-1', 'centro-b', 'archive'),
    ('storage-norte-a-1', 'norte-a', 'archive'),
    ('front-centro-a-1', 'centro-a', 'entry'),
    ('front-centro-b-1', 'centro-b', 'entry'),
]


async def replace(site: Deployment) -> None:
    """Add the new machines, then remove the old ones, with more time between than is named."""
    await asyncio.gather(*(site.add(f'storage-{zone}-2', zone, 'archive') for zone in REPLACED))
    site.note('the new machines have started')
    for zone in REPLACED:
        await asyncio.sleep(CATCH_UP_S + 1.0)
        removed = site.machines[f'storage-{zone}-1']
        await removed.terminate()
        removed.lose_disk()
        site.note(f'{removed.name} has ended after SIGTERM, and is removed')


async def stop_and_start(site: Deployment, machine: Machine) -> None:
    """Stop an entry as planned, and start it again."""
    await machine.terminate()
    site.note(f'{machine.name} has ended after SIGTERM')
    await asyncio.sleep(RESTART_S)
    await site.restart(machine)
    await site.wait_until_up(machine)


async def case(site: Deployment, trouble: bool) -> int:
    """Return whether turns that were answered whole still reach a replica."""
    await site.start(MACHINES)
    fronts = [machine for machine in site.machines.values() if machine.role == 'entry']
    kept = {}
    for number in range(PROGRAMS):
        answer = await site.turn(fronts[0], f'p{number}', b'The flame is yellow.')
        if not answer.succeeded:
            return COULD_NOT_RUN
        kept[f'p{number}'] = (answer.ident, site.now())
    if trouble:
        await replace(site)
    await stop_and_start(site, fronts[0])
    await asyncio.sleep(STABLE_WINDOW_S + 1.0)
    site.note('calm: every machine has been in touch for the stable window')
    statuses, firsts = Counter(), []
    for _ in range(TRIES):
        for front in fronts:
            answers = await asyncio.gather(
                *(site.turn(front, name, b'And now?', turn) for name, (turn, _) in kept.items())
            )
            statuses.update((name, answer.status) for name, answer in zip(kept, answers))
            if any(site.now() - answered_at > RETENTION_S for _, answered_at in kept.values()):
                return COULD_NOT_RUN
            firsts.append(await site.turn(front, f'new{len(firsts)}', b'Hello.'))
        await asyncio.sleep(TRY_AGAIN_S)
    lost = sorted(set(kept) - {program for program, status in statuses if status == 200})
    denied = sorted({program for program, status in statuses if status in (404, 410)})
    served = sum(answer.succeeded for answer in firsts)
    site.note(f'first turns: {served} of {len(firsts)} served')
    site.note(f'{len(lost)} of {PROGRAMS} kept turns reached no replica in {2 * TRIES} tries')
    site.note(f'{len(denied)} of them got 404 or 410')
    return BROKEN if denied or (lost and 10 * served >= 9 * len(firsts)) else HELD


if __name__ == '__main__':
    sys.exit(run_case(case, Path(__file__).with_name('record.txt')))
