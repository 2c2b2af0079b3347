"""Exit statuses of the command line."""

from enum import IntEnum


class ExitStatus(IntEnum):
    """What a command tells the shell."""

    SUCCESS = 0
    ERROR = 1
    USAGE = 2
    BAD_CONFIG = 3
    REFUSED = 4
    VIOLATION = 5
    INTERRUPTED = 130
