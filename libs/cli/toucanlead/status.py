"""Exit statuses of the command line."""

from enum import IntEnum


class ExitStatus(IntEnum):
    """The exit status of a command."""

    SUCCESS = 0
    ERROR = 1
    USAGE = 2
    BAD_CONFIG = 3
    REFUSED = 4
    VIOLATION = 5
    INTERRUPTED = 130
