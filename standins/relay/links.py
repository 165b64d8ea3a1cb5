"""All links of a site."""

from __future__ import annotations

from typing import TYPE_CHECKING

from standins.relay.link import Link

if TYPE_CHECKING:
    from collections.abc import Iterable

LOG = "log"
"""Name of the log as an end of links."""


class Links:
    """Links by the names of their ends, all open at first."""

    __slots__ = ("_links",)

    def __init__(self) -> None:
        self._links: dict[tuple[str, str], Link] = {}

    def link(self, source: str, target: str) -> Link:
        """Return the link from one end to another."""
        return self._links.setdefault((source, target), Link())

    def cut(self, sources: Iterable[str], targets: Iterable[str]) -> None:
        """Cut what the sources send to the targets."""
        ends = list(targets)
        for source in sources:
            for target in ends:
                if source != target:
                    self.link(source, target).cut()

    def delay(
        self, sources: Iterable[str], targets: Iterable[str], delay_s: float
    ) -> None:
        """Delay what the sources send to the targets."""
        ends = list(targets)
        for source in sources:
            for target in ends:
                self.link(source, target).delay_s = delay_s

    def heal(self) -> None:
        """Open all links."""
        for link in self._links.values():
            link.heal()
