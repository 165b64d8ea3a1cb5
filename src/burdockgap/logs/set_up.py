"""Set-up of the logger, once per process."""

from __future__ import annotations

import logging
import sys
from typing import TYPE_CHECKING, TextIO

from loguru import logger

from burdockgap.logs.forwarder import Forwarder
from burdockgap.logs.json_sink import JsonSink, traceback_only

if TYPE_CHECKING:
    from burdockgap.settings.sections import LoggingSettings

_TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <7} {name}: {message}"


def set_up_logs(
    settings: LoggingSettings, *, stream: TextIO | None = None
) -> None:
    """
    Send log lines to a stream; earlier set-ups are replaced.

    Lines of libraries that use the standard logger are included.

    :param settings: form and level of the lines.
    :param stream: where they go, standard error by default.
    """
    stream = stream or sys.stderr
    level = settings.level.upper()
    logger.remove()
    # Variables stay out of tracebacks, since some hold secrets.
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
        handlers=[Forwarder()], level=logging.WARNING, force=True
    )
