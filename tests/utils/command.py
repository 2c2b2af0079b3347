"""The command line as a user runs it, in an environment of the test's own."""

import io
from pathlib import Path

from attrs import define

from toucanlead.core import main
from toucanlead.environment import Environment
from toucanlead.status import ExitStatus


@define
class CommandResult:
    """What a command printed, and its exit status."""

    status: ExitStatus
    stdout: str
    stderr: str


def toucanlead(*args: str, folder: Path | None = None, stdin: str = '') -> CommandResult:
    """Call the program with arguments."""
    out, err = io.StringIO(), io.StringIO()
    env = Environment(out, err, folder or Path('.'), stdin=io.StringIO(stdin))
    status = main(list(args), env)
    return CommandResult(status, out.getvalue(), err.getvalue())
