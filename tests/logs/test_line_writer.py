"""Structured log lines, written without blocking."""

from __future__ import annotations

import json
import os

import pytest

from burdockgap.logs.line_writer import LineWriter


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def test_lines_are_structured(pipe):
    reader, writer = pipe
    counted = []
    lines = LineWriter(fd=writer, name="m1", count=counted.append)
    lines.write("gate", {"id": "r1", "ms": 5})
    lines.flush()
    line = json.loads(os.read(reader, 65536))
    assert line.pop("at") > 0
    assert line == {"node": "m1", "event": "gate", "id": "r1", "ms": 5}
    assert counted == ["gate"]


def test_blocked_reader_loses_lines_without_blocking_the_writer(pipe):
    reader, writer = pipe
    counted = []
    lines = LineWriter(fd=writer, name="m1", count=counted.append)
    for number in range(10000):
        lines.write("gate", {"number": number, "text": "x" * 500})
        if number % 100 == 0:
            lines.flush()
    assert lines.dropped > 0
    assert len(counted) == 10000
    os.set_blocking(reader, False)
    data = b""
    while True:
        lines.flush()
        try:
            data += os.read(reader, 1 << 20)
        except BlockingIOError:
            break
    whole = [json.loads(line) for line in data.splitlines()]
    assert len(whole) == 10000 - lines.dropped
