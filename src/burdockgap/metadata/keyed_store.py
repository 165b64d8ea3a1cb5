"""Interface of a store that keeps the newest value of each key."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from burdockgap.metadata.store_generation import StoreGeneration


Position = tuple[int, int]
"""A generation of the store and an offset, which is valid in it."""


class TopicSnapshot:
    """
    The newest values of a topic.

    :param values: newest value by key.
    :param end: offset after the last record that the values certainly
        include; later ones may be included as well.
    :param generation: the store's generation, in which the offset is
        valid.
    """

    __slots__ = ("end", "generation", "values")

    def __init__(
        self, values: dict[str, bytes], end: int, generation: int = 0
    ) -> None:
        self.values = values
        self.end = end
        self.generation = generation

    @property
    def position(self) -> Position:
        """The topic's end."""
        return self.generation, self.end


class Changes:
    """
    Consecutive records of a topic.

    :param records: keys and their values; ``None`` for a removed key.
    :param end: offset after the last of these records.
    :param generation: the store's generation, in which the offset is
        valid.
    """

    __slots__ = ("end", "generation", "records")

    def __init__(
        self,
        records: list[tuple[str, bytes | None]],
        end: int,
        generation: int = 0,
    ) -> None:
        self.records = records
        self.end = end
        self.generation = generation

    @property
    def position(self) -> Position:
        """The position after these records."""
        return self.generation, self.end


class KeyedStore(Protocol):
    """
    Compacted topics: the newest value of each key is retained.

    :ivar generation: increases when acknowledged writes were lost.
    """

    generation: StoreGeneration

    async def newest(self, topic: str) -> TopicSnapshot:
        """
        Read the newest value of each key of a topic.

        :raises StoreError: if the store does not answer.
        """
        ...

    async def changes(self, topic: str, start: int, wait_s: float) -> Changes:
        """
        Read the records from an offset on; wait if there are none yet.

        :param start: offset of the first record.
        :param wait_s: longest wait for the first record, in seconds.
        :raises OffsetOutOfRange: if records from this offset on were
            removed.
        :raises StoreError: if the store does not answer.
        """
        ...

    async def put(
        self, topic: str, key: str, value: bytes, *, at: int | None = None
    ) -> int:
        """
        Write the value of a key.

        :param at: offset at which the topic has to end for the write to
            take effect; ``None`` for an unconditional write.
        :return: offset after the written record.
        :raises WriteConflict: if the topic does not end at ``at``.
        :raises StoreError: if the store refused the write, or its
            outcome is unknown.
        """
        ...

    async def remove(self, topic: str, key: str) -> None:
        """
        Remove a key from a topic.

        :raises StoreError: if the store refused the removal, or its
            outcome is unknown.
        """
        ...

    def close_idle(self) -> None:
        """
        Use new connections for later calls.

        Idle connections may have fallen silent without notice.
        """
        ...
