"""Command line: parses arguments, runs the command and prints errors without a traceback."""

import contextlib

from toucanlead_core.process_settings import SettingsError

from . import __version__
from .environment import Environment
from .errors import AdminError
from .processes import ProcessCommands
from .roles import ENTRY, PLATFORM, RoleCommand, parse_role
from .status import ExitStatus


def main(args: list[str], env: Environment) -> ExitStatus:
    """Parse and run one command line; return its exit status."""
    if args == ['--version']:
        env.print_out(f'toucanlead {__version__}')
        return ExitStatus.SUCCESS
    try:
        with contextlib.redirect_stdout(env.stdout), contextlib.redirect_stderr(env.stderr):
            role = parse_role(args)
            return _run_role(role, env) if role else _run_command(args, env)
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


def _run_role(command: RoleCommand, env: Environment) -> ExitStatus:
    processes = ProcessCommands(env)
    if command.role == ENTRY:
        return processes.entry(command.config, PLATFORM, command.log_level)
    return processes.archive(command.config, command.log_level)


def _run_command(args: list[str], env: Environment) -> ExitStatus:
    import defopt

    from .admin import AdminCommands
    from .commands import TrialCommands
    from .definition import build_commands

    commands = build_commands(TrialCommands(env), ProcessCommands(env), AdminCommands(env))
    return defopt.run(commands, argv=args or ['--help'])
