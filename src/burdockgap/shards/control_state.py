"""The coordinator's decisions as they are stored and distributed."""

from __future__ import annotations

from typing import Any

import msgpack

from burdockgap.shards.shard import Shard, find

_GENERATION_BITS = 32
"""Terms and fencing tokens of a generation of the store start at the
generation's number in the bits above these."""


class ControlState:
    """
    One revision of the control state.

    :param term: increases with each claim of the coordinator's role.
    :param revision: increases with each write.
    :param coordinator: name of the coordinator.
    :param incarnation: incarnation of the coordinator's process.
    :param voters: names of the members of which the coordinator needs a
        majority.
    :param next_fence: higher than every fencing token used so far.
    :param shards: ranges by keyed service, in order of keys.
    :param generation: the store's generation in which it was written.
        The stored state is the newest only in this generation.
    """

    __slots__ = (
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
        term: int = 0,
        revision: int = 0,
        coordinator: str = "",
        incarnation: int = 0,
        voters: tuple[str, ...] = (),
        next_fence: int = 1,
        shards: dict[str, list[Shard]] | None = None,
        generation: int = 0,
    ) -> None:
        self.term = term
        self.revision = revision
        self.coordinator = coordinator
        self.incarnation = incarnation
        self.voters = voters
        self.next_fence = next_fence
        self.shards = shards or {}
        self.generation = generation

    @property
    def version(self) -> tuple[int, int]:
        """Term and revision, by which states are ordered."""
        return self.term, self.revision

    @property
    def lineage(self) -> int:
        """
        Number that terms of one generation of the store share.

        States of different lineages may contradict each other, since
        the store may have lost those between them.
        """
        return self.term >> _GENERATION_BITS

    def find(self, service: str, key: int) -> Shard | None:
        """Return the range that contains a key of a service."""
        return find(self.shards.get(service, []), key)

    def successor(self) -> ControlState:
        """Return a copy with the next revision number."""
        return ControlState(
            term=self.term,
            revision=self.revision + 1,
            coordinator=self.coordinator,
            incarnation=self.incarnation,
            voters=self.voters,
            next_fence=self.next_fence,
            shards={name: list(rows) for name, rows in self.shards.items()},
            generation=self.generation,
        )

    def begin_term(self, generation: int) -> None:
        """
        Advance to the next term.

        The term and the next fencing token exceed all that were used in
        earlier generations of the store, known or lost.
        """
        floor = max(generation - 1, 0) << _GENERATION_BITS
        self.term = max(self.term, floor) + 1
        self.next_fence = max(self.next_fence, floor + 1)

    def recover(self) -> None:
        """
        Give all ranges to their owners under new fencing tokens.

        Later owners may be lost with the states that named them, so
        nothing may be granted before all earlier leases have expired.
        """
        for service, rows in self.shards.items():
            self.shards[service] = [
                Shard(
                    row.first,
                    row.last,
                    owner=row.owner,
                    born=row.born,
                    fence=self.allocate_fence(),
                )
                for row in rows
            ]

    def allocate_fence(self) -> int:
        """Return a fencing token that was never used before."""
        fence = self.next_fence
        self.next_fence += 1
        return fence

    def encode(self) -> bytes:
        """Return the state as bytes for the store and for peers."""
        shards = {
            name: [shard.values() for shard in rows]
            for name, rows in self.shards.items()
        }
        data: bytes = msgpack.packb(
            [
                self.term,
                self.revision,
                self.coordinator,
                self.incarnation,
                list(self.voters),
                self.next_fence,
                shards,
                self.generation,
            ]
        )
        return data

    @classmethod
    def decode(cls, data: bytes) -> ControlState:
        """
        Decode a state from the store or from a peer.

        :raises ValueError: if the bytes are malformed.
        """
        try:
            values: list[Any] = msgpack.unpackb(data)
            term, revision, name, incarnation, voters, fence, shards = values[
                :7
            ]
            # Not part of states that were written by earlier versions.
            generation = values[7] if len(values) > 7 else 0
            return cls(
                term=term,
                revision=revision,
                coordinator=name,
                incarnation=incarnation,
                voters=tuple(voters),
                next_fence=fence,
                shards={
                    service: [Shard.from_values(row) for row in rows]
                    for service, rows in shards.items()
                },
                generation=generation,
            )
        except (TypeError, ValueError) as exc:
            raise ValueError(f"malformed control state: {exc}") from exc
