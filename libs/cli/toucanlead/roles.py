"""Command lines of the processes that a fleet runs, parsed without the operator's libraries.

Hundreds of these processes start at the same moment. Anything but the plain form
`entry|archive --option value ...`, such as a request for help or an error, is left to the
full command line, so the options are defined in one place, `definition`.
"""

from collections.abc import Sequence

from attrs import frozen

ENTRY, ARCHIVE = 'entry', 'archive'
NATIVE, PLATFORM = 'native', 'platform'
LOG_LEVELS = ('debug', 'info', 'warning', 'error')


@frozen
class RoleCommand:
    """The command line of an entry or an archive on a platform."""

    role: str
    config: str
    log_level: str


def parse_role(args: Sequence[str]) -> RoleCommand | None:
    """Return the command of a platform process, None for all other command lines."""
    role = args[0] if args else ''
    if role not in (ENTRY, ARCHIVE) or len(args) % 2 == 0:
        return None
    names, values = args[1::2], args[2::2]
    options = dict(zip(names, values, strict=True))
    if len(options) < len(names) or any(value.startswith('-') for value in values):
        return None
    config = options.pop('--config', '')
    adapter = options.pop('--adapter', NATIVE) if role == ENTRY else PLATFORM
    log_level = options.pop('--log-level', 'info')
    if options or not config or adapter != PLATFORM or log_level not in LOG_LEVELS:
        return None
    return RoleCommand(role, config, log_level)
