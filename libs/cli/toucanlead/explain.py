"""Explaining a request or a program from the logs of several processes."""

import shlex
from collections.abc import Iterable
from datetime import datetime, timedelta

from attrs import frozen

BEFORE = timedelta(seconds=10)  # a dependency lost earlier than this has shown in other lines
AFTER = timedelta(seconds=1)  # copies and debts are settled soon after an answer
_START = 'timestamp='
_SUBJECTS = ('request', 'turn', 'program')


@frozen
class LogLine:
    """One event: when, at which process (as the collector named it), and its fields."""

    at: datetime
    process: str
    fields: dict[str, str]

    @property
    def is_of_process(self) -> bool:
        """Say whether it tells of a process or its dependencies, not of a request."""
        return not any(subject in self.fields for subject in _SUBJECTS)

    def names(self, ident: str) -> bool:
        """Say whether it is about a request, turn or program."""
        return any(self.fields.get(subject) == ident for subject in _SUBJECTS)

    def text(self) -> str:
        """Return the line as it is shown."""
        shown = [f'{k}={v}' for k, v in self.fields.items() if k not in ('timestamp', 'level')]
        return f'{self.at:%H:%M:%S.%f} {self.process:24} {" ".join(shown)}'


def read_line(text: str) -> LogLine | None:
    """Read a line of a log, with whatever a collector put before it; None if it is no event."""
    prefix, found, rest = text.partition(_START)
    if not found:
        return None
    try:
        parts = shlex.split(found + rest)
        fields = dict(part.split('=', 1) for part in parts)
        return LogLine(datetime.fromisoformat(fields['timestamp']), _process(prefix), fields)
    except ValueError:  # cut off in the middle, or not one of ours
        return None


def story(lines: Iterable[LogLine], ident: str) -> list[LogLine]:
    """Return what the lines tell of a request or program, in order; empty when nothing.

    With it come the lines of its program, and those by which the processes that served
    it lost or regained what they depend on, around that time.
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
