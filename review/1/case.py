"""A full replica's refusal arrives twice; the entry sends an unsafe order again while it runs."""

import asyncio
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib'))
from harness import APP, LLM, LOOK, ORDER, CannotRun, Engine, Replica, main

WINDOW_S = 5.0  # `garble` with how 'extra late' in the site file: for_s
WINDOWS = 3  # it may come more than once
SHARE_OF_ANSWERS = 0.03  # its x; one replica of three is below its share, 0.6
WORK_S = 0.12  # the longest `parts-order` takes 0.3 s


class Application(Replica):
    """An application whose orders take WORK_S, and status look-ups 5 ms.

    If it `doubles`, it sends a second copy of a refusal late: where the next answer on that
    connection is expected. It does so for SHARE_OF_ANSWERS of its answers at most.
    """

    doubles = False

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.refused = {}
        self.window_answers = self.copies = 0

    def refuse(self, ident, writer):
        """Refuse, and remember on which connection."""
        super().refuse(ident, writer)
        self.refused[writer] = ident

    async def handle(self, first, headers, body, writer):
        """Answer one request."""
        self.window_answers += 1
        await super().handle(first, headers, body, writer)

    async def run(self, ident, headers, body, writer):
        """Run a request, after the second copy of an earlier refusal if one is due."""
        earlier = self.refused.pop(writer, None)
        allowed = self.copies + 1 <= SHARE_OF_ANSWERS * self.window_answers
        if self.doubles and earlier and allowed:
            self.copies += 1
            self.record(f'replica {self.ident} sends its refusal of {earlier} a second time')
            writer.write(self.refusal(earlier))
        await asyncio.sleep(WORK_S if body else 0.005)
        self.answer(ident, b'done ' + ident.encode(), writer)


async def play(site):
    """Return whether an order ran twice, or ran and was refused."""
    apps = [Application(site, f'i-a{n}', APP, 'centro-a', slots=2, queue=1) for n in range(3)]
    llm = Engine(site, 'i-e0', LLM, 'centro-a')
    await site.start(
        {'front-centro-a-1': 'centro-a', 'front-centro-a-2': 'centro-a'},
        {'storage-centro-a-1': 'centro-a', 'storage-centro-b-1': 'centro-b'},
        [*apps, llm],
    )
    entry, busy_entry = site.entries.values()
    answers = []

    async def order(entry):
        answer = await site.request(entry, 'POST', ORDER + 'x', body=b'1 x jet', deadline_ms=2000)
        answers.append(answer)

    async def looks(count):
        conn = site.connect(busy_entry)
        for _ in range(count):
            await conn.request('GET', LOOK + 'x', deadline_ms=1200)
        conn.close()

    for _ in range(WINDOWS):
        apps[0].doubles = site.trouble
        for app in apps:
            app.window_answers = app.copies = 0
        end = time.monotonic() + WINDOW_S
        while time.monotonic() < end - 1.2:
            await asyncio.gather(*(looks(28) for _ in range(4)))
            filling = []
            for _ in range(9):  # takes all places of the three replicas
                filling.append(asyncio.ensure_future(order(busy_entry)))
                await asyncio.sleep(0.003)
            await asyncio.sleep(0.015)
            await order(entry)  # is refused at first, and runs when a place is free
            await asyncio.gather(*filling)
        apps[0].doubles = False
        site.record(f'copies of refusals: {apps[0].copies} of {apps[0].window_answers} answers')
        await asyncio.sleep(1.0)

    runs = Counter(ident for app in apps for ident in app.runs)
    twice = [answer for answer in answers if runs[answer.ident] > 1]
    for answer in twice:
        site.record(f'TWICE: order {answer.ident} ran {runs[answer.ident]} times; {answer}')
    refused = [a for a in answers if a.status in (408, 421, 429, 503) and runs[a.ident]]
    for answer in refused:
        site.record(f'REFUSED: order {answer.ident} was answered {answer.status} and has run')
    if not sum(answer.ok for answer in answers):
        raise CannotRun('no order was served')
    return bool(twice or refused)


main(__file__, play)
