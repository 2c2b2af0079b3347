"""Finds the log lines of several processes that concern one request or program."""

import shlex
from collections.abc import Iterable
from datetime import datetime, timedelta

from attrs import frozen

BEFORE = timedelta(seconds=10)  # a dependency lost earlier than this shows in other lines
AFTER = timedelta(seconds=1)  # turn copies and budget debts are recorded soon after an answer
_START = 'timestamp='
_SUBJECTS = ('request', 'turn', 'program')


@frozen
class LogLine:
    """One log event; `process` is the name that the log collector put before the line."""

    at: datetime
    process: str
    fields: dict[str, str]

    @property
    def is_of_process(self) -> bool:
        """Whether the event concerns a process or its dependencies, not one request."""
        return not any(subject in self.fields for subject in _SUBJECTS)

    def names(self, ident: str) -> bool:
        """Return whether the event belongs to the request, turn or program with this id."""
        return any(self.fields.get(subject) == ident for subject in _SUBJECTS)

    def text(self) -> str:
        """Return the line formatted for output."""
        shown = [f'{k}={v}' for k, v in self.fields.items() if k not in ('timestamp', 'level')]
        return f'{self.at:%H:%M:%S.%f} {self.process:24} {" ".join(shown)}'


def read_line(text: str) -> LogLine | None:
    """Parse a log line with any collector prefix; return None if it is not an event."""
    prefix, found, rest = text.partition(_START)
    if not found:
        return None
    try:
        parts = shlex.split(found + rest)
        fields = dict(part.split('=', 1) for part in parts)
        return LogLine(datetime.fromisoformat(fields['timestamp']), _process(prefix), fields)
    except ValueError:  # truncated, or not written by this system
        return None


def story(lines: Iterable[LogLine], ident: str) -> list[LogLine]:
    """Return the lines about a request, turn or program in order of time.

    Includes lines from about the same time on its program, on its previous turn, and on
    the processes that served it, such as a lost dependency. Empty if no line has the id.
    """
    known = list(lines)
    own = [line for line in known if line.names(ident)]
    if not own:
        return []
    begin = min(line.at for line in own) - BEFORE
    end = max(line.at for line in own) + AFTER
    previous = {line.fields.get('previous', '') for line in own} - {''}
    programs = {line.fields.get('program', '') for line in own} - {''}
    processes = {line.process for line in own}
    around = [line for line in known if begin <= line.at <= end and line not in own]
    of_program = [
        line
        for line in around
        if (line.fields.get('program') in programs and 'request' not in line.fields)
        or line.fields.get('turn') in previous
    ]
    of_process = [line for line in around if line.is_of_process and line.process in processes]
    return sorted([*own, *of_program, *of_process], key=lambda line: line.at)


def _process(prefix: str) -> str:
    words = prefix.split()
    return words[-1].rstrip(':|') if words else '-'
