"""A tenant that sends more than its allotment, while all entries are killed at once."""

import asyncio
import signal
import time
from pathlib import Path

from attrs import frozen
from lib3.fleet import HOST, Fleet, Machine, new_id, route
from lib3.http import ask
from lib3.script import BROKEN, HELD, NOT_RUN, TROUBLE, run

WINDOW_S, OVERAGE, SLACK = 5.0, 0.1, 20.0
RATE_PER_S, BURST = 20.0, 20.0
ALLOWED = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERAGE) + SLACK
USUAL_PER_S = 12.0  # of the tenant; its allotment is 1.6 times that
HOT_FACTOR = 7.5
CALM_S, HOT_S, KILL_AFTER_S = 3.0, 6.5, 2.2
KEY = 'kiln-42'


@frozen
class Sent:
    """A request of the tenant, by its id, and when it was sent."""

    ident: str
    at: float


async def look_up(fleet: Fleet, machine: Machine, sent: list[Sent]) -> None:
    """Send one request of the tenant."""
    ident = new_id()
    sent.append(Sent(ident, time.monotonic()))
    headers = {
        'Host': HOST,
        'Authorization': f'Token {KEY}',
        'Toucanlead-Request-Id': ident,
        'Toucanlead-Deadline-Ms': '1200',
    }
    answer = await ask(machine.front, 'GET', '/lookup/2f', headers, timeout_s=1.5)
    fleet.note(f'request {ident} to {machine.name}: {answer.status or "no answer"}')


async def send(fleet: Fleet, per_s: float, seconds: float, sent: list[Sent]) -> None:
    """Send requests of the tenant to all entries in turn."""
    asks = []
    for number in range(int(per_s * seconds)):
        machine = fleet.fronts[number % len(fleet.fronts)]
        asks.append(asyncio.ensure_future(look_up(fleet, machine, sent)))
        await asyncio.sleep(1 / per_s)
    await asyncio.gather(*asks)


def most_in_window(fleet: Fleet, sent: list[Sent]) -> tuple[int, float]:
    """Return the most requests that were sent and ran in one window, and when it began."""
    ran_at = {each.request: each.at for each in fleet.runs}
    spans = [(each.at, ran_at[each.ident]) for each in sent if each.ident in ran_at]
    counts = [
        (sum(begin <= at and ran <= begin + WINDOW_S for at, ran in spans), begin)
        for begin, _ in spans
    ]
    return max(counts, default=(0, 0.0))


async def play(fleet: Fleet) -> int:
    """Return whether more requests of the tenant ran in a window than its allotment allows."""
    tenant = {
        'name': 'pottery',
        'apiKeys': [KEY],
        'priority': 5,
        'ratePerS': RATE_PER_S,
        'burst': BURST,
    }
    await fleet.start([route('lookup', '/lookup/', 'safe', 'app', timeoutMs=1200)], [tenant])
    await asyncio.sleep(6.0)  # all machines are in touch, and the keepers know each other
    sent: list[Sent] = []
    await send(fleet, USUAL_PER_S, CALM_S, sent)
    hot = asyncio.ensure_future(send(fleet, HOT_FACTOR * USUAL_PER_S, HOT_S, sent))
    await asyncio.sleep(KILL_AFTER_S)
    if TROUBLE:
        fleet.note('all entries are killed')
        for machine in fleet.fronts:
            machine.send(signal.SIGKILL)
    await hot
    count, began_at = most_in_window(fleet, sent)
    fleet.note(
        f'{count} requests of the tenant were sent and ran in {WINDOW_S:g} s from '
        f'{began_at - fleet.began_at:.3f}; {ALLOWED:g} are allowed'
    )
    if count < RATE_PER_S * WINDOW_S / 2:
        return NOT_RUN
    return BROKEN if count > ALLOWED else HELD


if __name__ == '__main__':
    bounds = {'quotaWindowS': WINDOW_S, 'quotaOverage': OVERAGE, 'quotaSlack': SLACK}
    run(play, Path(__file__).parent, entries=3, bounds=bounds)
