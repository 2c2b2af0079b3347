"""Redirects log events to a buffer, so that they do not mix with command output."""

import io

import pytest

from toucanlead.logs import configure_logs


@pytest.fixture(autouse=True)
def event_log():
    """Return the buffer that log events are written to."""
    stream = io.StringIO()
    configure_logs(stream, 'info')
    return stream
