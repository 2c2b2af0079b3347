"""Logging: one line of key=value pairs for each event."""

import logging
from typing import TextIO

import structlog


def configure_logs(stream: TextIO, level: str = 'warning') -> None:
    """Send events at or above a level to a stream."""
    number = logging.getLevelNamesMapping()[level.upper()]
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.LogfmtRenderer(
                key_order=['timestamp', 'level', 'event'], bool_as_flag=False
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(number),
        logger_factory=structlog.PrintLoggerFactory(stream),
        cache_logger_on_first_use=False,
    )
