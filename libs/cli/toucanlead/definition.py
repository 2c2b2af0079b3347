"""Definition of the command line: names, options and help, without execution.

The docstrings are the help texts that defopt shows.
"""

from collections.abc import Callable
from typing import Literal

from .commands import Commands
from .status import ExitStatus

LogLevel = Literal['debug', 'info', 'warning', 'error']


def build(commands: Commands) -> dict[str, Callable]:
    """Return the commands by name, bound to what executes them."""

    def demo(*, programs: int = 0, log_level: LogLevel = 'error') -> ExitStatus:
        """Run recorded programs of both customers through real entries on loopback.

        Writes build/demo.json and prints a table. Takes under a minute.

        :param programs: only so many root programs of each customer, 0 for all
        :param log_level: lowest level of events shown on standard error
        """
        return commands.demo(programs, log_level)

    def bench(*, programs: int = 1500, seeds: int = 5, ablation: bool = True) -> ExitStatus:
        """Compare the policies with baselines on replayed programs, in virtual time.

        Writes build/bench.json; about fifteen minutes at full size.

        :param programs: root programs of each run
        :param seeds: runs of each cell
        :param ablation: also switch off each mechanism alone
        """
        return commands.bench(programs, seeds, ablation)

    def entry(*, config: str, log_level: LogLevel = 'info') -> ExitStatus:
        """Run an entry until SIGTERM, then finish everything in progress and stop.

        :param config: settings file (TOML), see docs/settings.md
        :param log_level: lowest level of events shown on standard error
        """
        return commands.entry(config, log_level)

    def check_config(file: str) -> ExitStatus:
        """Check a settings file and name every error in it.

        :param file: settings file (TOML)
        """
        return commands.check_config(file)

    def faults(
        *, seed: int = 1, repeated: int = 50, pairs: int = 50, full: bool = False
    ) -> ExitStatus:
        """Bring about every fault at every step of a call, in virtual time.

        Writes build/faults.json; fails when an invariant is broken or too
        little is served under a fault.

        :param seed: seed of the cases and of the sample
        :param repeated: how many faults that come twice are sampled
        :param pairs: how many pairs of faults are sampled
        :param full: run every repeated fault and every pair (about ten minutes)
        """
        return commands.faults(seed, repeated, pairs, full)

    return {
        'bench': bench,
        'faults': faults,
        'demo': demo,
        'entry': entry,
        'check-config': check_config,
    }
