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


def page() -> str:
    """Return the text of the page."""
    parts = [INTRODUCTION]
    for title, kind in SECTIONS:
        parts.append(f'## {title}\n\n{_paragraph(kind)}\n\n{_table(kind)}')
    parts.append(FLEET_INTRODUCTION)
    for title, kind in FLEET_SECTIONS:
        parts.append(f'## {title}\n\n{_paragraph(kind)}\n\n{_table(kind)}')
    return '\n'.join(parts)


def main() -> int:
    """Write the page; with --check, return 1 if it is out of date instead."""
    if '--check' in sys.argv:
        return 0 if PAGE.read_text(encoding='utf-8') == page() else 1
    PAGE.write_text(page(), encoding='utf-8')
    return 0


def _paragraph(kind: type) -> str:
    return ' '.join((kind.__doc__ or '').split())


def _table(kind: type) -> str:
    rows = ['| key | type | default |', '| --- | --- | --- |']
    for one in attrs.fields(kind):
        needed = one.default is attrs.NOTHING
        default = 'needed' if needed else f'`{one.default!r}`'
        name = getattr(one.type, '__name__', str(one.type))
        rows.append(f'| `{one.name}` | {name} | {default} |')
    return '\n'.join(rows) + '\n'


if __name__ == '__main__':
    sys.exit(main())
