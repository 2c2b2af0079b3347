"""The documentation agrees with the code."""

import re
import subprocess
import sys
from pathlib import Path

from toucanlead_core.errors import Reason, RetryReason

from .utils.command import toucanlead

ROOT = Path(__file__).parent.parent
OPERATIONS = (ROOT / 'docs' / 'OPERATIONS.md').read_text()


class TestPages:
    def test_the_settings_page_is_up_to_date(self):
        command = [sys.executable, str(ROOT / 'tools' / 'write_settings_page.py'), '--check']
        assert subprocess.run(command).returncode == 0

    def test_every_refusal_and_retry_reason_is_explained(self):
        for reason in [*Reason, *RetryReason]:
            assert f'| {reason.value} |' in OPERATIONS, reason

    def test_every_command_on_a_page_exists(self):
        help_text = toucanlead('--help').stdout
        for page in [ROOT / 'README.md', *(ROOT / 'docs').glob('*.md')]:
            for command in re.findall(r'^    toucanlead ([\w-]+)', page.read_text(), re.M):
                assert re.search(rf'\b{command}\b', help_text), (page.name, command)

    def test_every_link_between_pages_leads_somewhere(self):
        for page in [ROOT / 'README.md', *(ROOT / 'docs').rglob('*.md')]:
            for target in re.findall(r'\]\(([\w./-]+)\)', page.read_text()):
                assert (page.parent / target).exists(), (page.name, target)
