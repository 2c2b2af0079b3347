"""Implementation of the commands that demonstrate, test and measure the system.

Each command imports its modules when it runs, to keep the other commands fast to start.
"""

import asyncio

from attrs import asdict

from toucanlead_trials.report import table, write_json

from .environment import Environment
from .logs import configure_logs
from .status import ExitStatus


class TrialCommands:
    """Implements the demo, fault, benchmark and slope commands."""

    def __init__(self, env: Environment) -> None:
        self._env = env

    def demo(self, programs: int, log_level: str) -> ExitStatus:
        """Run the demo; report a violation if an invariant breaks or a program is incomplete."""
        from toucanlead_trials.demo import demo_report, run_demo

        env = self._env
        configure_logs(env.stderr, log_level)
        rows = asyncio.run(run_demo(env.print_err, programs or None))
        document = demo_report(rows)
        write_json(env.report_folder / 'demo.json', document)
        header = ['customer', 'programs', 'completed', 'calls', 'p50 s', 'p95 s', 'turn p95 s']
        header += ['wasted', 'link bytes', 'kv writes/call']
        cells = [
            [
                row.customer,
                row.programs,
                row.completed,
                row.calls,
                row.program_latency_p50_s,
                row.program_latency_p95_s,
                row.turn_latency_p95_s,
                row.wasted_cache_ratio,
                row.link_bytes,
                row.kv_writes_per_call,
            ]
            for row in rows
        ]
        env.print_out(table(header, cells))
        for row in rows:
            for text in row.unexpected:
                env.print_out(f'unexpected: {text}')
        violations = document['violations']
        env.print_out(
            'violations: ' + ' '.join(f'{name}={count}' for name, count in violations.items())
        )
        failed = any(violations.values()) or document['completed'] < document['programs']
        return ExitStatus.VIOLATION if failed else ExitStatus.SUCCESS

    def faults(self, seed: int, repeated: int, pairs: int, full: bool) -> ExitStatus:
        """Run the fault matrix; report a violation for a failed case or too little service."""
        from toucanlead_trials.fault_kinds import FAULTS
        from toucanlead_trials.fault_matrix import (
            default_cases,
            faults_below_minimum,
            full_cases,
            matrix_report,
            run_cases,
        )

        env = self._env
        configure_logs(env.stderr, 'critical')
        cases = full_cases(seed) if full else default_cases(seed, repeated, pairs)
        results = run_cases(cases, env.print_err)
        document = matrix_report(results)
        write_json(env.report_folder / 'faults.json', document)
        served = document['served']
        rows = [
            [name, share, FAULTS[name].min_answered_share] for name, share in sorted(served.items())
        ]
        env.print_out(table(['fault', 'served', 'minimum'], rows))
        env.print_out(f'cases={len(results)} failed={len(document["failed"])}')
        below_minimum = faults_below_minimum(served)
        if below_minimum:
            env.print_out('served less than the minimum: ' + ' '.join(below_minimum))
        failed = below_minimum or document['failed']
        return ExitStatus.VIOLATION if failed else ExitStatus.SUCCESS

    def bench(self, programs: int, seeds: int, ablation: bool) -> ExitStatus:
        """Run the benchmark and print each target with the value reached."""
        from toucanlead_trials.bench import (
            bench_report,
            check_targets,
            run_ablation,
            run_bench,
            table_row,
        )

        env = self._env
        seed_numbers = tuple(range(1, seeds + 1))
        rows = run_bench(env.print_err, programs, seed_numbers)
        ablation_rows = run_ablation(programs, seed_numbers) if ablation else []
        document = bench_report(rows, ablation_rows)
        write_json(env.report_folder / 'bench.json', document)
        header = ['customer', 'load', 'fault', 'policy', 'preset', 'p50 s', 'p95 s', 'spread']
        header += ['token p95', 'wasted', 'link B/turn', 'goodput/s']
        env.print_out(table(header, [table_row(row) for row in rows]))
        if ablation_rows:
            env.print_out(table(header, [table_row(row) for row in ablation_rows]))
        targets = check_targets(rows)
        cells = [[v.target, v.bound, v.reached, 'met' if v.met else 'MISSED'] for v in targets]
        env.print_out(table(['target', 'bound', 'reached', ''], cells))
        return ExitStatus.SUCCESS

    def slopes(self) -> ExitStatus:
        """Measure how costs grow with size, and fill the tables of the capacity page."""
        from toucanlead_trials.capacity import replace_tables, slopes_report
        from toucanlead_trials.payload import measure_payload
        from toucanlead_trials.slopes import measure_all

        env = self._env
        configure_logs(env.stderr, 'critical')
        results = measure_all(env.print_err)
        payload = asyncio.run(measure_payload())
        write_json(env.report_folder / 'slopes.json', slopes_report(results, payload))
        cells = [
            [row.name, row.unit, row.against, row.fit.base, row.fit.slope, row.fit.spread]
            for row in results
        ]
        env.print_out(table(['what', 'unit', 'against', 'base', 'slope', 'spread'], cells))
        env.print_out(
            table(['payload', 'value'], [[name, value] for name, value in asdict(payload).items()])
        )
        page = env.working_folder / 'docs' / 'CAPACITY.md'
        if page.exists():
            text = replace_tables(page.read_text(encoding='utf-8'), results, payload)
            page.write_text(text, encoding='utf-8')
            env.print_out(f'{page.name}: tables written')
        return ExitStatus.SUCCESS
