"""Open-loop load on a simulated site, and a check of the limits that replicas name."""

import asyncio
import itertools
import random

from toucanlead_platform_standins.caller import Caller

LIMIT_WINDOW_S = 4.0
LIMIT_SETTLE_S = 4.0  # from the first answer that names a limit until it must be kept
LIMIT_FACTOR, LIMIT_SLACK = 1.5, 5  # what the platform's pages allow beyond a limit

PROGRAMS = itertools.count()  # numbers for the names of programs


def turns(caller, shares):
    """Return the calls of a load of first turns, with the share of each entry."""

    def call(vm):
        program = Caller(f'load-{next(PROGRAMS)}', pools=caller.pools)
        return program.resumable_turn(vm)

    return {lambda vm=vm: call(vm): share for vm, share in shares.items()}


async def play_load(calls, per_s, seconds, seed=1):
    """Make random calls at a mean rate, whatever they take, and return their replies.

    `calls` maps each function that makes a call to its share of the load.
    """
    rng = random.Random(seed)
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    tasks = []
    while loop.time() < end:
        await asyncio.sleep(rng.expovariate(per_s))
        (call,) = rng.choices(list(calls), list(calls.values()))
        tasks.append(asyncio.ensure_future(call()))
    return await asyncio.gather(*tasks)


def name_limits(replicas, limit_per_s):
    """Have replicas name a limit in their answers, or none."""
    for replica in replicas:
        replica.faults.limit_per_s = limit_per_s


def replicas_over_limit(replicas, limit_per_s, named_at, ended_at=float('inf')):
    """Return the replicas that got more requests than their limit allows, with the most."""
    allowed = LIMIT_FACTOR * limit_per_s * LIMIT_WINDOW_S + LIMIT_SLACK
    begin = named_at + LIMIT_SETTLE_S
    most = {r.ident: r.most_arrivals(LIMIT_WINDOW_S, begin, ended_at) for r in replicas}
    return {ident: count for ident, count in most.items() if count > allowed}
