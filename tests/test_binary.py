"""The packaged executable, run in an empty folder."""

import os
import subprocess
from pathlib import Path

from toucanlead import __version__

from .test_settings import VALID_SETTINGS

BINARY = Path(__file__).parent.parent / 'dist' / 'toucanlead'


def run(tmp_path, *args):
    variables = {'PATH': os.environ['PATH'], 'SHIV_ROOT': str(tmp_path / 'cache')}
    return subprocess.run(
        [str(BINARY), *args],
        cwd=tmp_path,
        env=variables,
        capture_output=True,
        text=True,
        timeout=60,
    )


class TestBinary:
    def test_version_and_check_config(self, tmp_path):
        result = run(tmp_path, '--version')
        assert result.stdout == f'toucanlead {__version__}\n', result.stderr
        assert (tmp_path / 'cache').is_dir()
        (tmp_path / 'entry.toml').write_text(VALID_SETTINGS)
        assert run(tmp_path, 'check-config', 'entry.toml').returncode == 0
        (tmp_path / 'entry.toml').write_text('[entry]\n')
        bad = run(tmp_path, 'check-config', 'entry.toml')
        assert bad.returncode == 3
        assert 'Traceback' not in bad.stderr
