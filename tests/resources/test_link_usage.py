"""Detection of a full network link."""

from __future__ import annotations

import pytest

from burdockgap.resources.link_usage import LinkUsage

RATE = 1000.0
"""Bytes per second."""


class Harness:
    """A link of which each second is checked at its end."""

    def __init__(self):
        self.lines = []
        self.openings = []
        self.link = LinkUsage(
            RATE,
            lambda event, fields: self.lines.append((event, fields)),
            lambda *opening: self.openings.append(opening),
        )
        self.now = 10.0
        self.link.check(self.now, 0.0)

    def pass_second(self, *, received=0, sent=0, opening_s=0.0, delay_s=0.0):
        """Let bytes of callers and peers pass; return the new lines."""
        self.lines.clear()
        self.link.counters["peers"].received += received
        self.link.counters["callers"].sent += sent
        self.link.note_opening("store", opening_s, True)
        self.now += 1.0
        self.link.check(self.now, delay_s)
        return [
            (fields["direction"], fields["state"]) for _, fields in self.lines
        ]


@pytest.fixture
def harness():
    return Harness()


def test_full_direction_is_logged_once(harness):
    assert harness.pass_second(received=900) == [("received", "full")]
    fields = harness.lines[0][1]
    assert fields["share"] == 0.9
    assert fields["bytes"]["peers"] == 900
    assert harness.pass_second(received=700) == []
    assert harness.pass_second(received=100) == [("received", "free")]
    assert harness.pass_second(sent=850) == [("sent", "full")]


def test_late_opening_counts_as_full(harness):
    assert harness.pass_second(opening_s=0.5) == [("received", "full")]
    assert harness.lines[0][1]["opening_s"] == 0.5
    assert harness.pass_second() == [("received", "free")]
    assert harness.openings[0] == ("store", 0.5, True)


def test_longest_delay_of_the_event_loop_is_logged(harness):
    harness.link.check(harness.now + 0.5, 0.3)
    harness.pass_second(received=900)
    assert harness.lines[0][1]["loop_delay_s"] == 0.3
