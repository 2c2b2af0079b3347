"""Demo: replay both customers' recorded programs against real entries on loopback."""

import asyncio
import contextlib
from collections.abc import Callable

from attrs import asdict, frozen

from toucanlead_standins.recorder import Invariant

from .caller import HttpEntryClient, Replayer
from .site import SITE_PLANS, Site, team_key
from .statistics import percentile
from .trace import CUSTOMERS, TraceProgram, load_recorded

TIME_SCALE = 0.01
RELEASE_WAIT_S = 10.0  # engines must release memory within this time after the last program ends
PROGRESS_PERIOD_S = 1.0


@frozen
class DemoRow:
    """One customer's results; latencies leave out recorded pauses."""

    customer: str
    programs: int
    completed: int
    calls: int
    retries: int
    program_latency_p50_s: float
    program_latency_p95_s: float
    turn_latency_p95_s: float
    wasted_cache_ratio: float
    link_bytes: int
    kv_writes_per_call: float
    violations: dict[str, int]
    unexpected: list[str]


async def run_demo(log: Callable[[str], None], limit: int | None = None) -> list[DemoRow]:
    """Run the customers concurrently, each on its own site; `limit` is in root programs."""
    return await asyncio.gather(*(run_customer(c, log, limit) for c in CUSTOMERS))


async def run_customer(
    customer: str, log: Callable[[str], None], limit: int | None = None
) -> DemoRow:
    """Start a customer's site, replay its programs and return the results."""
    site = Site(SITE_PLANS[customer])
    programs = _first_programs(load_recorded(customer), limit)
    log(f'{customer}: starting {len(site.plan.entries)} entries, {site.plan.engines} engines')
    await site.start()
    try:
        writes_before = site.kv.counters.writes
        client = HttpEntryClient(
            site.session, site.caller_addresses, team_key, site.plan.caller_latency_s
        )
        replayer = Replayer(client, site.recorder, TIME_SCALE)
        progress = asyncio.create_task(_log_progress(customer, replayer, len(programs), log))
        try:
            await replayer.play(programs)
        finally:
            progress.cancel()
        writes = site.kv.counters.writes - writes_before
        await _wait_for_release(site)
    finally:
        await site.stop()
    return _row(customer, replayer, site, writes)


def demo_report(rows: list[DemoRow]) -> dict:
    """Return the report that is written to build/demo.json."""
    violations = {i.value: sum(r.violations[i.value] for r in rows) for i in Invariant}
    return {
        'programs': sum(r.programs for r in rows),
        'completed': sum(r.completed for r in rows),
        'violations': violations,
        'customers': [asdict(row) for row in rows],
    }


def _first_programs(programs: list[TraceProgram], limit: int | None) -> list[TraceProgram]:
    if limit is None:
        return programs
    roots = [p.name for p in programs if p.parent is None][:limit]
    return [p for p in programs if (p.parent or p.name) in roots]


async def _log_progress(
    customer: str, replayer: Replayer, total: int, log: Callable[[str], None]
) -> None:
    while True:
        await asyncio.sleep(PROGRESS_PERIOD_S)
        report = replayer.report
        log(f'{customer}: {report.completed} of {total} programs, {report.calls} calls')


async def _wait_for_release(site: Site) -> None:
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(RELEASE_WAIT_S):
            while site.held_program_names():
                await asyncio.sleep(0.1)
    site.recorder.check_held_caches(site.held_program_names())


def _row(customer: str, replayer: Replayer, site: Site, writes: int) -> DemoRow:
    report = replayer.report
    return DemoRow(
        customer=customer,
        programs=report.programs,
        completed=report.completed,
        calls=report.calls,
        retries=report.retries,
        program_latency_p50_s=round(percentile(report.latencies_s, 50), 4),
        program_latency_p95_s=round(percentile(report.latencies_s, 95), 4),
        turn_latency_p95_s=round(percentile(report.turn_latencies_s, 95), 4),
        wasted_cache_ratio=round(site.recorder.wasted_cache_ratio, 4),
        link_bytes=site.link.carried_bytes,
        kv_writes_per_call=round(writes / max(1, report.calls), 3),
        violations=site.recorder.counts(),
        unexpected=report.unexpected,
    )
