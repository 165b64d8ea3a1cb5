"""What a daemon says of itself and of its target."""

from __future__ import annotations

from typing import Any

import msgpack

from burdockgap.forward.load import Load


class Member:
    """
    One life of a daemon.

    :param name: the machine's name.
    :param incarnation: random number of this process.
    :param sequence: rises with each change within one incarnation.
    :param address: where it takes calls and datagrams of peers.
    :param data_centre: its data centre.
    :param region: the region of its data centre.
    :param service: service of the target beside it.
    :param target_id: the target's id, "" if none is known.
    :param born: the target's life, 0 if none is known or it is down.
    :param slots: requests that the target runs at once.
    :param takes_work: whether the target may be given new requests.
    :param leaving: whether the daemon is about to stop.
    :param resigning: whether it asks another to become coordinator.
    :param load: the target's load.
    :param documents: offset up to which it knows the operator's
        documents.
    :param term: newest coordinator's term that it knows.
    :param revision: newest revision of the control state that it knows.
    """

    __slots__ = (
        "address",
        "born",
        "documents",
        "incarnation",
        "leaving",
        "load",
        "name",
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
        documents: int = 0,
        term: int = 0,
        revision: int = 0,
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
        self.documents = documents
        self.term = term
        self.revision = revision

    def values(self) -> list[Any]:
        """Return plain values."""
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
            self.documents,
            self.term,
            self.revision,
        ]

    def encode(self) -> bytes:
        """Return the bytes for the store."""
        data: bytes = msgpack.packb(self.values())
        return data

    @classmethod
    def from_values(cls, values: list[Any]) -> Member:
        """
        Return the member of some plain values.

        :raises ValueError: if they are not those of a member.
        """
        (
            name,
            incarnation,
            sequence,
            (host, port),
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
            documents,
            term,
            revision,
        ) = values
        return cls(
            name=name,
            incarnation=incarnation,
            sequence=sequence,
            address=(host, port),
            data_centre=data_centre,
            region=region,
            service=service,
            target_id=target_id,
            born=born,
            slots=slots,
            takes_work=takes_work,
            leaving=leaving,
            resigning=resigning,
            load=Load.decode(load),
            documents=documents,
            term=term,
            revision=revision,
        )

    @classmethod
    def decode(cls, data: bytes) -> Member:
        """
        Return the member of some bytes.

        :raises ValueError: if they cannot be read.
        """
        try:
            return cls.from_values(msgpack.unpackb(data))
        except (TypeError, ValueError) as exc:
            raise ValueError(f"not a member's entry: {exc}") from exc
