"""Finds the log lines of several processes that concern one request or program."""

import shlex
from collections.abc import Iterable
from datetime import datetime, timedelta

from attrs import frozen

TIME_BEFORE = timedelta(seconds=10)  # if a dependency was lost even earlier, other lines show it
TIME_AFTER = timedelta(seconds=1)  # turn copies and debts are recorded soon after an answer
_FIRST_KEY = 'timestamp='
_ID_KEYS = ('request', 'turn', 'program')


@frozen
class LogLine:
    """One log event; `process` is the name that the log collector put before the line."""

    time: datetime
    process: str
    fields: dict[str, str]

    @property
    def concerns_process(self) -> bool:
        """Whether the event concerns a process or its dependencies, not one request."""
        return not any(key in self.fields for key in _ID_KEYS)

    def has_id(self, ident: str) -> bool:
        """Return whether the event belongs to the request, turn or program with this id.

        The id of a program may stand behind that of its team.
        """
        _, in_team, program = self.fields.get('program', '').partition('/')
        return any(self.fields.get(key) == ident for key in _ID_KEYS) or (
            bool(in_team) and program == ident
        )

    def text(self) -> str:
        """Return the line formatted for output."""
        pairs = [
            f'{key}={value}'
            for key, value in self.fields.items()
            if key not in ('timestamp', 'level')
        ]
        return f'{self.time:%H:%M:%S.%f} {self.process:24} {" ".join(pairs)}'


def parse_line(text: str) -> LogLine | None:
    """Parse a log line with any collector prefix; return None if it is not an event."""
    prefix, found, rest = text.partition(_FIRST_KEY)
    if not found:
        return None
    try:
        parts = shlex.split(found + rest)
        fields = dict(part.split('=', 1) for part in parts)
        return LogLine(datetime.fromisoformat(fields['timestamp']), _process_name(prefix), fields)
    except ValueError:  # truncated, or not written by this system
        return None


def select_lines(lines: Iterable[LogLine], ident: str) -> list[LogLine]:
    """Return the lines about a request, turn or program in order of time.

    Includes the lines of the request whose stream it resumes, and lines with nearby times
    about its program, its previous turn and the processes that served it, such as the loss
    of a dependency. Returns an empty list if no line has the id.
    """
    all_lines = list(lines)
    matching = [line for line in all_lines if line.has_id(ident)]
    if not matching:
        return []
    resumed = {line.fields.get('resumes', '') for line in matching} - {''}
    matching += [
        line
        for line in all_lines
        if line not in matching and any(line.has_id(first) for first in resumed)
    ]
    begin = min(line.time for line in matching) - TIME_BEFORE
    end = max(line.time for line in matching) + TIME_AFTER
    previous = {line.fields.get('previous', '') for line in matching} - {''}
    programs = {line.fields.get('program', '') for line in matching} - {''}
    processes = {line.process for line in matching}
    nearby = [line for line in all_lines if begin <= line.time <= end and line not in matching]
    about_program = [
        line
        for line in nearby
        if (line.fields.get('program') in programs and 'request' not in line.fields)
        or line.fields.get('turn') in previous
    ]
    about_processes = [
        line for line in nearby if line.concerns_process and line.process in processes
    ]
    return sorted([*matching, *about_program, *about_processes], key=lambda line: line.time)


def _process_name(prefix: str) -> str:
    words = prefix.split()
    return words[-1].rstrip(':|') if words else '-'
