"""The documents that operators published, as this daemon knows them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockgap.routing.routing_config import RoutingConfig


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

    :param decoder: decodes the documents.
    :param on_change: called after each change.
    :param on_event: logs which documents take effect or are refused.
    :ivar end: offset up to which the documents are known.
    :ivar config: the configuration in force, ``None`` before the first.
    :ivar data_centres_out: data centres that are out of service, with
        the time on the event loop's clock at which this was learned.
    :ivar raw: the stored documents by key, as sent to peers.
    """

    __slots__ = (
        "_decoder",
        "_on_change",
        "_on_event",
        "config",
        "end",
        "raw",
        "data_centres_out",
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
        self.end = 0
        self.config: RoutingConfig | None = None
        self.data_centres_out: dict[str, float] = {}
        self.raw: dict[str, bytes] = {}

    def replace(self, values: dict[str, bytes], end: int, source: str) -> None:
        """Replace all documents if the given offset is newer."""
        if end <= self.end and self.config is not None:
            return
        removed = [key for key in self.raw if key not in values]
        records: list[tuple[str, bytes | None]] = list(values.items())
        records += [(key, None) for key in removed]
        self.apply(records, end, source)

    def apply(
        self, records: list[tuple[str, bytes | None]], end: int, source: str
    ) -> None:
        """Apply changed documents in order."""
        for key, value in records:
            self._apply_one(key, value, source)
        self.end = max(self.end, end)
        self._on_change()

    def _apply_one(self, key: str, value: bytes | None, source: str) -> None:
        previous = self.raw.get(key)
        if value == previous:
            return
        if value is None:
            del self.raw[key]
            self._remove(key, previous or b"", source)
            return
        self.raw[key] = value
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
        elif document is not None:
            self._apply_config(document, key, source)

    def _apply_config(
        self, config: RoutingConfig, key: str, source: str
    ) -> None:
        if self.config is not None and config.version <= self.config.version:
            self._log_event(
                "document_refused",
                key,
                source,
                why="its version is not higher than the version in force",
                version=config.version,
                in_force=self.config.version,
            )
            return
        self.config = config
        self._log_event("config", key, source, version=config.version)

    def _remove(self, key: str, value: bytes, source: str) -> None:
        try:
            document = self._decoder.decode(key, value)
        except ValueError:
            # It was refused when it arrived and had no effect.
            return
        if isinstance(document, DataCentreOut):
            self.data_centres_out.pop(document.data_centre, None)
            self._log_event(
                "data_centre_in", key, source, data_centre=document.data_centre
            )

    def _log_event(
        self, event: str, key: str, source: str, **fields: object
    ) -> None:
        fields.update(key=key, offset=self.end, source=source)
        self._on_event(event, fields)
