"""Tests of `toucanlead check-config` and of the general command-line options."""

import pytest

from toucanlead.status import ExitStatus

from .utils.command import toucanlead

VALID_SETTINGS = """
[entry]
name = 'centro-1'
zone = 'centro-a'
region = 'centro'

[platform]
key_value = '10.0.0.5:2379'

[[services]]
name = 'dispatch'
address = '10.0.1.9:8000'

[[tools]]
name = 'book'
service = 'dispatch'
repeatable = false
"""


def check_config(tmp_path, text):
    path = tmp_path / 'entry.toml'
    path.write_text(text)
    return toucanlead('check-config', str(path))


class TestCheckConfig:
    def test_valid_file_passes(self, tmp_path):
        result = check_config(tmp_path, VALID_SETTINGS)
        assert result.status == ExitStatus.SUCCESS
        assert result.stdout.endswith('entry.toml: ok\n')

    @pytest.mark.parametrize(
        ('old', 'new', 'expected'),
        [
            ("zone = 'centro-a'", 'zone = 7', 'entry.zone'),
            ("zone = 'centro-a'", '', 'zone'),
            ("zone = 'centro-a'", "zone = 'centro-a'\nport = 70000", 'entry.port: 70000'),
            ("zone = 'centro-a'", "zone = 'centro-a'\ncolour = 'red'", 'colour'),
            ('repeatable = false', "repeatable = 'no'", 'repeatable'),
            ("service = 'dispatch'", "service = 'nobody'", "tools[0].service: 'nobody'"),
            ('[platform]', '[platform', 'not TOML'),
            ('[platform]', '[preset]\nattempts = 0\n[platform]', 'attempts'),
        ],
    )
    def test_invalid_value_is_named(self, tmp_path, old, new, expected):
        result = check_config(tmp_path, VALID_SETTINGS.replace(old, new, 1))
        assert result.status == ExitStatus.BAD_CONFIG
        assert expected in result.stderr
        assert 'Traceback' not in result.stderr

    def test_all_errors_are_reported_together(self, tmp_path):
        text = VALID_SETTINGS.replace("zone = 'centro-a'", 'zone = 7').replace('= false', "= 'no'")
        result = check_config(tmp_path, text)
        assert 'entry.zone' in result.stderr
        assert 'repeatable' in result.stderr

    def test_missing_file_gives_one_line(self, tmp_path):
        result = toucanlead('check-config', str(tmp_path / 'none.toml'))
        assert result.status == ExitStatus.BAD_CONFIG
        assert result.stderr.count('\n') == 1


class TestCommandLine:
    def test_version(self):
        assert toucanlead('--version').stdout.startswith('toucanlead 0.')

    def test_help_lists_commands(self):
        result = toucanlead('--help')
        assert result.status == ExitStatus.SUCCESS
        for command in ('demo', 'entry', 'check-config'):
            assert command in result.stdout

    def test_unknown_command_is_a_usage_error(self):
        assert toucanlead('no-such-command').status == ExitStatus.USAGE
