"""Runs the command-line program in-process, with its own output streams and folder."""

import io
from pathlib import Path

from attrs import define

from toucanlead.core import main
from toucanlead.environment import Environment
from toucanlead.status import ExitStatus


@define
class CommandResult:
    """Exit status and output of a command."""

    status: ExitStatus
    stdout: str
    stderr: str


def toucanlead(*args: str, folder: Path | None = None, stdin: str = '') -> CommandResult:
    """Run the program with these arguments."""
    out, err = io.StringIO(), io.StringIO()
    env = Environment(out, err, folder or Path('.'), stdin=io.StringIO(stdin))
    status = main(list(args), env)
    return CommandResult(status, out.getvalue(), err.getvalue())
