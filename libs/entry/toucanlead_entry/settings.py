"""TOML settings of an entry.

Validation reports all errors in a file together.
"""

from pathlib import Path

from attrs import field, frozen, validators

from toucanlead_core.process_settings import SettingsError, read_settings
from toucanlead_core.process_settings import parse_settings as parse_toml
from toucanlead_policy.preset import Preset

MAX_SLOTS = 65_536


@frozen
class EntrySection:
    """The name, location and listen addresses of this entry.

    `host` is an IP address; with port 0 the entry listens on any free port.
    """

    name: str
    zone: str
    region: str
    host: str = '127.0.0.1'
    port: int = 8080
    peer_port: int = 8081
    admin_port: int = 8082
    slots: int = 64
    data_folder: str = ''


@frozen
class PlatformSection:
    """Addresses of the platform's services, as host:port."""

    key_value: str
    vm_list: str = ''


@frozen
class ReplicaSection:
    """One replica of a model engine.

    `vm_address` is its address in the platform's VM list, if different from `address`.
    """

    name: str
    address: str
    model: str
    zone: str
    region: str
    vm_address: str = ''
    slots: int = 8
    prefill_tokens_per_s: float = 8000.0
    decode_token_s: float = 0.03


@frozen
class ServiceSection:
    """One tool service or application."""

    name: str
    address: str


@frozen
class ToolSection:
    """One tool: its service, whether a call may be repeated, and the price of a call in tokens."""

    name: str
    service: str
    repeatable: bool
    price: int = 1
    deadline_s: float = 30.0


@frozen
class TeamSection:
    """One team and the SHA-256 digests of its API keys, in hexadecimal."""

    name: str
    key_digests: list[str]


@frozen
class LimitsSection:
    """Limits on requests, in bytes and seconds, and what the VM gives this process.

    Clients may hold an eighth of the memory for requests that come or wait, always enough for
    four of the longest bodies, and as many connections as fit into three 32nds at 12 KiB each
    and into half of the descriptors. Beyond it, connections that stand still are closed first.
    """

    body_bytes: int = 524_288
    header_bytes: int = 16_384
    read_timeout_s: float = 30.0
    memory_mb: float = field(default=1024.0, validator=validators.gt(0))
    file_descriptors: int = field(default=65_536, validator=validators.gt(0))


@frozen
class Settings:
    """The content of an entry's settings file."""

    entry: EntrySection
    platform: PlatformSection
    replicas: list[ReplicaSection] = field(factory=list)
    services: list[ServiceSection] = field(factory=list)
    tools: list[ToolSection] = field(factory=list)
    teams: list[TeamSection] = field(factory=list)
    limits: LimitsSection = field(factory=LimitsSection)
    preset: Preset = field(factory=Preset)
    admin_key_digests: list[str] = field(factory=list)
    viewer_key_digests: list[str] = field(factory=list)


def load_settings(path: Path) -> Settings:
    """Read a settings file; raise SettingsError listing every error."""
    return parse_settings(read_settings(path), str(path))


def parse_settings(text: str, source: str) -> Settings:
    """Parse settings; raise SettingsError listing every error."""
    settings = parse_toml(text, source, Settings)
    errors = _consistency_errors(settings)
    if errors:
        raise SettingsError(source, errors)
    return settings


def _consistency_errors(settings: Settings) -> list[str]:
    errors = []
    if not 1 <= settings.entry.slots <= MAX_SLOTS:
        errors.append(f'entry.slots: {settings.entry.slots}, expected 1 to {MAX_SLOTS}')
    for key in ('port', 'peer_port', 'admin_port'):
        value = getattr(settings.entry, key)
        if not 0 <= value <= 65_535:
            errors.append(f'entry.{key}: {value}, expected 0 to 65535')
    services = {service.name for service in settings.services}
    for index, tool in enumerate(settings.tools):
        if tool.service not in services:
            errors.append(
                f'tools[{index}].service: {tool.service!r}, expected one of {sorted(services)}'
            )
    for kind in ('replicas', 'services', 'tools', 'teams'):
        errors.extend(_duplicate_errors(kind, [item.name for item in getattr(settings, kind)]))
    return errors


def _duplicate_errors(kind: str, names: list[str]) -> list[str]:
    seen: set[str] = set()
    errors = []
    for index, name in enumerate(names):
        if name in seen:
            errors.append(f'{kind}[{index}].name: {name!r} is used twice')
        seen.add(name)
    return errors
