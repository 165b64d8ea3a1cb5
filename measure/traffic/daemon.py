"""
Runs a daemon with one part of its traffic policy replaced.

``python -m measure.traffic.daemon VARIANT daemon --settings FILE``
"""

from __future__ import annotations

import itertools
import random
import sys
from typing import TYPE_CHECKING, Any

import burdockgap.daemon.core
import burdockgap.gate.target_state
from burdockgap.gate.ramp import Ramp
from burdockgap.router.chooser import Chooser
from burdockgap.run import main

if TYPE_CHECKING:
    from burdockgap.records.session_entry import SessionEntry


class RandomChooser(Chooser):
    """Chooses a server at random, with equal probability."""

    __slots__ = ()

    def choose(self, candidates: list[SessionEntry], **_: Any) -> SessionEntry:
        """Return one of the candidates, which must not be empty."""
        return random.choice(candidates)


class RoundRobinChooser(Chooser):
    """Chooses the servers in turn."""

    __slots__ = ("_count",)

    def __init__(self, **parts: Any) -> None:
        super().__init__(**parts)
        self._count = itertools.count()

    def choose(self, candidates: list[SessionEntry], **_: Any) -> SessionEntry:
        """Return one of the candidates, which must not be empty."""
        return candidates[next(self._count) % len(candidates)]


class FlatRamp(Ramp):
    """Gives a cold target as many slots as a warm one."""

    __slots__ = ()

    def configure(self, *, start: int, slots: int, step: int) -> None:
        """Set the limit to all slots from the start."""
        del start
        super().configure(start=slots, slots=slots, step=step)
        self.limit = self.slots


_REPLACEMENTS = {
    "random": (burdockgap.daemon.core, "Chooser", RandomChooser),
    "round-robin": (burdockgap.daemon.core, "Chooser", RoundRobinChooser),
    "no-ramp": (burdockgap.gate.target_state, "Ramp", FlatRamp),
}


if __name__ == "__main__":
    setattr(*_REPLACEMENTS[sys.argv[1]])
    sys.exit(main(sys.argv[2:]))
