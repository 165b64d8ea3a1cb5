"""The documents that operators published, as this daemon knows them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.metadata.keyed_store import Position
    from burdockgap.routing.routing_config import RoutingConfig

REWRITE_TIMEOUT_S = 2.0
"""Time for operators to write again what a restored store has lost;
their lost documents are back in about this time."""


class DataCentreOut:
    """A data centre that operators took out of service."""

    __slots__ = ("data_centre",)

    def __init__(self, data_centre: str) -> None:
        self.data_centre = data_centre


class DocumentDecoder(Protocol):
    """Decodes operators' documents from their stored form."""

    def decode(
        self, key: str, value: bytes
    ) -> RoutingConfig | DataCentreOut | None:
        """
        Return the decoded document, ``None`` if its key is unknown.

        :raises ValueError: if the document is invalid; the message says
            what is wrong.
        """
        ...


class Documents:
    """
    The configuration in force and the data centres out of service.

    A store that was restored from an older copy contradicts what is
    known here until operators have written their lost documents again.
    The configuration never reverts. Other documents that the copy
    lacks, or has although they were withdrawn, change after
    :data:`REWRITE_TIMEOUT_S`, unless operators write them before.

    :param decoder: decodes the documents.
    :param on_change: called after each change.
    :param on_event: logs which documents take effect or are refused.
    :ivar position: position in the store up to which the documents are
        known.
    :ivar config: the configuration in force, ``None`` before the first.
    :ivar data_centres_out: data centres that are out of service, with
        the time on the event loop's clock at which this was learned.
    """

    __slots__ = (
        "_config_key",
        "_contested",
        "_contested_timer",
        "_decoder",
        "_on_change",
        "_on_event",
        "_values",
        "_withdrawn",
        "config",
        "data_centres_out",
        "position",
    )

    def __init__(
        self,
        decoder: DocumentDecoder,
        *,
        on_change: Callable[[], None],
        on_event: Callable[[str, dict[str, object]], None],
    ) -> None:
        self._decoder = decoder
        self._on_change = on_change
        self._on_event = on_event
        self._values: dict[str, bytes] = {}
        self._withdrawn: set[str] = set()
        self._contested: dict[str, bytes | None] = {}
        self._contested_timer: asyncio.TimerHandle | None = None
        self._config_key = ""
        self.position: Position = (0, 0)
        self.config: RoutingConfig | None = None
        self.data_centres_out: dict[str, float] = {}

    @property
    def stored(self) -> dict[str, bytes]:
        """
        The documents by key as the store has them.

        In place of an older or invalid configuration of the store, it
        contains the one that is in force.
        """
        values = {**self._values, **self._contested}
        return {
            key: value for key, value in values.items() if value is not None
        }

    @property
    def config_version(self) -> int:
        """Version of the configuration in force, 0 if there is none."""
        return self.config.version if self.config is not None else 0

    def replace(
        self, values: dict[str, bytes], position: Position, source: str
    ) -> None:
        """
        Replace all documents if the given position is newer.

        If it is not, take over only a newer configuration, which the
        store may have lost after the source read it.
        """
        if position <= self.position and self.config is not None:
            self._take_newer_config(values, source)
            return
        records: list[tuple[str, bytes | None]] = list(values.items())
        records += [
            (key, None)
            for key in self._values
            if key not in values and key != self._config_key
        ]
        if position[0] > self.position[0]:
            self._contest(
                {
                    key: value
                    for key, value in records
                    if value is None or key in self._withdrawn
                }
            )
        # The copy itself does not settle what it has contested.
        records = [
            (key, value)
            for key, value in records
            if key not in self._contested or self._contested[key] != value
        ]
        self.apply(records, position, source)

    def _take_newer_config(
        self, values: dict[str, bytes], source: str
    ) -> None:
        before = self.config_version
        value = values.get(self._config_key)
        if value is not None:
            self._apply_one(self._config_key, value, source)
        if self.config_version > before:
            self._on_change()

    def apply(
        self,
        records: list[tuple[str, bytes | None]],
        position: Position,
        source: str,
    ) -> None:
        """Apply changed documents in order."""
        for key, value in records:
            self._contested.pop(key, None)
            self._apply_one(key, value, source)
        self.position = max(self.position, position)
        self._on_change()

    def _contest(self, records: dict[str, bytes | None]) -> None:
        """Defer changes that only the restored copy shows."""
        if self._contested_timer is not None:
            self._contested_timer.cancel()
            self._contested_timer = None
        self._contested = records
        if records:
            self._contested_timer = asyncio.get_running_loop().call_later(
                REWRITE_TIMEOUT_S, self._apply_contested
            )

    def _apply_contested(self) -> None:
        self._contested_timer = None
        records, self._contested = self._contested, {}
        self.apply(list(records.items()), self.position, "restored store")

    def _apply_one(self, key: str, value: bytes | None, source: str) -> None:
        if value == self._values.get(key):
            return
        if value is None:
            self._remove(key, source)
            return
        try:
            document = self._decoder.decode(key, value)
        except ValueError as exc:
            self._log_event("document_refused", key, source, why=str(exc))
            return
        if isinstance(document, DataCentreOut):
            now = asyncio.get_running_loop().time()
            self.data_centres_out.setdefault(document.data_centre, now)
            self._log_event(
                "data_centre_out",
                key,
                source,
                data_centre=document.data_centre,
            )
        elif document is not None and not self._apply_config(
            document, key, source
        ):
            return
        self._values[key] = value
        self._withdrawn.discard(key)

    def _apply_config(
        self, config: RoutingConfig, key: str, source: str
    ) -> bool:
        """Put a configuration in force; return whether it is newer."""
        if self.config is not None and config.version <= self.config.version:
            self._log_event(
                "document_refused",
                key,
                source,
                why="its version is not higher than the version in force",
                version=config.version,
                in_force=self.config.version,
            )
            return False
        self.config = config
        self._config_key = key
        self._log_event("config", key, source, version=config.version)
        return True

    def _remove(self, key: str, source: str) -> None:
        if key == self._config_key:
            # A configuration is only ever replaced.
            return
        document = self._decoder.decode(key, self._values.pop(key))
        self._withdrawn.add(key)
        if isinstance(document, DataCentreOut):
            self.data_centres_out.pop(document.data_centre, None)
            self._log_event(
                "data_centre_in", key, source, data_centre=document.data_centre
            )

    def _log_event(
        self, event: str, key: str, source: str, **fields: object
    ) -> None:
        generation, offset = self.position
        fields.update(
            key=key, offset=offset, generation=generation, source=source
        )
        self._on_event(event, fields)
