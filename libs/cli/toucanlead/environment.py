"""The process environment of the command line, gathered in one object."""

import io
import os
import sys
import time
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import TextIO

from attrs import define, field


@define
class Environment:
    """Streams, working folder, environment variables and clock of a command.

    Tests pass their own instance. `clock` returns monotonic seconds.
    """

    stdout: TextIO
    stderr: TextIO
    working_folder: Path = field(factory=Path.cwd)
    variables: Mapping[str, str] = field(factory=dict)
    clock: Callable[[], float] = time.monotonic
    stdin: TextIO = field(factory=io.StringIO)

    @classmethod
    def from_process(cls) -> 'Environment':
        """Return the environment of this process."""
        return cls(sys.stdout, sys.stderr, Path.cwd(), os.environ, stdin=sys.stdin)

    def print_out(self, text: str) -> None:
        """Print a line to standard output."""
        print(text, file=self.stdout, flush=True)

    def print_err(self, text: str) -> None:
        """Print a line of progress or an error to standard error."""
        print(text, file=self.stderr, flush=True)

    @property
    def report_folder(self) -> Path:
        """The folder that reports are written to."""
        return self.working_folder / 'build'
