"""Logging in logfmt: one line of key=value pairs per event, written without blocking."""

import asyncio
import logging
import os
import select
from collections import deque
from typing import TextIO

import structlog

MAX_BUFFER_BYTES = 262_144  # two seconds of logging by a busy entry
MAX_WRITE_BYTES = 4096  # PIPE_BUF: a pipe that polls as writable takes this much without blocking
RETRY_DELAY_S = 0.05
FINAL_FLUSH_TIMEOUT_S = 0.2


def configure_logs(stream: TextIO, level: str = 'warning') -> None:
    """Write events at or above `level` to `stream`."""
    level_number = logging.getLevelNamesMapping()[level.upper()]
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.LogfmtRenderer(
                key_order=['timestamp', 'level', 'event'], bool_as_flag=False
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level_number),
        logger_factory=structlog.PrintLoggerFactory(stream),
        cache_logger_on_first_use=False,
    )


class LogWriter:
    """Writes log lines to a file descriptor without blocking on a slow reader.

    Lines wait in a buffer of limited size. Lines that do not fit are dropped, and
    their count is logged once the buffer has been written out.
    """

    def __init__(self, fd: int) -> None:
        """`fd` keeps its flags; it is not set to non-blocking mode."""
        self._fd = fd
        self._poll = select.poll()
        self._poll.register(fd, select.POLLOUT)
        self._lines: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._write_scheduled = False
        self.dropped = 0

    def write(self, text: str) -> int:
        """Buffer the text; the event loop writes it after the current callback.

        Without a running event loop, write it at once.
        """
        data = text.encode('utf-8', 'replace')
        if self._buffered_bytes + len(data) > MAX_BUFFER_BYTES:
            self.dropped += 1
        else:
            self._lines.append(data)
            self._buffered_bytes += len(data)
        self._schedule_write(0.0)
        return len(text)

    def flush(self) -> None:
        """Do nothing: the event loop writes the buffered lines."""

    def write_buffered(self) -> None:
        """Write as many buffered lines as the descriptor accepts without blocking."""
        self._write_scheduled = False
        while self._lines:
            if not self._poll.poll(0):
                self._schedule_write(RETRY_DELAY_S)
                return
            chunk = self._next_chunk()
            try:
                written = os.write(self._fd, chunk)
            except OSError:  # the reader has closed its end
                self._lines.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written < len(chunk):
                self._lines.appendleft(chunk[written:])
        if self.dropped:
            count, self.dropped = self.dropped, 0
            self.write(f'level=warning event=log_lines_dropped count={count}\n')

    def close(self) -> None:
        """Write the remaining lines, waiting briefly for the reader."""
        if self._poll.poll(1e3 * FINAL_FLUSH_TIMEOUT_S):
            self.write_buffered()

    def _next_chunk(self) -> bytes:
        """Remove and return buffered lines, up to the size of one write."""
        chunk = self._lines.popleft()
        if len(chunk) > MAX_WRITE_BYTES:
            self._lines.appendleft(chunk[MAX_WRITE_BYTES:])
            return chunk[:MAX_WRITE_BYTES]
        parts = [chunk]
        size = len(chunk)
        while self._lines and size + len(self._lines[0]) <= MAX_WRITE_BYTES:
            part = self._lines.popleft()
            parts.append(part)
            size += len(part)
        return b''.join(parts)

    def _schedule_write(self, delay_s: float) -> None:
        if self._write_scheduled:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.write_buffered()
            return
        self._write_scheduled = True
        if delay_s:
            loop.call_later(delay_s, self.write_buffered)
        else:
            loop.call_soon(self.write_buffered)
