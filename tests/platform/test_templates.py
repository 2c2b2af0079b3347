"""The settings templates, filled in as the platform does, with fields that may be missing."""

import json
import re
from pathlib import Path

import pytest

from toucanlead_core.process_settings import LimitsSection, ProcessSettings, parse_settings

DEPLOY = Path(__file__).parents[2] / 'deploy'
TEMPLATES = ('entry', 'archive')
FIELDS = {
    'nodeName': 'front-centro-a-1',
    'ipAddress': '10.1.0.38',
    'zone': 'centro-a',
    'region': 'centro',
    'firstStart': True,
    'contracts': ['base', 'drain'],
    'internalPortRange': [7380, 7395],
    'seedNodes': ['10.1.0.38:8144', '10.2.0.40:8144'],
    'listenAddresses': {
        'front': '10.1.0.38:8149',
        'ready': '10.1.0.38:8141',
        'control': '10.1.0.38:8144',
    },
    'dataDirectory': '/data',
    'limits': {'memoryMb': 128, 'fileDescriptors': 4100, 'diskMb': 390},
    'faultTolerance': {'machines': 1},
    'bounds': {'graceS': 8},
    'platform': {'address': '10.200.1.7:8142', 'writesPerS': 400, 'readsPerS': 2000},
    'zones': {'centro-a': 'centro', 'norte-a': 'norte'},
}
MAY_BE_MISSING = ('contracts', 'limits.memoryMb', 'limits.fileDescriptors')
SECTION = re.compile(r'\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}', re.S)
VALUE = re.compile(r'\{\{([\w.@]+)(\|json)?\}\}')


def look_up(name, scopes):
    """Return the value of a dotted name from the innermost scope that has it."""
    for scope in scopes:
        if name in scope:
            return scope[name]
    value = scopes[-1]
    for part in name.split('.'):
        value = value[int(part)] if isinstance(value, list) else (value or {}).get(part)
    return value


def render(template, scopes):
    """Fill in a template: values, values as JSON, and sections."""

    def fill_section(match):
        value = look_up(match[2], scopes)
        if match[1] == '^':
            return '' if value else render(match[3], scopes)
        if isinstance(value, dict | list):
            items = value.items() if isinstance(value, dict) else enumerate(value)
            return ''.join(
                render(match[3], [{'.': each, '@': key}, *scopes]) for key, each in items
            )
        return render(match[3], [{'.': value}, *scopes]) if value else ''

    def fill_value(match):
        value = look_up(match[1], scopes)
        if value is None:
            return ''
        return json.dumps(value) if match[2] else str(value)

    return VALUE.sub(fill_value, SECTION.sub(fill_section, template))


def without(name):
    """Return the fields without one of them."""
    fields = json.loads(json.dumps(FIELDS))
    *path, last = name.split('.')
    table = fields
    for part in path:
        table = table[part]
    del table[last]
    return fields


def settings(template, fields):
    """Return the settings of a process that gets these fields."""
    text = render((DEPLOY / f'{template}.toml.template').read_text(), [fields])
    return parse_settings(text, template, ProcessSettings)


@pytest.mark.parametrize('template', TEMPLATES)
class TestTemplates:
    def test_all_fields_arrive(self, template):
        result = settings(template, FIELDS)
        assert result.limits == LimitsSection(128, 4100)
        assert result.service.seeds == FIELDS['seedNodes']
        assert result.zones == FIELDS['zones']
        assert result.process.features == (FIELDS['contracts'] if template == 'entry' else [])

    @pytest.mark.parametrize('missing', MAY_BE_MISSING)
    def test_a_missing_field_has_its_default(self, template, missing):
        result = settings(template, without(missing))
        default = LimitsSection()
        has_memory = missing != 'limits.memoryMb'
        has_descriptors = missing != 'limits.fileDescriptors'
        assert result.limits.memory_mb == (128 if has_memory else default.memory_mb)
        assert result.limits.file_descriptors == (
            4100 if has_descriptors else default.file_descriptors
        )
        has_features = template == 'entry' and missing != 'contracts'
        assert result.process.features == (FIELDS['contracts'] if has_features else [])

    def test_all_of_them_may_be_missing(self, template):
        fields = without('contracts') | {'limits': {'diskMb': 390}}
        assert settings(template, fields).limits == LimitsSection()
