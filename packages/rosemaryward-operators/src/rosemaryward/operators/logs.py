"""Structured logging as JSON lines."""

import logging
import sys
from typing import TextIO

import structlog

from rosemaryward.decisions.errors import SettingsError

__all__ = ["LEVELS", "configure_logging"]

LEVELS = ("debug", "info", "warning", "error")


def configure_logging(level: str = "info", stream: TextIO | None = None) -> None:
    """Write log events of a level and above as JSON lines.

    Parameters
    ----------
    level : str
        Lowest level that is written, one of `LEVELS`.
    stream : file, optional
        Destination, standard error by default.

    Raises
    ------
    SettingsError
        If the level is unknown.
    """
    if level not in LEVELS:
        raise SettingsError(f"log level: expected one of {LEVELS}, found {level!r}")
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            getattr(logging, level.upper())
        ),
        logger_factory=structlog.PrintLoggerFactory(stream or sys.stderr),
        cache_logger_on_first_use=False,
    )
