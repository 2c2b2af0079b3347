"""A planned stop cuts off requests that came in on a connection whose stream began before it."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib'))
from harness import APP, CHAT, LLM, ORDER, CannotRun, Engine, Replica, main, turn_headers

GRACE_S = 8.0
STREAM_S = 3.85  # the routes' timeoutMs and the consumers' deadlines are 4 s
ORDER_S = 0.3  # the longest `parts-order` of the site file


class SlowModel(Engine):
    """A model replica with slow, steady streams."""

    events = 29
    gap_s = (STREAM_S - 0.05) / 29


class Application(Replica):
    """An application whose orders take ORDER_S."""

    async def run(self, ident, headers, body, writer):
        """Run an order."""
        await asyncio.sleep(ORDER_S)
        self.answer(ident, b'done ' + ident.encode(), writer)


async def play(site):
    """Return whether requests were cut that may not be."""
    llm = SlowModel(site, 'i-e0', LLM, 'centro-a', slots=60)
    app = Application(site, 'i-a0', APP, 'centro-a', slots=30)
    await site.start(
        {'front-centro-a-1': 'centro-a', 'front-centro-b-1': 'centro-b'},
        {'storage-centro-a-1': 'centro-a', 'storage-centro-b-1': 'centro-b'},
        [llm, app],
    )
    entry = site.entries['front-centro-a-1']
    term_at = None
    cut = []

    async def send(conn, method, path, headers, body):
        """Send on a kept connection only, and note an answer that is cut."""
        if not conn.open:
            return None
        answer = await conn.request(method, path, headers, body)
        after = answer.sent_at - term_at
        ran = answer.ident in llm.runs + app.runs
        in_time = answer.seconds < 3.9
        if not answer.complete and ran and in_time and 3.0 < after < GRACE_S + 1.0:
            cut.append(answer)
            site.record(f'CUT: {path} {answer.ident}, sent {after:.2f} s after SIGTERM')
        return answer

    async def program(number):
        """Make a turn, then another on the same connection as soon as it has ended."""
        await asyncio.sleep(0.012 * number)
        conn = site.connect(entry)
        headers = turn_headers(f'p{number}', 2320)
        first = await conn.request('POST', CHAT + 'x', headers, b'hello')
        await asyncio.sleep(0.02)
        await send(conn, 'POST', CHAT + 'x', headers, b'hello again')
        conn.close()
        return first.ok

    async def orderer(number):
        """Make a turn, then an order on the same connection about 7.3 s after the SIGTERM."""
        conn = site.connect(entry)
        headers = turn_headers(f'o{number}', 2320)
        first = await conn.request('POST', CHAT + 'x', headers, b'hello')
        await asyncio.sleep(max(0.0, term_at + 7.3 + 0.008 * number - time.monotonic()))
        await send(conn, 'POST', ORDER + 'x', [], b'1 x jet')
        conn.close()
        return first.ok

    tasks = [asyncio.ensure_future(program(n)) for n in range(16)]
    tasks += [asyncio.ensure_future(orderer(n)) for n in range(16)]
    await asyncio.sleep(0.012 * 16 + 0.05)
    term_at = time.monotonic()
    if site.trouble:
        entry.send(signal.SIGTERM)
    served = await asyncio.gather(*tasks)
    if sum(served) < len(served) / 2:
        raise CannotRun('most of the first turns were not served')
    site.record(f'cut without an answer although passed on to a sound replica: {len(cut)}')
    return bool(cut)


main(__file__, play)
