"""One unreadable entry among the replicas' entries stops all entries from following changes."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib'))
from harness import APP, LLM, ORDER, CannotRun, Engine, Replica, main

APPLY_S = 2.5  # configurationApplyMs
INVOICES = 'facturas-app'
UNREADABLE = {
    'service': APP,
    'address': '10.0.0.1:' + '9' * 5000,
    'zone': 'centro-a',
    'version': 'v1',
    'slots': 6,
    'state': 'ready',
    'coldRemainingMs': 0,
    'sequence': 1,
}


async def play(site):
    """Return whether orders ran where only an older configuration lets them."""
    llm = Engine(site, 'i-e0', LLM, 'centro-a', slots=12)
    old = Replica(site, 'i-a0', APP, 'centro-a')
    new = Replica(site, 'i-b0', INVOICES, 'centro-a')
    await site.start(
        {'front-centro-a-1': 'centro-a', 'front-centro-b-1': 'centro-b'},
        {'storage-centro-a-1': 'centro-a', 'storage-centro-b-1': 'centro-b'},
        [llm, old, new],
    )

    async def order(entry):
        return await site.request(entry, 'POST', ORDER + 'x', body=b'1 x jet', deadline_ms=2000)

    for entry in site.entries.values():
        if not (await order(entry)).ok:
            raise CannotRun('an order was not served before the disruption')
    if site.trouble:
        site.store.put('servers/i-from-another-writer', UNREADABLE)
        site.record('another writer puts servers/i-from-another-writer, which cannot be read')
    await asyncio.sleep(
        8.0
    )  # a process that watches the store itself looks for a publisher by then
    site.configure(8, order={'service': INVOICES})
    site.record(f'the store acknowledges version 8: orders go to {INVOICES}')
    await asyncio.sleep(APPLY_S + 1.0)
    stale = []
    for entry in site.entries.values():
        for _ in range(5):
            answer = await order(entry)
            if answer.ident in old.runs:
                stale.append(answer)
                site.record(f'CONFIG: {answer.ident} was run by {APP} at {entry.name}')
    await asyncio.sleep(5.0)
    answer = await order(entry)
    if answer.ident in old.runs:
        site.record(f'{entry.name} still sends orders to {APP} 9 s after the acknowledgement')
    site.record(f'{len(stale)} of 10 orders were run by the service of the older version')
    return bool(stale)


main(__file__, play)
