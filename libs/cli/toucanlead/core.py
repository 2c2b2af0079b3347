"""Command line: parses arguments, runs the command and prints errors without a traceback."""

import contextlib

import defopt

from toucanlead_core.process_settings import SettingsError

from . import __version__
from .admin import AdminCommands
from .client import AdminError
from .commands import TrialCommands
from .definition import build_commands
from .environment import Environment
from .processes import ProcessCommands
from .status import ExitStatus


def main(args: list[str], env: Environment) -> ExitStatus:
    """Parse and run one command line; return its exit status."""
    if args == ['--version']:
        env.print_out(f'toucanlead {__version__}')
        return ExitStatus.SUCCESS
    commands = build_commands(TrialCommands(env), ProcessCommands(env), AdminCommands(env))
    try:
        with contextlib.redirect_stdout(env.stdout), contextlib.redirect_stderr(env.stderr):
            return defopt.run(commands, argv=args or ['--help'])
    except SettingsError as exc:
        for error in exc.errors:
            env.print_err(f'{exc.source}: {error}')
        return ExitStatus.BAD_CONFIG
    except AdminError as exc:
        env.print_err(f'toucanlead: {exc}')
        return ExitStatus.REFUSED
    except KeyboardInterrupt:
        return ExitStatus.INTERRUPTED
    except SystemExit as exc:
        return ExitStatus.SUCCESS if not exc.code else ExitStatus.USAGE
    except OSError as exc:
        env.print_err(f'toucanlead: {exc}')
        return ExitStatus.ERROR
