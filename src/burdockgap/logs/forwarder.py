"""Forwarding of standard library log records to loguru."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from loguru import Record

_LEVELS = {
    logging.DEBUG: "DEBUG",
    logging.INFO: "INFO",
    logging.WARNING: "WARNING",
    logging.ERROR: "ERROR",
    logging.CRITICAL: "CRITICAL",
}


class InterceptHandler(logging.Handler):
    """Forwards log records of libraries to loguru."""

    def emit(self, record: logging.LogRecord) -> None:
        """Forward a record under the name of the library's logger."""

        def set_logger_name(forwarded: Record) -> None:
            """Replace this module's name in the record."""
            forwarded["name"] = record.name

        level = _LEVELS.get(record.levelno, record.levelno)
        forwarding_logger = logger.patch(set_logger_name).opt(
            exception=record.exc_info
        )
        forwarding_logger.log(level, record.getMessage())
