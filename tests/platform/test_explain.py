"""The explain command finds the log lines that docs/OPERATIONS.md shows for failed requests."""

import asyncio
import re
from datetime import UTC, datetime, timedelta
from pathlib import Path

from structlog.processors import LogfmtRenderer
from structlog.testing import capture_logs

from toucanlead.status import ExitStatus

from ..utils.command import toucanlead
from .load import name_limits, play_load, turns
from .site import ENTRY_1, ENTRY_2, engine_replicas, with_platform_site

OPERATIONS_PAGE = (Path(__file__).parents[2] / 'docs' / 'OPERATIONS.md').read_text()
RENDER_LOGFMT = LogfmtRenderer(key_order=['timestamp', 'event'], bool_as_flag=False)
BACKEND_FAILED_HEADING = 'A request got 502, or its answer broke off: `backend_failed`'
START_TIME = datetime(2026, 2, 18, tzinfo=UTC)


class LogCapture:
    """Captures the log lines of all processes, prefixed as by a log collector."""

    def __init__(self):
        self.lines = []
        self._capture = capture_logs(processors=[self._stamp])

    def _stamp(self, logger, name, event):
        seconds = asyncio.get_running_loop().time()
        return {'timestamp': (START_TIME + timedelta(seconds=seconds)).isoformat(), **event}

    def __enter__(self):
        self._entries = self._capture.__enter__()
        return self

    def __exit__(self, *exc_info):
        self._capture.__exit__(*exc_info)
        self.lines = [f'site {RENDER_LOGFMT(None, "", entry)}' for entry in self._entries]

    def explain(self, ident):
        """Return the output of the explain command for an id."""
        result = toucanlead('explain', ident, stdin='\n'.join(self.lines))
        assert result.status is ExitStatus.SUCCESS
        return result.stdout


def documented_lines(heading):
    """Return the relevant `key=value` pairs of each log line shown under a heading."""
    section = OPERATIONS_PAGE.partition(f'### {heading}\n')[2].partition('\n### ')[0]
    lines = re.findall(r'^    \d.*$', section, re.M)
    assert lines, heading
    wanted = ('event=', 'outcome=', 'ran=', 'all_asked=', 'is_new=')
    return [[pair for pair in line.split() if pair.startswith(wanted)] for line in lines]


def assert_explains(output, heading):
    """Check that each log line on the page has a matching line in the output."""
    printed = output.splitlines()
    for pairs in documented_lines(heading):
        assert any(all(pair in line.split() for pair in pairs) for line in printed), (pairs, output)


class TestDocumentedFailures:
    @with_platform_site()
    async def test_budget_unavailable(self, site, caller):
        caller.budget = 870
        with LogCapture() as logs:
            assert (await caller.turn(ENTRY_1)).succeeded
            site.service.faults.down = True
            await asyncio.sleep(1.5)
            replies = [await caller.turn(ENTRY_1) for _ in range(14)]
        failed = next(reply for reply in replies if reply.status == 503)
        assert_explains(logs.explain(failed.ident), 'A turn got 503: `budget_unavailable`')

    @with_platform_site()
    async def test_a_booking_whose_answer_was_lost(self, site, caller):
        for replica in site.replicas.values():
            replica.faults.lose_answers = 1
        with LogCapture() as logs:
            reply = await caller.book(ENTRY_1)
        assert reply.status == 502
        assert_explains(logs.explain(reply.ident), BACKEND_FAILED_HEADING)

    @with_platform_site()
    async def test_a_turn_that_no_archive_holds(self, site, caller):
        with LogCapture() as logs:
            reply = await caller.turn(ENTRY_2, previous='nothing')
        assert reply.status == 404
        assert_explains(logs.explain(reply.ident), 'A turn got 404: `unknown_turn`')

    @with_platform_site()
    async def test_a_limit_that_replicas_name(self, site, caller):
        name_limits(engine_replicas(site), 1.0)
        with LogCapture() as logs:
            replies = await play_load(turns(caller, {ENTRY_1: 1.0}), per_s=30.0, seconds=3.0)
        refused = [reply for reply in replies if reply.status == 503]
        assert_explains(logs.explain(refused[0].ident), 'A request got 503: `replica_limit`')

    @with_platform_site(engines=6)
    async def test_a_request_that_crashes_replicas(self, site, caller):
        for replica in engine_replicas(site):
            replica.faults.crash_on = b'deadly'
        with LogCapture() as logs:
            for _ in range(6):
                reply = await caller.resumable_turn(ENTRY_1, body=b'deadly')
                await asyncio.sleep(1.0)
        assert_explains(logs.explain(reply.ident), 'A request got 503: `crashes_replicas`')

    @with_platform_site(engines=4, versions=('v1', 'v2'))
    async def test_a_stream_whose_version_is_gone(self, site, caller):
        for replica in engine_replicas(site):
            replica.events = 20
        with LogCapture() as logs:
            first = await caller.resumable_turn(ENTRY_1, disconnect_after_s=0.2)
            (version,) = first.versions
            for replica in engine_replicas(site):
                if replica.version == version:
                    site.stop_replica(replica)
            await asyncio.sleep(3.0)
            reply = await caller.resume(ENTRY_2, first, first)
        assert reply.status == 503
        output = logs.explain(reply.ident)
        assert_explains(output, 'A resumed stream got 503: `stream_version_gone`')
        assert f'request={first.ident}' in output


class TestCommand:
    def test_says_when_no_line_names_the_id(self):
        result = toucanlead('explain', 'r1', stdin='timestamp=2026-01-01T00:00:00Z event=x\n')
        assert result.status is ExitStatus.ERROR
        assert 'r1: not found in the log lines' in result.stderr

    def test_orders_the_lines_of_several_processes(self):
        lines = [
            'b timestamp=2026-01-01T00:00:02Z event=request_ended request=r1 program=p1',
            'a timestamp=2026-01-01T00:00:01Z event=budget_granted program=p1 tokens=9',
            'a timestamp=2026-01-01T00:00:01Z event=budget_granted program=p2 tokens=9',
            'b timestamp=2026-01-01T00:00:00Z event=key_value_service_lost error="no answer"',
            'c timestamp=2026-01-01T00:00:00Z event=key_value_service_lost error="no answer"',
            'torn timestamp=2026-01-01T00:00:00Z event="req',
        ]
        printed = toucanlead('explain', 'r1', stdin='\n'.join(lines)).stdout
        events = [line.split()[1:3] for line in printed.splitlines()]
        assert events == [
            ['b', 'event=key_value_service_lost'],
            ['a', 'event=budget_granted'],
            ['b', 'event=request_ended'],
        ]
