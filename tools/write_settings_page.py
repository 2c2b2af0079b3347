"""Generates docs/settings.md from the settings classes.

The docstrings of the classes become the text of the page.
"""

import sys
from pathlib import Path

import attrs

from toucanlead_core import process_settings
from toucanlead_entry import settings
from toucanlead_policy.preset import Preset

PAGE = Path(__file__).parent.parent / 'docs' / 'settings.md'
SECTIONS = (
    ('[entry]', settings.EntrySection),
    ('[platform]', settings.PlatformSection),
    ('[[replicas]]', settings.ReplicaSection),
    ('[[services]]', settings.ServiceSection),
    ('[[tools]]', settings.ToolSection),
    ('[[teams]]', settings.TeamSection),
    ('[limits]', settings.LimitsSection),
    ('[preset]', Preset),
)
FLEET_SECTIONS = (
    ('[process]', process_settings.ProcessSection),
    ('[listen]', process_settings.ListenSection),
    ('[service]', process_settings.ServiceSection),
    ('[archive]', process_settings.ArchiveSection),
    ('[tolerance]', process_settings.ToleranceSection),
    ('[times]', process_settings.TimesSection),
)
FLEET_INTRODUCTION = """# On a fleet

Settings of `toucanlead entry --adapter platform` and `toucanlead archive`, checked by
`toucanlead check-config FILE --adapter platform`. A table `[zones]` names the region of
each availability zone. The file is read again on SIGHUP and when it changes; addresses,
names and the disk count from the next start on, and a file with errors changes nothing.
"""
INTRODUCTION = """# Settings

Written by `tools/write_settings_page.py` from the classes that read the file. Settings
are TOML; `toucanlead check-config FILE` names every error at once. Unknown keys are
refused. At the top level stand `admin_key_digests` and `viewer_key_digests`, lists of
SHA-256 digests of operators' keys in hexadecimal.
"""


def render_page() -> str:
    """Return the text of the page."""
    parts = [INTRODUCTION]
    for title, section in SECTIONS:
        parts.append(f'## {title}\n\n{_description(section)}\n\n{_table(section)}')
    parts.append(FLEET_INTRODUCTION)
    for title, section in FLEET_SECTIONS:
        parts.append(f'## {title}\n\n{_description(section)}\n\n{_table(section)}')
    return '\n'.join(parts)


def main() -> int:
    """Write the page; with --check, return 1 if it is out of date instead."""
    if '--check' in sys.argv:
        return 0 if PAGE.read_text(encoding='utf-8') == render_page() else 1
    PAGE.write_text(render_page(), encoding='utf-8')
    return 0


def _description(section: type) -> str:
    return ' '.join((section.__doc__ or '').split())


def _table(section: type) -> str:
    rows = ['| key | type | default |', '| --- | --- | --- |']
    for setting in attrs.fields(section):
        required = setting.default is attrs.NOTHING
        default = 'needed' if required else f'`{setting.default!r}`'
        name = getattr(setting.type, '__name__', str(setting.type))
        rows.append(f'| `{setting.name}` | {name} | {default} |')
    return '\n'.join(rows) + '\n'


if __name__ == '__main__':
    sys.exit(main())
