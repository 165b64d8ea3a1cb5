"""Sink that writes log records as JSON lines."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, TextIO

if TYPE_CHECKING:
    from loguru import Message, Record


def traceback_only(_record: Record) -> str:
    """Return a loguru format that contains only the traceback."""
    return "{exception}"


class JsonSink:
    """
    Writes each log record as one line of JSON.

    Add it to the logger with :func:`traceback_only` as the format.

    :param stream: the stream that the lines are written to.
    """

    __slots__ = ("_stream",)

    def __init__(self, stream: TextIO) -> None:
        self._stream = stream

    def __call__(self, message: Message) -> None:
        """Write one record and flush the stream."""
        record = message.record
        line: dict[str, Any] = {
            "at": record["time"].isoformat(timespec="milliseconds"),
            "level": record["level"].name.lower(),
            "module": record["name"],
            "message": record["message"],
            **record["extra"],
        }
        if record["exception"] is not None:
            line["traceback"] = str(message).strip()
        self._stream.write(json.dumps(line, default=str) + "\n")
        self._stream.flush()
