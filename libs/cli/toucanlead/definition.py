"""Definition of the command line: the names, options and help of all commands.

defopt shows the docstrings as help.
"""

from collections.abc import Callable
from typing import Literal

from .admin import AdminCommands
from .commands import TrialCommands
from .processes import ProcessCommands
from .status import ExitStatus

AdapterName = Literal['native', 'platform']
LogLevel = Literal['debug', 'info', 'warning', 'error']
PresetAction = Literal['list', 'show', 'put', 'activate', 'diff', 'history']
ProgramAction = Literal['show', 'end']
DoubtAction = Literal['list', 'resolve']


def build_commands(
    trials: TrialCommands, processes: ProcessCommands, admin: AdminCommands
) -> dict[str, Callable]:
    """Return the command functions by name."""

    def demo(*, programs: int = 0, log_level: LogLevel = 'error') -> ExitStatus:
        """Run recorded programs of both customers through real entries on loopback.

        Writes build/demo.json and prints a table. Takes less than a minute.

        :param programs: number of root programs of each customer, 0 for all
        :param log_level: lowest level of events shown on standard error
        """
        return trials.demo(programs, log_level)

    def bench(*, programs: int = 1500, seeds: int = 5, ablation: bool = True) -> ExitStatus:
        """Compare the scheduling policies with baselines on replayed programs, in virtual time.

        Writes build/bench.json. Takes about fifteen minutes at full size.

        :param programs: number of root programs in each run
        :param seeds: number of runs of each combination, with seeds from 1
        :param ablation: also run with each mechanism switched off in turn
        """
        return trials.bench(programs, seeds, ablation)

    def slopes() -> ExitStatus:
        """Measure how the costs of an entry grow with the size of its load.

        Writes build/slopes.json and the tables of docs/CAPACITY.md. Takes about a minute.
        """
        return trials.slopes()

    def entry(
        *, config: str, adapter: AdapterName = 'native', log_level: LogLevel = 'info'
    ) -> ExitStatus:
        """Run an entry until SIGTERM, then finish the work in progress and stop.

        :param config: settings file (TOML), see docs/settings.md
        :param adapter: native for the system's own interfaces, platform for the customers'
        :param log_level: lowest level of events shown on standard output
        """
        return processes.entry(config, adapter, log_level)

    def archive(*, config: str, log_level: LogLevel = 'info') -> ExitStatus:
        """Run an archive, which stores turns on the disk of a VM, until SIGTERM.

        :param config: settings file (TOML), see docs/settings.md
        :param log_level: lowest level of events shown on standard output
        """
        return processes.archive(config, log_level)

    def status() -> ExitStatus:
        """Show the slots, programs, load and preset of an entry, and the age of its data.

        The operator commands connect to the administration port given in the
        environment variable TOUCANLEAD_SERVER (host:port) with the operator key
        in TOUCANLEAD_KEY.
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
        """List, show, put or activate presets, or show configuration changes.

        :param action: list, show NAME, put NAME, activate NAME, diff A..B, history
        :param name: the preset, or for diff two revisions as A..B
        :param file: for put, a TOML file with the preset's values
        :param base: revision that the change is based on; refused if another one is in force
        :param wait: wait until the change is in force at every entry, showing progress
        """
        return admin.preset(action, name, file, base, wait)

    def drain(address: str, *, lift: bool = False, wait: bool = False) -> ExitStatus:
        """Send no new work to a backend server until the drain is lifted.

        :param address: host:port of the backend server
        :param lift: lift the drain
        :param wait: wait until the change is in force at every entry
        """
        return admin.drain(address, lift, wait)

    def program(action: ProgramAction, team: str, program: str) -> ExitStatus:
        """Show or end a program.

        :param action: show or end
        :param team: the team that opened it
        :param program: id of the program
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
        """List calls whose outcome is unknown, or resolve one.

        :param action: list or resolve
        :param program: for resolve, the id of the program
        :param seq: for resolve, the number of the call
        :param ran: for resolve, yes or no: whether the tool performed the call
        :param content: with --ran yes, the answer of the tool
        """
        return admin.doubt(action, program, seq, ran, content)

    def explain(ident: str) -> ExitStatus:
        """Show the log lines that concern a request, turn or program.

        Reads the logs from standard input. Lines of several processes may be mixed in any
        order, each with the name of its process in front.

        :param ident: the id of a request, turn or program
        """
        return processes.explain(ident)

    def check_config(file: str, *, adapter: AdapterName = 'native') -> ExitStatus:
        """Check a settings file and print every error in it.

        :param file: settings file (TOML)
        :param adapter: the adapter that the file is for
        """
        return processes.check_config(file, adapter)

    def faults(
        *, seed: int = 1, repeated: int = 50, pairs: int = 50, full: bool = False
    ) -> ExitStatus:
        """Inject every fault at every step of a call, in virtual time.

        Writes build/faults.json. Fails if an invariant is broken, or if less than the
        minimum share of requests is served under a fault.

        :param seed: seed of the cases and of the sample
        :param repeated: sample size of cases that inject the same fault twice
        :param pairs: sample size of cases that inject two faults
        :param full: run every repeated fault and every pair (about ten minutes)
        """
        return trials.faults(seed, repeated, pairs, full)

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
