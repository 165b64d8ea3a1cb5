"""Reports from members to the coordinator."""

from __future__ import annotations

from typing import Any

from burdockgap.forward.load import Load

TARGET_UNKNOWN = -1
"""Stands for the target's start time in reports of a daemon that has
just started and has not heard from its target yet. The target may hold
keys that an earlier daemon process granted."""


class Report:
    """
    One member's report.

    :param name: name of the member.
    :param incarnation: incarnation of its process.
    :param term: the coordinator's term that it follows.
    :param revision: newest revision of the assignment that its
        :class:`ShardHolder` follows, 0 if it has none.
    :param sent_at: when it was sent, on the member's clock, in seconds.
    :param echo: latest coordinator's time that the member received, in
        seconds.
    :param born: start time of its target, 0 if the target is down,
        :data:`TARGET_UNKNOWN` right after the daemon's start.
    :param takes_work: whether the target accepts new requests.
    :param pending: ranges that not all earlier holders have released,
        as first key, last key and fencing token.
    :param unusable: ranges that need a higher fencing token, in the
        same form.
    :param seen: number of requests with keys since the previous report.
    :param keys: a sample of their keys.
    :param load: the target's load.
    """

    __slots__ = (
        "born",
        "echo",
        "incarnation",
        "keys",
        "load",
        "name",
        "pending",
        "unusable",
        "revision",
        "seen",
        "sent_at",
        "takes_work",
        "term",
    )

    def __init__(
        self,
        *,
        name: str,
        incarnation: int,
        term: int,
        revision: int,
        sent_at: float,
        echo: float,
        born: int,
        takes_work: bool,
        pending: list[list[int]],
        unusable: list[list[int]],
        seen: int,
        keys: list[int],
        load: Load,
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.term = term
        self.revision = revision
        self.sent_at = sent_at
        self.echo = echo
        self.born = born
        self.takes_work = takes_work
        self.pending = pending
        self.unusable = unusable
        self.seen = seen
        self.keys = keys
        self.load = load

    def values(self) -> list[Any]:
        """Return the report as a list that can be serialized."""
        return [
            self.name,
            self.incarnation,
            self.term,
            self.revision,
            self.sent_at,
            self.echo,
            self.born,
            self.takes_work,
            self.pending,
            self.unusable,
            self.seen,
            self.keys,
            self.load.encode(),
        ]

    @classmethod
    def from_values(cls, values: list[Any]) -> Report:
        """
        Return the report that :meth:`values` describes.

        :raises ValueError: if the values do not describe a report.
        """
        (
            name,
            incarnation,
            term,
            revision,
            sent_at,
            echo,
            born,
            takes_work,
            pending,
            unusable,
            seen,
            keys,
            load,
        ) = values
        return cls(
            name=name,
            incarnation=incarnation,
            term=term,
            revision=revision,
            sent_at=sent_at,
            echo=echo,
            born=born,
            takes_work=takes_work,
            pending=pending,
            unusable=unusable,
            seen=seen,
            keys=keys,
            load=Load.decode(load),
        )
