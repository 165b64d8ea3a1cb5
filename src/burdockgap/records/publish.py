"""Replacement of the published document."""

from __future__ import annotations

from burdockgap.wire.message import Message


class Publish(Message):
    """
    Replaces the services and profiles.

    :param document: the configuration document as TOML text.
    """

    __slots__ = ("document",)
    TAG = 31

    def __init__(
        self,
        *,
        document: str,
    ) -> None:
        self.document = document
