"""Forwarding of the standard library's log records."""

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


class Forwarder(logging.Handler):
    """Passes records of libraries on to the logger of this program."""

    def emit(self, record: logging.LogRecord) -> None:
        """Pass a record on under the library's name."""

        def rename(forwarded: Record) -> None:
            """Replace this module's name."""
            forwarded["name"] = record.name

        level = _LEVELS.get(record.levelno, record.levelno)
        renamed = logger.patch(rename).opt(exception=record.exc_info)
        renamed.log(level, record.getMessage())
