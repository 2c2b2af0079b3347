"""Capacity: extrapolate measured slopes to the target size, and write CAPACITY.md's tables."""

import math
import re
from typing import Any

from attrs import asdict, frozen

from toucanlead_entry.slots import MEMBERS_PER_LEASE_S, MEMBERS_PER_RESCAN

from .payload import PayloadResult
from .slopes import SlopeResult

# The target size.
ENTRIES = 350
REPLICAS = 910
REQUESTS_PER_S = 7500
TOKENS_PER_S = 2_600_000
PROGRAMS = 340_000
TEAMS = 4100
ZONES = 8
CHANGES_PER_DAY = 480

# Limits for an entry's control work (probes, polls, scans), and for the key-value service.
CPU_LIMIT_PERMILLE = 27.0
MEMORY_LIMIT_MB = 32.0
BYTES_LIMIT_PER_S = 12_000.0
KV_WRITES_PER_S = 300.0
KV_READS_PER_S = 2000.0

PROBE_BYTES = 180
PROBES_PER_S = 4.0  # per entry: two sent and on average two received
POLL_BYTES = 600
POLLS_PER_S = 8.0  # per entry: four replicas every half second
RESCAN_S = 10.0 * ENTRIES / MEMBERS_PER_RESCAN
SLOTS = 1024
HEAD_BYTES_PER_SECTION = 60
RECORDS_PER_REQUEST = 1.2  # an outcome for each call, and a claim for one call in five
TURN_TOKENS = 347  # 2.6 million tokens over 7,500 requests a second
HISTORY_BYTES_PER_TOKEN = 5
MEAN_HISTORY_TOKENS = 40_000  # mean history of a running program

TABLE_MARKER = re.compile(r'<!-- table (\w+) -->.*?<!-- end -->', re.S)


@frozen
class Line:
    """One line of a capacity table, as printed."""

    what: str
    at_target: str
    limit: str
    verdict: str


def slopes_report(results: list[SlopeResult], payload: PayloadResult) -> dict[str, Any]:
    """Return the report that is written to build/slopes.json."""
    return {
        'slopes': [asdict(result) for result in results],
        'payload': asdict(payload),
        'target': {
            name: [asdict(x) for x in lines] for name, lines in tables(results, payload).items()
        },
    }


def replace_tables(page: str, results: list[SlopeResult], payload: PayloadResult) -> str:
    """Return the page with each table between `<!-- table NAME -->` and `<!-- end -->` replaced."""
    markdown = {name: _lines_markdown(lines) for name, lines in tables(results, payload).items()}
    markdown['slopes'] = _slopes_markdown(results)
    markdown['payload'] = _payload_markdown(payload)

    def replace(match: re.Match) -> str:
        body = markdown.get(match[1], 'no such table')
        return f'<!-- table {match[1]} -->\n{body}\n<!-- end -->'

    return TABLE_MARKER.sub(replace, page)


def tables(results: list[SlopeResult], payload: PayloadResult) -> dict[str, list[Line]]:
    """Return the capacity tables by name."""
    by_name = {result.name: result for result in results}
    return {
        'control': _control_lines(by_name),
        'service': _service_lines(by_name),
        'payload_target': _payload_lines(by_name, payload),
    }


def _control_lines(by_name: dict[str, SlopeResult]) -> list[Line]:
    cpu = _cost_at_target(by_name['idle control processor time'])
    memory_mb = _control_memory_mb(by_name)
    head = (TEAMS // 16 + 40) * HEAD_BYTES_PER_SECTION
    changes = CHANGES_PER_DAY / 86_400 * head
    polls = POLL_BYTES * POLLS_PER_S
    probes = PROBE_BYTES * PROBES_PER_S
    scans = (ENTRIES * 230 + SLOTS * 180) / RESCAN_S
    total = probes + changes + polls + scans
    return [
        _limit_line('processor time of control, 0.1% of a core', cpu, CPU_LIMIT_PERMILLE),
        _limit_line('memory of control, MB', memory_mb, MEMORY_LIMIT_MB),
        _limit_line('probes, bytes/s', probes, BYTES_LIMIT_PER_S),
        _limit_line('configuration changes, bytes/s', changes, BYTES_LIMIT_PER_S),
        _limit_line('load polls (4 replicas a round), bytes/s', polls, BYTES_LIMIT_PER_S),
        _limit_line('slot and member scans each 70 s, bytes/s', scans, BYTES_LIMIT_PER_S),
        _limit_line('sum, bytes/s', total, BYTES_LIMIT_PER_S),
    ]


def _cost_at_target(result: SlopeResult) -> float:
    """Return a cost at the target size; without growth, the largest measured value."""
    if result.fit.slope <= 0:
        return max(result.values)
    return result.fit.at(ENTRIES)


def _control_memory_mb(by_name: dict[str, SlopeResult]) -> float:
    cache_estimates_kb = by_name['cache beliefs'].fit.slope * PROGRAMS / ENTRIES
    fleet_kb = REPLICAS * 1.5
    members_kb = ENTRIES * 0.7 + SLOTS * 0.6
    teams_kb = TEAMS * 0.4
    return (cache_estimates_kb + fleet_kb + members_kb + teams_kb) / 1024


def _service_lines(by_name: dict[str, SlopeResult]) -> list[Line]:
    reads = by_name['configuration reads'].fit.at(ENTRIES)
    scans = 4 * ENTRIES / RESCAN_S
    leases = ENTRIES / (math.ceil(ENTRIES / MEMBERS_PER_LEASE_S) / 3)
    record = by_name['journal record'].fit.at(TURN_TOKENS)
    bytes_per_s = RECORDS_PER_REQUEST * REQUESTS_PER_S * record
    commits = KV_WRITES_PER_S / ENTRIES
    rollout = by_name['change in force, service down'].values[-1]
    history_gb = PROGRAMS * MEAN_HISTORY_TOKENS * HISTORY_BYTES_PER_TOKEN / 1e9
    return [
        _limit_line('configuration reads/s', reads, KV_READS_PER_S),
        _limit_line('slot and member scans and watches/s', scans, KV_READS_PER_S),
        _limit_line('lease writes/s at a 9 s lease', leases, KV_WRITES_PER_S),
        Line('journal commits/s for each entry', f'{commits:.2f}', 'over 20 wanted', 'NOT CARRIED'),
        _limit_line('journal commits/s, one committer a zone, 50 each', 50.0 * ZONES, 400.0),
        Line('journal bytes/s', f'{bytes_per_s / 1e6:.1f} MB', 'no limit named', 'see text'),
        Line(
            'history of programs under way', f'{history_gb:.0f} GB', 'no limit named', 'NOT CARRIED'
        ),
        _limit_line('change in force at the last entry, s', rollout, 13.0),
    ]


def _payload_lines(by_name: dict[str, SlopeResult], payload: PayloadResult) -> list[Line]:
    requests = REQUESTS_PER_S / ENTRIES
    tokens = TOKENS_PER_S / ENTRIES
    core = requests * payload.entry_cpu_ms / 1000
    stream = tokens * payload.stream_us_per_token / 1e6
    decision = by_name['routing decision'].values[-1]
    programs = PROGRAMS / ENTRIES
    memory = by_name['programs in memory'].fit.slope * programs / 1024
    return [
        Line('requests/s through an entry', f'{requests:.1f}', '', ''),
        Line('tokens/s through an entry', f'{tokens:.0f}', '', ''),
        _limit_line('cores for requests', core, 0.5),
        _limit_line('cores for token streams', stream, 0.5),
        Line('routing decision at 910 replicas, us', f'{decision:.1f}', 'flat', 'see slopes'),
        Line('programs under way for each entry', f'{programs:.0f}', '', ''),
        Line('their memory at ten short turns each, MB', f'{memory:.0f}', '', 'evicted when idle'),
    ]


def _limit_line(what: str, value: float, limit: float) -> Line:
    verdict = 'carried' if value <= limit else 'NOT CARRIED'
    return Line(what, f'{value:,.1f}', f'{limit:,.1f}', f'{verdict}, {value / limit:.2f} of it')


def _lines_markdown(lines: list[Line]) -> str:
    rows = ['| what | at the target | limit | verdict |', '| --- | ---: | ---: | --- |']
    rows += [f'| {x.what} | {x.at_target} | {x.limit} | {x.verdict} |' for x in lines]
    return '\n'.join(rows)


def _slopes_markdown(results: list[SlopeResult]) -> str:
    rows = ['| what | unit | against | measured at | values | base | slope | spread |']
    rows.append('| --- | --- | --- | --- | --- | ---: | ---: | ---: |')
    for r in results:
        sizes = ', '.join(f'{s:g}' for s in r.sizes)
        values = ', '.join(f'{v:g}' for v in r.values)
        fit = f'{r.fit.base:.3g} | {r.fit.slope:.3g} | {r.fit.spread:.2g}'
        rows.append(f'| {r.name} | {r.unit} | {r.against} | {sizes} | {values} | {fit} |')
    return '\n'.join(rows)


def _payload_markdown(payload: PayloadResult) -> str:
    rows = ['| figure | value |', '| --- | ---: |']
    rows += [f'| {name} | {value:.3g} |' for name, value in asdict(payload).items()]
    return '\n'.join(rows)
