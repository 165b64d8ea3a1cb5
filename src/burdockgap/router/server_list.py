"""The servers that may take unkeyed requests, kept between changes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.router.candidates import unkeyed_candidates

if TYPE_CHECKING:
    from burdockgap.fold.folds import Folds
    from burdockgap.records.session_entry import SessionEntry


class ServerList:
    """
    Works out each service's servers once per change of the folds.

    :param folds: the known assignment and configuration.
    """

    __slots__ = ("_by_service", "_folds", "_version")

    def __init__(self, folds: Folds) -> None:
        self._folds = folds
        self._version = folds.version
        self._by_service: dict[str, list[SessionEntry]] = {}

    def of(self, service: str) -> list[SessionEntry]:
        """Return the servers of a service; the list is shared."""
        folds = self._folds
        if self._version != folds.version:
            self._by_service.clear()
            self._version = folds.version
        known = self._by_service.get(service)
        if known is None:
            known = unkeyed_candidates(folds.control, folds.config, service)
            self._by_service[service] = known
        return known
