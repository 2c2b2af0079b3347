"""One turn whose most output tokens are 0 makes an entry spin: it answers nobody any more."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib'))
from harness import APP, LLM, LOOK, CannotRun, Engine, Replica, main

WATCHED_S = 10.0  # two and a half times the longest timeoutMs of a route


async def play(site):
    """Return whether most look-ups stay without an answer."""
    llm = Engine(site, 'i-e0', LLM, 'centro-a', slots=12)
    app = Replica(site, 'i-a0', APP, 'centro-a')
    await site.start(
        {'front-centro-a-1': 'centro-a', 'front-centro-b-1': 'centro-b'},
        {'storage-centro-a-1': 'centro-a', 'storage-centro-b-1': 'centro-b'},
        [llm, app],
    )
    entry = site.entries['front-centro-a-1']
    if not (await site.turn(entry, 'p1', 2320)).ok:
        raise CannotRun('a usual turn was not served')

    async def processor_s():
        """Return the processor time of the entry's process so far."""
        fields = Path(f'/proc/{entry.process.pid}/stat').read_text().rpartition(')')[2].split()
        return (int(fields[11]) + int(fields[12])) / 100

    limit = 0 if site.trouble else 10
    odd = asyncio.ensure_future(site.turn(entry, 'p2', 2320, limit=limit))
    await asyncio.sleep(0.2)
    began, used = time.monotonic(), await processor_s()
    looks, ready = [], []
    while time.monotonic() < began + WATCHED_S:
        looks.append(
            asyncio.ensure_future(site.request(entry, 'GET', LOOK + 'x', deadline_ms=1200))
        )
        ready.append(await entry.ready())
        await asyncio.sleep(0.5)
    answers = await asyncio.gather(*looks)
    share = (await processor_s() - used) / (time.monotonic() - began)
    site.record(f'the turn with at most {limit} output tokens: {await odd}')
    unanswered = [answer for answer in answers if not answer.complete]
    site.record(
        f'look-ups without an answer 1 s after their deadline: {len(unanswered)} '
        f'of {len(answers)}; readiness answered {sum(ready)} of {len(ready)} times; '
        f'the entry used {100 * share:.0f} in 100 of a core'
    )
    return len(unanswered) > len(answers) / 2


main(__file__, play)
