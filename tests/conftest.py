"""Redirects log events to a buffer, and expects the known failing tests to fail."""

import io
from pathlib import Path

import pytest

from toucanlead.logs import configure_logs


@pytest.fixture(autouse=True)
def event_log():
    """Return the buffer that log events are written to."""
    stream = io.StringIO()
    configure_logs(stream, 'info')
    return stream


def known_red_tests():
    """Return the ids of the tests that KNOWN-RED.txt lists."""
    lines = (Path(__file__).parent.parent / 'KNOWN-RED.txt').read_text().splitlines()
    entries = (line.partition('|')[0].strip() for line in lines if not line.startswith('#'))
    return {entry for entry in entries if entry.startswith('tests/')}


def pytest_collection_modifyitems(items):
    """Expect the tests that KNOWN-RED.txt lists to fail, and no others."""
    known = known_red_tests()
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason='listed in KNOWN-RED.txt', strict=True))
