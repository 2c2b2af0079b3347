"""Settings of a process on a VM of the fleet, read from TOML; every error at once."""

import tomllib
from pathlib import Path
from typing import TypeVar

from attrs import field, frozen, validators

from .codec import structure

T = TypeVar('T')

_POSITIVE = validators.gt(0)
_NOT_NEGATIVE = validators.ge(0)


class SettingsError(Exception):
    """All errors found in one settings file."""

    def __init__(self, source: str, errors: list[str]) -> None:
        """Keep the file's name and each error's text."""
        super().__init__('\n'.join(f'{source}: {error}' for error in errors))
        self.source = source
        self.errors = errors


@frozen
class ProcessSection:
    """Where this process runs; `zones` below names each zone's region.

    `first_start` says that the whole system starts for the first time.
    """

    name: str
    zone: str
    region: str
    first_start: bool = False


@frozen
class ListenSection:
    """Addresses as host:port with IP numbers; an empty one is not served.

    `callers` and `readiness` are for entries, `peers` is for other processes of the
    system, `metrics` for Prometheus.
    """

    peers: str
    callers: str = ''
    readiness: str = ''
    metrics: str = ''


@frozen
class ServiceSection:
    """The platform's key-value service, and addresses of peers to ask when it is away.

    `writes_per_s` and `reads_per_s` are its limits for all processes together.
    """

    address: str
    seeds: list[str] = field(factory=list)
    writes_per_s: float = field(default=400.0, validator=_POSITIVE)
    reads_per_s: float = field(default=2000.0, validator=_POSITIVE)


@frozen
class ArchiveSection:
    """The disk for turns: its folder and its size."""

    folder: str = ''
    disk_mb: float = field(default=256.0, validator=_POSITIVE)


@frozen
class ToleranceSection:
    """How many VMs with a disk may be lost at the same time."""

    vms: int = field(default=1, validator=_NOT_NEGATIVE)


@frozen
class TimesSection:
    """Times in seconds that operators hold the system to.

    A stop ends within `grace_s`; a leaving replica gets nothing new after `drain_s`;
    a configuration is in force after `apply_s`.
    """

    grace_s: float = field(default=8.0, validator=_POSITIVE)
    drain_s: float = field(default=2.5, validator=_POSITIVE)
    apply_s: float = field(default=2.5, validator=_POSITIVE)


@frozen
class ProcessSettings:
    """The whole file."""

    process: ProcessSection
    listen: ListenSection
    service: ServiceSection
    archive: ArchiveSection = field(factory=ArchiveSection)
    tolerance: ToleranceSection = field(factory=ToleranceSection)
    times: TimesSection = field(factory=TimesSection)
    zones: dict[str, str] = field(factory=dict)


class SettingsFile:
    """A settings file that may change while the process runs."""

    def __init__(self, path: Path) -> None:
        """Read the file; raise SettingsError naming every error."""
        self._path = path
        self._text = read_settings(path)
        self.settings = parse_settings(self._text, str(path), ProcessSettings)

    def changed(self) -> bool:
        """Read the file again; say whether the settings are others than before.

        Raises SettingsError once for each file with errors; the settings stay.
        """
        text = read_settings(self._path)
        if text == self._text:
            return False
        self._text = text
        settings = parse_settings(text, str(self._path), ProcessSettings)
        if settings == self.settings:
            return False
        self.settings = settings
        return True


def load_process_settings(path: Path) -> ProcessSettings:
    """Read a settings file; raise SettingsError naming every error."""
    return parse_settings(read_settings(path), str(path), ProcessSettings)


def read_settings(path: Path) -> str:
    """Return a file's text; raise SettingsError when it cannot be read."""
    try:
        return path.read_text(encoding='utf-8')
    except OSError as exc:
        raise SettingsError(str(path), [exc.strerror or str(exc)]) from None


def parse_settings(text: str, source: str, kind: type[T]) -> T:
    """Parse TOML into a settings class; raise SettingsError naming every error."""
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        raise SettingsError(source, [f'not TOML: {exc}']) from None
    try:
        return structure(raw, kind)
    except ValueError as exc:
        raise SettingsError(source, _readable(str(exc))) from None


def _readable(text: str) -> list[str]:
    """Name each wrong value by its key, as in `entry.port`."""
    errors = []
    for part in text.split('; '):
        what, _, where = part.rpartition(' @ ')
        key = where.removeprefix('$').removeprefix('.')
        errors.append(f'{key or "top level"}: {what or part}')
    return errors
