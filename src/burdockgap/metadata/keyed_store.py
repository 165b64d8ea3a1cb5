"""The interface of a store that keeps the newest value of each key."""

from __future__ import annotations

from typing import Protocol


class TopicSnapshot:
    """
    The newest values of a topic.

    :param values: value by key.
    :param end: the offset after the topic's last record.
    """

    __slots__ = ("end", "values")

    def __init__(self, values: dict[str, bytes], end: int) -> None:
        self.values = values
        self.end = end


class Changes:
    """
    Records of a topic from some offset on.

    :param records: keys with their values; ``None`` for a removed key.
    :param end: the offset after the last of these records.
    """

    __slots__ = ("end", "records")

    def __init__(
        self, records: list[tuple[str, bytes | None]], end: int
    ) -> None:
        self.records = records
        self.end = end


class KeyedStore(Protocol):
    """Topics whose newest value of each key is kept for good."""

    async def newest(self, topic: str) -> TopicSnapshot:
        """
        Read the newest value of each key.

        :raises StoreError: if the store does not answer.
        """
        ...

    async def changes(self, topic: str, start: int, wait_s: float) -> Changes:
        """
        Read the records from an offset on, once there are any.

        :param wait_s: longest wait for the first record, in seconds.
        :raises HistoryLost: if records from there on were removed.
        :raises StoreError: if the store does not answer.
        """
        ...

    async def put(
        self, topic: str, key: str, value: bytes, *, at: int | None = None
    ) -> int:
        """
        Write the value of a key.

        :param at: the write takes effect only if the topic ends there.
        :return: the offset after the written record.
        :raises WriteConflict: if the topic does not end at ``at``.
        :raises StoreError: if the outcome is unknown or it was refused.
        """
        ...

    async def remove(self, topic: str, key: str) -> None:
        """
        Remove a key.

        :raises StoreError: if the outcome is unknown or it was refused.
        """
        ...
