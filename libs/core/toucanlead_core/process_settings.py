"""TOML settings of an entry or archive process in a fleet.

Validation reports all errors in a file together.
"""

import tomllib
from pathlib import Path
from typing import TypeVar

from attrs import field, frozen, validators

from .codec import structure

T = TypeVar('T')

_POSITIVE = validators.gt(0)
_NON_NEGATIVE = validators.ge(0)


class SettingsError(Exception):
    """A settings file is invalid; `errors` lists every error found in `source`."""

    def __init__(self, source: str, errors: list[str]) -> None:
        super().__init__('\n'.join(f'{source}: {error}' for error in errors))
        self.source = source
        self.errors = errors


@frozen
class ProcessSection:
    """The name and location of this process; `[zones]` maps each zone to its region.

    Set `first_start` when the whole system starts for the first time. `features` names what
    the platform offers or demands here; names that are not known have no effect.
    """

    name: str
    zone: str
    region: str
    first_start: bool = False
    features: list[str] = field(factory=list)


@frozen
class ListenSection:
    """Listen addresses as host:port, where host is an IP address; an empty one is disabled.

    `peers` serves the other processes of the system and `metrics` serves Prometheus.
    `callers` and `readiness` apply to entries only.
    """

    peers: str
    callers: str = ''
    readiness: str = ''
    metrics: str = ''


@frozen
class ServiceSection:
    """The platform's key-value service, and peers (`seeds`) to contact for it.

    A process follows the changes that a seed watches until it knows the archives, and calls
    the service through the seeds while the service rejects it.
    `writes_per_s` and `reads_per_s` are the service's limits for all processes together.
    """

    address: str
    seeds: list[str] = field(factory=list)
    writes_per_s: float = field(default=400.0, validator=_POSITIVE)
    reads_per_s: float = field(default=2000.0, validator=_POSITIVE)


@frozen
class ArchiveSection:
    """Storage for turns: the folder and the disk space that it may use."""

    folder: str = ''
    disk_mb: float = field(default=256.0, validator=_POSITIVE)


@frozen
class ToleranceSection:
    """The number of VMs with a disk that may be lost at the same time without losing turns."""

    vms: int = field(default=1, validator=_NON_NEGATIVE)


@frozen
class LimitsSection:
    """What the VM gives this process: its memory, and how many descriptors it may open.

    Clients that nobody controls may hold an eighth of the memory for bodies and answers that wait,
    in the process and in the kernel, always enough for four of the longest bodies, and as many
    connections as fit into three 32nds of the memory at 12 KiB each and into half of the
    descriptors. Beyond it, connections that stand still give way first. `check-config` prints
    what all parts of the process may hold.
    """

    memory_mb: float = field(default=1024.0, validator=_POSITIVE)
    file_descriptors: int = field(default=65_536, validator=_POSITIVE)


@frozen
class TimesSection:
    """Time limits in seconds that operators rely on.

    A process stops within `grace_s`; a leaving replica gets no new requests after
    `drain_s`; a new configuration is in force after `apply_s`.
    """

    grace_s: float = field(default=8.0, validator=_POSITIVE)
    drain_s: float = field(default=2.5, validator=_POSITIVE)
    apply_s: float = field(default=2.5, validator=_POSITIVE)


@frozen
class TeamRatesSection:
    """How the rates of teams are judged, where the configuration has any.

    In any `window_s` seconds, a team may exceed what its rate allows by the share `overage`
    and by `slack` requests; entries need some of this to share a rate without waiting.
    """

    window_s: float = field(default=5.0, validator=_POSITIVE)
    overage: float = field(default=0.1, validator=_NON_NEGATIVE)
    slack: float = field(default=20.0, validator=_NON_NEGATIVE)


@frozen
class ProcessSettings:
    """The content of a settings file."""

    process: ProcessSection
    listen: ListenSection
    service: ServiceSection
    archive: ArchiveSection = field(factory=ArchiveSection)
    tolerance: ToleranceSection = field(factory=ToleranceSection)
    times: TimesSection = field(factory=TimesSection)
    limits: LimitsSection = field(factory=LimitsSection)
    team_rates: TeamRatesSection = field(factory=TeamRatesSection)
    zones: dict[str, str] = field(factory=dict)


class SettingsFile:
    """A settings file that can be reloaded while the process runs."""

    def __init__(self, path: Path) -> None:
        """Read the file; raise SettingsError if it is invalid."""
        self._path = path
        self._text = read_settings(path)
        self.settings = parse_settings(self._text, str(path), ProcessSettings)

    def reload(self) -> bool:
        """Reload the file; return whether the settings differ from before.

        Raises SettingsError if the file is invalid, and keeps the previous settings. An
        invalid file that stays the same is reported only once.
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
    """Read and parse a settings file; raise SettingsError if it is invalid."""
    return parse_settings(read_settings(path), str(path), ProcessSettings)


def read_settings(path: Path) -> str:
    """Return a file's text; raise SettingsError if it cannot be read."""
    try:
        return path.read_text(encoding='utf-8')
    except OSError as exc:
        raise SettingsError(str(path), [exc.strerror or str(exc)]) from None
    except UnicodeDecodeError as exc:
        raise SettingsError(str(path), [f'not UTF-8: {exc.reason}']) from None


def parse_settings(text: str, source: str, kind: type[T]) -> T:
    """Parse TOML into a settings class; raise SettingsError listing all errors."""
    try:
        raw = tomllib.loads(text)
    except (ValueError, RecursionError) as exc:  # numbers of any length, tables of any depth
        raise SettingsError(source, [f'not TOML: {exc}']) from None
    try:
        return structure(raw, kind)
    except ValueError as exc:
        raise SettingsError(source, _split_errors(str(exc))) from None


def _split_errors(text: str) -> list[str]:
    """Split an error text of `structure` into one message per key, such as `entry.port: ...`."""
    errors = []
    for part in text.split('; '):
        message, _, location = part.rpartition(' @ ')
        key = location.removeprefix('$').removeprefix('.')
        errors.append(f'{key or "top level"}: {message or part}')
    return errors
