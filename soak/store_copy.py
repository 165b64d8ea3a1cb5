"""A copy of the store of a soak run."""

from __future__ import annotations


class StoreCopy:
    """
    A copy of the store at one moment.

    :param topics: the records of each topic as (key, value).
    :param document_count: how many of the operators' documents it has,
        counted in the order in which they were first written.
    """

    __slots__ = ("document_count", "topics")

    def __init__(
        self,
        topics: dict[str, list[tuple[str, bytes]]],
        document_count: int,
    ) -> None:
        self.topics = topics
        self.document_count = document_count
