"""Configuration of the process's logger."""

from __future__ import annotations

import logging
import sys
from typing import TYPE_CHECKING, TextIO

from loguru import logger

from burdockgap.logs.forwarder import InterceptHandler
from burdockgap.logs.json_sink import JsonSink, traceback_only

if TYPE_CHECKING:
    from burdockgap.settings.sections import LoggingSettings

_TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <7} {name}: {message}"


def set_up_logs(
    settings: LoggingSettings, *, stream: TextIO | None = None
) -> None:
    """
    Send log lines to a stream; replaces an earlier configuration.

    Warnings and errors that libraries log with the standard library are
    included.

    :param settings: format and minimum level of the lines.
    :param stream: the stream to write to, standard error by default.
    """
    stream = stream or sys.stderr
    level = settings.level.upper()
    logger.remove()
    # diagnose=False keeps variables out of tracebacks, since some
    # hold secrets.
    if settings.format == "json":
        logger.add(
            JsonSink(stream),
            level=level,
            format=traceback_only,
            diagnose=False,
        )
    else:
        logger.add(
            stream,
            level=level,
            format=_TEXT_FORMAT,
            colorize=False,
            diagnose=False,
        )
    logging.basicConfig(
        handlers=[InterceptHandler()], level=logging.WARNING, force=True
    )
