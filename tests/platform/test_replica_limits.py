"""Limits that replicas name, kept by all entries together."""

import asyncio
import itertools

from toucanlead_platform_standins.caller import Caller

from .load import name_limits, play_load, replicas_over_limit
from .site import ENTRY_1, ENTRY_2, ENTRY_3, engine_replicas, with_platform_site

SKEWED = {ENTRY_1: 0.6, ENTRY_2: 0.3, ENTRY_3: 0.1}


def turns(caller, shares):
    """Return the calls of a load of first turns, with the share of each entry."""
    numbers = itertools.count()

    def call(vm):
        program = Caller(f'load-{next(numbers)}', pools=caller.pools)
        return program.resumable_turn(vm)

    return {lambda vm=vm: call(vm): share for vm, share in shares.items()}


class TestLimitOfAReplica:
    @with_platform_site(engines=6)
    async def test_entries_together_send_no_more_than_a_replica_accepts(self, site, caller):
        named_at = asyncio.get_running_loop().time()
        limited = engine_replicas(site)[:4]
        name_limits(limited, 4.0)
        replies = await play_load(turns(caller, SKEWED), per_s=60.0, seconds=14.0)
        assert replicas_over_limit(limited, 4.0, named_at) == {}
        assert all(reply.succeeded for reply in replies)
