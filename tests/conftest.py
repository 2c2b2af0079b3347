"""Keeps events of entries under test out of the commands' output."""

import io

import pytest

from toucanlead.logs import configure_logs


@pytest.fixture(autouse=True)
def event_log():
    """Collect events; a test may read them."""
    stream = io.StringIO()
    configure_logs(stream, 'info')
    return stream
