"""Memory and time of the fold and routing table at full size."""

from __future__ import annotations

import os
import random
from typing import TYPE_CHECKING

from burdockgap.fold.folds import Folds
from burdockgap.fold.restore import (
    decode_snapshot,
    restore_config,
    restore_control,
)
from burdockgap.fold.snapshot import make_chunks
from burdockgap.ownership.unit import hash_key, pin_of
from burdockgap.records.admit import Admit
from burdockgap.records.assign import Assign
from burdockgap.records.claim import Claim
from burdockgap.records.ended import Ended
from burdockgap.records.layout import Layout
from burdockgap.records.pin import Pin
from burdockgap.records.session_entry import SessionEntry
from burdockgap.records.streams import CONTROL
from burdockgap.records.witness_ref import WitnessRef
from burdockgap.router.candidates import keyed_candidates, unkeyed_candidates
from burdockgap.router.server_list import ServerList
from burdockgap.wire import pack
from measure.timing import call_seconds, median_call_seconds
from measure.usage import read_usage

if TYPE_CHECKING:
    from burdockgap.records.streams import ControlRecord
    from measure.recorder import Recorder

_TERM = 1
_UNITS_PER_RECORD = 2048
_SESSIONS_PER_RECORD = 10
_LOOKUPS = 20_000
_SUCCESSORS = 4
_WITNESSES = 3


class FullTable:
    """
    A fold fed with generated records, as a coordinator writes them.

    :param rng: chooses ids and owners.
    :param services: number of keyed services.
    :param slices: number of slices of each service.
    """

    __slots__ = ("_offset", "_rng", "folds", "members", "services", "slices")

    def __init__(
        self, rng: random.Random, *, services: int, slices: int
    ) -> None:
        self._rng = rng
        self._offset = 0
        self.folds = Folds()
        self.slices = slices
        self.services = [f"service-{index}" for index in range(services)]
        self.members: dict[str, list[int]] = {
            name: [] for name in self.services
        }
        self._apply(
            Claim(
                record_id=self._random_id(),
                term=_TERM,
                incarnation=self._random_id(),
                name="a",
                peer_address="127.0.0.1:1",
                at=0.0,
            )
        )
        for name in self.services:
            self._apply(
                Layout(
                    record_id=self._random_id(),
                    term=_TERM,
                    service=name,
                    slices=slices,
                )
            )

    def admit(self, count: int, first: int) -> Admit:
        """
        Return a record that admits more sessions.

        :param count: number of sessions.
        :param first: index of the first one.
        """
        entries = [self._make_entry(first + index) for index in range(count)]
        return Admit(
            record_id=self._random_id(), term=_TERM, at=0.0, sessions=entries
        )

    def assign(self, service: str, first: int) -> Assign:
        """
        Return a record that assigns slices to random owners.

        :param first: first of up to ``_UNITS_PER_RECORD`` slices.
        """
        units = list(range(first, min(first + _UNITS_PER_RECORD, self.slices)))
        members = self.members[service]
        return Assign(
            record_id=self._random_id(),
            term=_TERM,
            at=0.0,
            service=service,
            cause="balance",
            units=units,
            owners=[self._rng.choice(members) for _ in units],
        )

    def pin(self, service: str, key: str) -> Pin:
        """Return a record that pins a key."""
        return Pin(
            record_id=self._random_id(),
            term=_TERM,
            at=0.0,
            service=service,
            unit=pin_of(hash_key(key)),
        )

    def end(self, session_id: int) -> Ended:
        """Return a record that ends a session by expiry."""
        return Ended(
            record_id=self._random_id(),
            term=_TERM,
            at=0.0,
            session_id=session_id,
            cause="expired",
            promised_by=[1, 2],
        )

    def apply(self, record: ControlRecord) -> tuple[float, int]:
        """
        Encode and apply a record.

        :return: seconds to apply it, and its size in bytes.
        """
        data = pack(record)
        return call_seconds(lambda: self._apply_data(data)), len(data)

    def _apply(self, record: ControlRecord) -> None:
        self._apply_data(pack(record))

    def _apply_data(self, data: bytes) -> None:
        if not self.folds.apply(CONTROL, self._offset, data):
            raise RuntimeError(
                "the record is not the next one of the fold; "
                "apply all control records through this table"
            )
        self._offset += 1

    def _random_id(self) -> int:
        return self._rng.getrandbits(63) | 1

    def _make_entry(self, index: int) -> SessionEntry:
        service = self.services[index % len(self.services)]
        members = self.members[service]
        entry = SessionEntry(
            session_id=self._random_id(),
            incarnation=self._random_id(),
            name=f"{service}-{index}",
            service=service,
            data_centre=f"centre-{index % 6}",
            region=f"region-{index % 2}",
            peer_address=f"10.0.{index // 250}.{index % 250}:7070",
            http_address=f"10.0.{index // 250}.{index % 250}:8080",
            slots=6,
            witnesses=[
                WitnessRef(
                    incarnation=self._random_id(),
                    address=f"10.1.{index // 250}.{index % 250}:7070",
                )
                for _ in range(_WITNESSES)
            ],
            successors=self._rng.sample(
                members, min(_SUCCESSORS, len(members))
            ),
        )
        members.append(entry.session_id)
        return entry


def measure_table(
    recorder: Recorder,
    *,
    daemons: int,
    services: int,
    slices: int,
    pins: int,
    seed: int,
) -> None:
    """
    Record memory and times at one size.

    Memory is the growth of this process's private memory: run it in a
    fresh process.
    """
    sizes = {
        "daemons": daemons,
        "services": services,
        "slices": slices,
        "pins": pins,
    }
    before = read_usage(os.getpid()).private_bytes
    table = FullTable(random.Random(seed), services=services, slices=slices)
    fill(table, daemons, pins)
    memory = read_usage(os.getpid()).private_bytes - before
    _assign_all(table)
    memory_moving = read_usage(os.getpid()).private_bytes - before
    recorder.add(
        "table-memory",
        **sizes,
        private_bytes=memory,
        private_bytes_moving=memory_moving,
    )
    recorder.add("table-lookup", **sizes, **_time_lookups(table))
    recorder.add("table-snapshot", **sizes, **_measure_snapshot(table))
    recorder.add("table-records", **sizes, **_measure_records(table, daemons))


def fill(table: FullTable, daemons: int, pins: int) -> None:
    """Admit sessions, assign every slice and pin some keys."""
    for first in range(0, daemons, _SESSIONS_PER_RECORD):
        count = min(_SESSIONS_PER_RECORD, daemons - first)
        table.apply(table.admit(count, first))
    _assign_all(table)
    for index in range(pins):
        service = table.services[index % len(table.services)]
        table.apply(table.pin(service, f"hot-{index}"))


def _assign_all(table: FullTable) -> None:
    """Reassign every slice; earlier holders are kept for a while."""
    for service in table.services:
        for first in range(0, table.slices, _UNITS_PER_RECORD):
            table.apply(table.assign(service, first))


def _time_lookups(table: FullTable) -> dict[str, float]:
    control = table.folds.control
    service = table.services[0]
    units = control.tables[service]
    keys = iter([f"customer-{index}" for index in range(6 * _LOOKUPS)])

    def look_up() -> object:
        unit = units.unit_of(hash_key(next(keys)))
        return control.sessions[units.owner(unit)]

    hashes = iter([hash_key(f"k-{index}") for index in range(6 * _LOOKUPS)])

    cached_servers = ServerList(table.folds)

    def choose() -> object:
        return keyed_candidates(control, service, next(hashes))

    return {
        "lookup_s": median_call_seconds(look_up, _LOOKUPS),
        "candidates_s": median_call_seconds(choose, _LOOKUPS),
        "servers_s": median_call_seconds(
            lambda: unkeyed_candidates(control, table.folds.config, service),
            100,
        ),
        "kept_servers_s": median_call_seconds(
            lambda: cached_servers.of(service), 1000
        ),
        "units_of_s": median_call_seconds(
            lambda: units.units_of(table.members[service][0]), 1
        ),
    }


def _measure_snapshot(table: FullTable) -> dict[str, float]:
    make_s = median_call_seconds(
        lambda: make_chunks(table.folds, term=_TERM), 1
    )
    chunks = make_chunks(table.folds, term=_TERM)
    data = b"".join(chunk.data for chunk in chunks)

    def read() -> None:
        snapshot = decode_snapshot(data)
        restore_control(snapshot.control)
        restore_config(snapshot.config)

    return {
        "make_s": make_s,
        "read_s": median_call_seconds(read, 1),
        "bytes": len(data),
        "chunks": len(chunks),
    }


def _measure_records(table: FullTable, daemons: int) -> dict[str, float]:
    service = table.services[0]
    admit_s, admit_bytes = table.apply(
        table.admit(_SESSIONS_PER_RECORD, daemons)
    )
    assign_s, assign_bytes = table.apply(table.assign(service, 0))
    ended_s, ended_bytes = table.apply(table.end(table.members[service][0]))
    return {
        "admit_s": admit_s,
        "admit_bytes": admit_bytes,
        "assign_s": assign_s,
        "assign_bytes": assign_bytes,
        "ended_s": ended_s,
        "ended_bytes": ended_bytes,
    }
