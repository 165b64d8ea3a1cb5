"""Differences between two revisions of the control state."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgpack

from burdockgap.shards.shard import KEY_COUNT, Shard
from burdockgap.wire.compression import compress, decompress

if TYPE_CHECKING:
    from burdockgap.shards.control_state import ControlState

MAX_DATAGRAM_BYTES = 8192
"""Larger changes are not sent, and members fetch the whole state
instead, because one lost IP fragment loses the whole datagram."""


class ControlChanges:
    """
    The changes from one revision of the control state to the next.

    :param base: term and revision that the changes apply to.
    :param term: the new term.
    :param revision: the new revision.
    :param coordinator: name of the new coordinator.
    :param incarnation: incarnation of the coordinator's process.
    :param voters: names of the new voters, ``None`` if they stay.
    :param next_fence: higher than every fencing token used so far.
    :param shards: new and changed ranges by keyed service.
    :param generation: the store's generation in which it was written.
    """

    __slots__ = (
        "base",
        "coordinator",
        "generation",
        "incarnation",
        "next_fence",
        "revision",
        "shards",
        "term",
        "voters",
    )

    def __init__(
        self,
        *,
        base: tuple[int, int],
        term: int,
        revision: int,
        coordinator: str,
        incarnation: int,
        voters: tuple[str, ...] | None,
        next_fence: int,
        shards: dict[str, list[Shard]],
        generation: int,
    ) -> None:
        self.base = base
        self.term = term
        self.revision = revision
        self.coordinator = coordinator
        self.incarnation = incarnation
        self.voters = voters
        self.next_fence = next_fence
        self.shards = shards
        self.generation = generation

    @classmethod
    def between(
        cls, before: ControlState, after: ControlState
    ) -> ControlChanges:
        """Return what changed from one revision to the next."""
        return cls(
            base=(before.term, before.revision),
            term=after.term,
            revision=after.revision,
            coordinator=after.coordinator,
            incarnation=after.incarnation,
            voters=after.voters if after.voters != before.voters else None,
            next_fence=after.next_fence,
            shards={
                service: _changed_rows(before.shards.get(service, []), rows)
                for service, rows in after.shards.items()
            },
            generation=after.generation,
        )

    def apply_to(self, state: ControlState) -> ControlState | None:
        """
        Return the state that results from these changes.

        :return: ``None`` if the changes are for another revision than
            the given state's, or do not fit it.
        """
        if (state.term, state.revision) != self.base:
            return None
        after = state.successor()
        after.term, after.revision = self.term, self.revision
        after.coordinator = self.coordinator
        after.incarnation = self.incarnation
        if self.voters is not None:
            after.voters = self.voters
        after.next_fence = self.next_fence
        after.generation = self.generation
        for service, changed in self.shards.items():
            rows = _merge_rows(after.shards.get(service, []), changed)
            if rows is None:
                return None
            after.shards[service] = rows
        return after

    def encode(self) -> bytes:
        """Return the changes as bytes for a datagram."""
        data: bytes = msgpack.packb(
            [
                list(self.base),
                self.term,
                self.revision,
                self.coordinator,
                self.incarnation,
                None if self.voters is None else list(self.voters),
                self.next_fence,
                {
                    service: [row.values() for row in rows]
                    for service, rows in self.shards.items()
                },
                self.generation,
            ]
        )
        return compress(data)

    @classmethod
    def decode(cls, data: bytes) -> ControlChanges:
        """
        Decode the changes of a datagram.

        :raises ValueError: if the bytes are malformed.
        """
        try:
            (
                (base_term, base_revision),
                term,
                revision,
                coordinator,
                incarnation,
                voters,
                next_fence,
                shards,
                generation,
            ) = msgpack.unpackb(decompress(data))
            return cls(
                base=(base_term, base_revision),
                term=term,
                revision=revision,
                coordinator=coordinator,
                incarnation=incarnation,
                voters=None if voters is None else tuple(voters),
                next_fence=next_fence,
                shards={
                    service: [Shard.from_values(row) for row in rows]
                    for service, rows in shards.items()
                },
                generation=generation,
            )
        except (TypeError, ValueError, AttributeError) as exc:
            raise ValueError(f"malformed control changes: {exc}") from exc


def _changed_rows(before: list[Shard], after: list[Shard]) -> list[Shard]:
    known = {_identity(row) for row in before}
    return [row for row in after if _identity(row) not in known]


def _identity(row: Shard) -> tuple[Any, ...]:
    first, last, owner, born, fence, _ = row.values()
    return first, last, owner, born, fence, row.previous


def _merge_rows(rows: list[Shard], changed: list[Shard]) -> list[Shard] | None:
    """
    Replace the ranges that changed ranges overlap.

    :return: ``None`` if the result does not cover every key once.
    """
    kept = [
        row
        for row in rows
        if not any(
            row.first <= new.last and new.first <= row.last for new in changed
        )
    ]
    result = sorted([*kept, *changed], key=lambda row: row.first)
    key = 0
    for row in result:
        if row.first != key:
            return None
        key = row.last + 1
    return result if key == KEY_COUNT else None
