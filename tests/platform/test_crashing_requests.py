"""Requests that crash the replicas that run them, beside sound ones."""

import asyncio

from toucanlead_platform_standins.caller import Caller

from .load import play_load
from .site import ENTRY_1, ENTRY_2, ENTRY_3, engine_replicas, with_platform_site
from .test_replica_limits import turns

DEADLY = b'deadly'
MAX_CRASHES = 3  # until the request is known
SETTLE_S = 4.0  # until all entries know it
MAX_RETRIES = 3  # that may still reach replicas after that
VMS = (ENTRY_1, ENTRY_2, ENTRY_3)


def crash_on_deadly(replicas):
    """Have replicas crash when they begin to run a deadly request."""
    for replica in replicas:
        replica.faults.crash_on = DEADLY


async def send_deadly(caller, seconds, period_s=0.4, body=DEADLY):
    """Send the same body again and again, each time in a new program and at another entry."""
    tasks = []
    for number in range(int(seconds / period_s)):
        program = Caller(f'deadly-{number}', pools=caller.pools)
        tasks.append(
            asyncio.ensure_future(program.resumable_turn(VMS[number % len(VMS)], body=body))
        )
        await asyncio.sleep(period_s)
    return await asyncio.gather(*tasks)


def deadly_runs(site):
    """Return the times at which replicas began to run a deadly request."""
    return [run.started_at for run in site.log.runs if DEADLY in run.body]


class TestRequestThatCrashesReplicas:
    @with_platform_site(engines=6)
    async def test_it_reaches_no_replicas_once_it_has_crashed_three(self, site, caller):
        crash_on_deadly(engine_replicas(site))
        sound = asyncio.ensure_future(
            play_load(turns(caller, dict.fromkeys(VMS, 1.0)), per_s=30.0, seconds=16.0)
        )
        await send_deadly(caller, seconds=16.0)
        known_at = site.crashes[MAX_CRASHES - 1] + SETTLE_S
        assert sum(at > known_at for at in deadly_runs(site)) <= MAX_RETRIES
        replies = await sound
        assert sum(reply.succeeded for reply in replies) >= 0.9 * len(replies)
