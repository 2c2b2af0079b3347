"""A turn that was answered whole is answered 404 by an entry that does not know its archives."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib'))
from harness import APP, LLM, CannotRun, Engine, Replica, main

PROGRAMS = 32


class QuickModel(Engine):
    """A model replica with short answers."""

    events = 2
    gap_s = 0.01


async def play(site):
    """Return whether a kept turn was answered 404."""
    llm = QuickModel(site, 'i-e0', LLM, 'centro-a', slots=40)
    app = Replica(site, 'i-a0', APP, 'centro-a')
    await site.start(
        {'front-centro-a-1': 'centro-a', 'front-centro-b-1': 'centro-b'},
        {
            'storage-centro-a-1': 'centro-a',
            'storage-centro-b-1': 'centro-b',
            'storage-norte-a-1': 'norte-a',
        },
        [llm, app],
    )
    first, second = site.entries.values()
    for number in range(PROGRAMS):  # programs that have begun
        await site.turn(first if number % 2 else second, f'p{number}', 23200)

    lost, kept = [], 0
    ended = asyncio.Event()

    async def program(number):
        nonlocal kept
        previous = None
        entries = [first, second]
        while not ended.is_set():
            answer = await site.turn(entries[0], f'p{number}', 232000, previous=previous, limit=20)
            entries.reverse()
            if answer.ok:
                kept += 1
                previous = answer.ident
            elif answer.status == 404:
                lost.append(answer)
                site.record(f'LOST: turn {previous} of p{number} was answered whole, now 404')
                return
            await asyncio.sleep(0.05)

    running = [asyncio.ensure_future(program(n)) for n in range(PROGRAMS)]
    await asyncio.sleep(6.0)  # by now each entry follows the storage machine of its zone
    publisher = site.archives['storage-centro-b-1']
    before = len([k for k in site.store.items if '/archives/' in k])
    site.record('two storage machines are added, as planned')
    added = []
    for name, zone in (('storage-centro-a-2', 'centro-a'), ('storage-centro-b-2', 'centro-b')):
        added.append(await site.add_process('archive', name, zone))
    apply = site.store._txn

    def registering(document):
        keys = [row['key'] for row in document.get('put', [])]
        new = [key for key in keys if key.endswith(('centro-a-2', 'centro-b-2'))]
        if new and site.trouble and not site.store.state[publisher.store_address]:
            site.record('the store gives storage-centro-b-1 no response any more')
            site.store.set_state('silent', [publisher.store_address])
        result = apply(document)
        if new:
            site.record(f'registers: {new[0]}')
        return result

    site.store._txn = registering
    await asyncio.gather(*(process.start() for process in added))
    while len([k for k in site.store.items if '/archives/' in k]) == before:
        await asyncio.sleep(0.005)
    site.record('the first of them has registered')
    await asyncio.sleep(4.0)
    site.store.set_state('')
    await asyncio.sleep(2.0)
    ended.set()
    await asyncio.gather(*running)
    if kept < 50:
        raise CannotRun('too few turns were served')
    site.record(f'{kept} turns served, {len(lost)} programs lost a turn')
    return bool(lost)


main(__file__, play)
