from __future__ import annotations

import io
import json
import logging

import pytest
from loguru import logger

from burdockgap.logs import set_up_logs
from tests.builders import make_settings


@pytest.fixture
def set_up():
    """Return a function that sets up the logger on a new stream."""
    root = logging.getLogger()
    handlers, level = root.handlers[:], root.level

    def run(**values):
        stream = io.StringIO()
        set_up_logs(make_settings(logging=values).logging, stream=stream)
        return stream

    yield run
    logger.remove()
    root.handlers[:] = handlers
    root.setLevel(level)


def test_text_lines_by_level(set_up):
    stream = set_up(level="warning")
    logger.info("hidden")
    logger.warning("term {}", 3)
    (line,) = stream.getvalue().splitlines()
    assert line.endswith(f" WARNING {__name__}: term 3")


def test_json_line(set_up):
    stream = set_up(format="json")
    logger.bind(term=3).info("first\nsecond {braces}")
    line = json.loads(stream.getvalue())
    assert line.pop("at")
    assert line == {
        "level": "info",
        "module": __name__,
        "message": "first\nsecond {braces}",
        "term": 3,
    }


@pytest.mark.parametrize("form", ["text", "json"])
def test_traceback_without_variables(set_up, form):
    stream = set_up(format=form)
    secret = "hunter" + str(2)
    try:
        raise ValueError(len(secret))
    except ValueError:
        logger.exception("failed")
    assert "ValueError: 7" in stream.getvalue()
    assert "hunter2" not in stream.getvalue()
    if form == "json":
        assert "ValueError: 7" in json.loads(stream.getvalue())["traceback"]


def test_standard_library_lines(set_up):
    stream = set_up(format="json")
    logging.getLogger("some.library").warning("odd %s {}", "thing")
    line = json.loads(stream.getvalue())
    assert (line["module"], line["level"]) == ("some.library", "warning")
    assert line["message"] == "odd thing {}"


def test_second_set_up_replaces_first(set_up):
    first, second = set_up(), set_up()
    logger.warning("once")
    assert first.getvalue() == ""
    assert second.getvalue().count("once") == 1
