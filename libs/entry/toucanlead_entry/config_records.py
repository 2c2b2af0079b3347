"""Configuration records: a small head, and immutable sections named by their digests."""

import hashlib
from typing import Any

from attrs import field, frozen

from toucanlead_policy.preset import Preset

HEAD_KEY = 'config/head'
DRAINS_SECTION = 'drains'


@frozen
class ConfigHead:
    """One revision: the preset in force, and the digest of each section by name."""

    revision: int = 0
    nonce: str = ''
    preset: str = ''
    author: str = ''
    summary: str = ''
    sections: dict[str, str] = field(factory=dict)


@frozen
class TeamEntry:
    """A team, and the SHA-256 digests of its API keys in hexadecimal."""

    name: str
    key_digests: list[str]


@frozen
class ConfigBundle:
    """A head with its sections' contents by digest, for peers and snapshots."""

    head: ConfigHead
    contents: dict[str, str]


@frozen
class Difference:
    """One section that differs between two revisions, with both contents."""

    section: str
    before: Any
    after: Any


def section_key(digest: str) -> str:
    """Return the key-value key of a section."""
    return f'config/section/{digest}'


def history_key(revision: int) -> str:
    """Return the key-value key of a revision's head in the history."""
    return f'config/history/{revision:08d}'


def content_digest(content: bytes) -> str:
    """Return the digest that names a section with this content."""
    return hashlib.blake2b(content, digest_size=16).hexdigest()


def preset_section(name: str) -> str:
    """Return the section name of a preset."""
    return f'preset/{name}'


def section_type(name: str) -> Any:
    """Return the type of a section's content."""
    if name.startswith('preset/'):
        return Preset
    return list[str] if name == DRAINS_SECTION else list[TeamEntry]


def team_section(team: str) -> str:
    """Return the name of the section that holds a team, one of 256 chosen by a hash."""
    group = hashlib.blake2b(team.encode(), digest_size=1).hexdigest()
    return f'teams/{group}'
