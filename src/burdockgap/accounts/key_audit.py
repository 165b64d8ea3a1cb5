"""Log lines about keys that appear or go."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.accounts.key_directory import KeyDirectory

_MAX_LINES = 200
"""Lines per configuration, since more would displace others."""


class KeyAudit:
    """
    Logs the difference between the keys of successive configurations.

    :param on_event: logs an event with its fields.
    """

    __slots__ = ("_directory", "_known", "_on_event")

    def __init__(
        self, on_event: Callable[[str, dict[str, object]], None]
    ) -> None:
        self._on_event = on_event
        self._directory: KeyDirectory | None = None
        self._known: set[tuple[str, str]] = set()

    def note(self, directory: KeyDirectory | None, version: int) -> None:
        """Log the keys that a configuration adds or removes."""
        if directory is self._directory:
            return
        self._directory = directory
        keys = directory.digest_prefixes() if directory else set()
        changes = [("added", *key) for key in sorted(keys - self._known)]
        changes += [("removed", *key) for key in sorted(self._known - keys)]
        self._known = keys
        for change, account, digest in changes[:_MAX_LINES]:
            self._on_event(
                "account_key",
                {
                    "change": change,
                    "account": account,
                    "digest": digest,
                    "version": version,
                },
            )
        if len(changes) > _MAX_LINES:
            self._on_event(
                "account_keys",
                {"not_listed": len(changes) - _MAX_LINES, "version": version},
            )
