"""Definition of the command line: names, options and help, without execution.

The docstrings are the help texts that defopt shows.
"""

from collections.abc import Callable
from typing import Literal

from .admin import AdminCommands
from .commands import Commands
from .processes import Processes
from .status import ExitStatus

AdapterName = Literal['native', 'platform']
LogLevel = Literal['debug', 'info', 'warning', 'error']
PresetAction = Literal['list', 'show', 'put', 'activate', 'diff', 'history']
ProgramAction = Literal['show', 'end']
DoubtAction = Literal['list', 'resolve']


def build(commands: Commands, processes: Processes, admin: AdminCommands) -> dict[str, Callable]:
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

    def slopes() -> ExitStatus:
        """Measure what an entry costs against the size of what it serves.

        Writes build/slopes.json and the tables of docs/CAPACITY.md; about a minute.
        """
        return commands.slopes()

    def entry(
        *, config: str, adapter: AdapterName = 'native', log_level: LogLevel = 'info'
    ) -> ExitStatus:
        """Run an entry until SIGTERM, then finish everything in progress and stop.

        :param config: settings file (TOML), see docs/settings.md
        :param adapter: native for the product's own interface, platform for the customers'
        :param log_level: lowest level of events shown on standard output
        """
        return processes.entry(config, adapter, log_level)

    def archive(*, config: str, log_level: LogLevel = 'info') -> ExitStatus:
        """Run an archive of turns on a VM with a disk, until SIGTERM.

        :param config: settings file (TOML), see docs/settings.md
        :param log_level: lowest level of events shown on standard output
        """
        return processes.archive(config, log_level)

    def status() -> ExitStatus:
        """Show an entry: slots, programs, load, preset in force, age of its knowledge.

        The operators' commands ask the entry named by the variable
        TOUCANLEAD_SERVER (host:port of the administration port) with the
        key in TOUCANLEAD_KEY.
        """
        return admin.status()

    def preset(
        action: PresetAction,
        name: str = '',
        *,
        file: str = '',
        base: str = '',
        wait: bool = False,
    ) -> ExitStatus:
        """List, show, put or activate presets; see what changed.

        :param action: list, show NAME, put NAME, activate NAME, diff A..B, history
        :param name: the preset, or two revisions for diff
        :param file: with put, a TOML file with the preset's values
        :param base: the revision that the change builds on; refused if another is in force
        :param wait: wait until the change is in force at every entry, and show progress
        """
        return admin.preset(action, name, file, base, wait)

    def drain(address: str, *, lift: bool = False, wait: bool = False) -> ExitStatus:
        """Give a backend server no new work, until the drain is lifted.

        :param address: host:port of the backend server
        :param lift: lift the drain
        :param wait: wait until this is in force at every entry
        """
        return admin.drain(address, lift, wait)

    def program(action: ProgramAction, team: str, program: str) -> ExitStatus:
        """Show or end a program.

        :param action: show or end
        :param team: the team that opened it
        :param program: its id
        """
        return admin.program(action, team, program)

    def doubt(
        action: DoubtAction,
        program: str = '',
        seq: int = 0,
        *,
        ran: str = '',
        content: str = '',
    ) -> ExitStatus:
        """List calls whose outcome is unknown, or settle one.

        :param action: list or resolve
        :param program: with resolve, the program's id
        :param seq: with resolve, the call's number
        :param ran: with resolve, yes or no: whether the tool performed the call
        :param content: with --ran yes, the tool's answer
        """
        return admin.doubt(action, program, seq, ran, content)

    def explain(ident: str) -> ExitStatus:
        """Tell what became of a request or program, from logs on standard input.

        The logs of several processes may be given together, in any order, and with
        the process's name before each line.

        :param ident: the id of a request, turn or program
        """
        return processes.explain(ident)

    def check_config(file: str, *, adapter: AdapterName = 'native') -> ExitStatus:
        """Check a settings file and name every error in it.

        :param file: settings file (TOML)
        :param adapter: the adapter for which the file is meant
        """
        return processes.check_config(file, adapter)

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
        'status': status,
        'preset': preset,
        'drain': drain,
        'program': program,
        'doubt': doubt,
        'slopes': slopes,
        'bench': bench,
        'faults': faults,
        'demo': demo,
        'entry': entry,
        'archive': archive,
        'explain': explain,
        'check-config': check_config,
    }
