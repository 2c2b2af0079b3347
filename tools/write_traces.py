"""Generates the trace files included in toucanlead_trials, from a fixed seed."""

from pathlib import Path

from toucanlead_core.codec import to_json
from toucanlead_trials.workload import WORKLOAD_SHAPES, make_programs, special_programs

ROOT_PROGRAMS = 44
SEED = 1
DATA_FOLDER = Path(__file__).parent.parent / 'libs/trials/toucanlead_trials/data'


def main() -> None:
    """Write one trace file per customer."""
    for customer, shape in WORKLOAD_SHAPES.items():
        programs = make_programs(shape, ROOT_PROGRAMS, SEED, rate_per_s=0.1)
        programs += special_programs(shape, SEED)
        lines = [to_json(program) for program in programs]
        (DATA_FOLDER / f'{customer}.jsonl').write_bytes(b'\n'.join(lines) + b'\n')


if __name__ == '__main__':
    main()
