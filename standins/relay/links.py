"""The links of a site."""

from __future__ import annotations

from typing import TYPE_CHECKING

from standins.relay.link import Link

if TYPE_CHECKING:
    from collections.abc import Iterable

LOG = "log"
"""Name of the log as an endpoint of links."""


class Links:
    """Links by the names of their endpoints; initially none is cut."""

    __slots__ = ("_links",)

    def __init__(self) -> None:
        self._links: dict[tuple[str, str], Link] = {}

    def link(self, source: str, target: str) -> Link:
        """Return the link from one endpoint to another."""
        return self._links.setdefault((source, target), Link())

    def cut(self, sources: Iterable[str], targets: Iterable[str]) -> None:
        """Cut all links from the sources to the targets."""
        target_names = list(targets)
        for source in sources:
            for target in target_names:
                if source != target:
                    self.link(source, target).cut()

    def delay(
        self, sources: Iterable[str], targets: Iterable[str], delay_s: float
    ) -> None:
        """Set the latency of all links from the sources to targets."""
        target_names = list(targets)
        for source in sources:
            for target in target_names:
                self.link(source, target).delay_s = delay_s

    def heal(self) -> None:
        """Heal all links and remove their latency."""
        for link in self._links.values():
            link.heal()
