"""A daemon's announcement of itself and of its target."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgpack

from burdockgap.forward.known_notice import KnownNotice
from burdockgap.forward.load import Load
from burdockgap.wire.checks import (
    MAX_COUNT,
    check_address,
    check_flag,
    check_integer,
    check_text,
)

if TYPE_CHECKING:
    from burdockgap.metadata.keyed_store import Position

_LOAD_INDEX = 13
"""Position of the load in a member's values."""


class Member:
    """
    One incarnation of a daemon.

    :param name: name of its instance.
    :param incarnation: random number that identifies the process.
    :param address: host and port for calls and datagrams from peers.
    :param data_centre: its data centre.
    :param region: the region of its data centre.
    :param service: service of the local target.
    :param sequence: increases with each change within an incarnation.
    :param target_id: the target's id, "" if none is known.
    :param born: start time of the target, which identifies its
        incarnation; 0 if no target is known or it is down.
    :param slots: number of requests that the target runs concurrently.
    :param takes_work: whether the target accepts new requests.
    :param leaving: whether the daemon is about to stop.
    :param resigning: whether it asks another member to become
        coordinator.
    :param load: the target's load.
    :param notice: what is known of the target's notices, if anything.
    :param documents: position in the store up to which it knows the
        operators' documents.
    :param config_version: version of the configuration in force at it,
        0 if there is none.
    :param term: newest coordinator's term that it knows.
    :param revision: newest revision of the control state that it knows.
    :param capacity: how many members its machine can serve as
        coordinator, 0 if that is not known.
    """

    __slots__ = (
        "address",
        "born",
        "capacity",
        "config_version",
        "documents",
        "incarnation",
        "leaving",
        "load",
        "name",
        "notice",
        "region",
        "resigning",
        "revision",
        "sequence",
        "service",
        "slots",
        "takes_work",
        "target_id",
        "term",
        "data_centre",
    )

    def __init__(
        self,
        *,
        name: str,
        incarnation: int,
        address: tuple[str, int],
        data_centre: str,
        region: str,
        service: str,
        sequence: int = 0,
        target_id: str = "",
        born: int = 0,
        slots: int = 0,
        takes_work: bool = False,
        leaving: bool = False,
        resigning: bool = False,
        load: Load | None = None,
        notice: KnownNotice | None = None,
        documents: Position = (0, 0),
        config_version: int = 0,
        term: int = 0,
        revision: int = 0,
        capacity: int = 0,
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.address = address
        self.data_centre = data_centre
        self.region = region
        self.service = service
        self.sequence = sequence
        self.target_id = target_id
        self.born = born
        self.slots = slots
        self.takes_work = takes_work
        self.leaving = leaving
        self.resigning = resigning
        self.load = load or Load()
        self.notice = notice
        self.documents = documents
        self.config_version = config_version
        self.term = term
        self.revision = revision
        self.capacity = capacity

    def values(self) -> list[Any]:
        """Return the member as a list that can be serialized."""
        return [
            self.name,
            self.incarnation,
            self.sequence,
            list(self.address),
            self.data_centre,
            self.region,
            self.service,
            self.target_id,
            self.born,
            self.slots,
            self.takes_work,
            self.leaving,
            self.resigning,
            self.load.encode(),
            self.notice.encode() if self.notice else None,
            list(self.documents),
            self.config_version,
            self.term,
            self.revision,
            self.capacity,
        ]

    def encode(self) -> bytes:
        """Return the member as bytes for the store."""
        data: bytes = msgpack.packb(self.values())
        return data

    @staticmethod
    def without_load(values: list[Any]) -> list[Any]:
        """Return the values with a load of which nothing is known."""
        index = _LOAD_INDEX
        return [*values[:index], Load().encode(), *values[index + 1 :]]

    @classmethod
    def from_values(cls, values: list[Any]) -> Member:
        """
        Return the member that :meth:`values` describes.

        :raises LoadError: if only its load is impossible.
        :raises ValueError: if the values do not describe a member.
        """
        (
            name,
            incarnation,
            sequence,
            address,
            data_centre,
            region,
            service,
            target_id,
            born,
            slots,
            takes_work,
            leaving,
            resigning,
            load,
            notice,
            (generation, offset),
            config_version,
            term,
            revision,
            capacity,
        ) = values
        return cls(
            name=check_text(name, "name"),
            incarnation=check_integer(incarnation, "incarnation"),
            sequence=check_integer(sequence, "sequence"),
            address=check_address(address, "address"),
            data_centre=check_text(data_centre, "data centre"),
            region=check_text(region, "region"),
            service=check_text(service, "service"),
            target_id=check_text(target_id, "target id"),
            born=check_integer(born, "born"),
            slots=check_integer(slots, "slots", most=MAX_COUNT),
            takes_work=check_flag(takes_work, "takes_work"),
            leaving=check_flag(leaving, "leaving"),
            resigning=check_flag(resigning, "resigning"),
            load=Load.decode(load),
            notice=KnownNotice.decode(notice) if notice else None,
            documents=(
                check_integer(generation, "generation"),
                check_integer(offset, "offset"),
            ),
            config_version=check_integer(config_version, "config version"),
            term=check_integer(term, "term"),
            revision=check_integer(revision, "revision"),
            capacity=check_integer(capacity, "capacity", most=MAX_COUNT),
        )

    @classmethod
    def decode(cls, data: bytes) -> Member:
        """
        Decode a member from the store.

        :raises ValueError: if the bytes are malformed.
        """
        try:
            return cls.from_values(msgpack.unpackb(data))
        except (TypeError, ValueError) as exc:
            raise ValueError(f"malformed member entry: {exc}") from exc
