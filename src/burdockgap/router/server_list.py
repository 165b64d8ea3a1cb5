"""Cached lists of the servers for unkeyed requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.router.candidates import unkeyed_candidates

if TYPE_CHECKING:
    from burdockgap.fold.folds import Folds
    from burdockgap.records.session_entry import SessionEntry


class ServerList:
    """
    Caches the servers of each service until the folds change.

    :param folds: the known assignment and configuration.
    """

    __slots__ = ("_by_service", "_folds", "_version")

    def __init__(self, folds: Folds) -> None:
        self._folds = folds
        self._version = folds.version
        self._by_service: dict[str, list[SessionEntry]] = {}

    def of(self, service: str) -> list[SessionEntry]:
        """Return a service's servers; do not modify the shared list."""
        folds = self._folds
        if self._version != folds.version:
            self._by_service.clear()
            self._version = folds.version
        servers = self._by_service.get(service)
        if servers is None:
            servers = unkeyed_candidates(folds.control, folds.config, service)
            self._by_service[service] = servers
        return servers
