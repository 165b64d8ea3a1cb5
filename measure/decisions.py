"""Time of the coordinator's decisions at full size."""

from __future__ import annotations

import random
from functools import partial
from typing import TYPE_CHECKING

from burdockgap.coordinator.admission import Admission
from burdockgap.coordinator.balance import Balancer
from burdockgap.coordinator.roster import Roster
from burdockgap.peer.messages.join import Join
from burdockgap.peer.messages.load_report import LoadReport
from burdockgap.wire import pack
from measure.table import FullTable, fill
from measure.timing import call_seconds, median_call_seconds

if TYPE_CHECKING:
    from measure.recorder import Recorder

_DAEMONS = 730
_SERVICES = 5
_SLICES = 16384
_PINS = 56
_DATA_CENTRES = 6
_JOIN_COUNTS = (1, 32, 122, 365)
_REPORTED_UNITS = 16
_REPORTED_KEYS = 8
_IMBALANCE = 1.25
_MAX_MOVES_SHARE = 0.05


def measure_decisions(recorder: Recorder, seed: int) -> None:
    """Record the time of admissions and balancing rounds."""
    rng = random.Random(seed)
    table = FullTable(rng, services=_SERVICES, slices=_SLICES)
    fill(table, _DAEMONS, _PINS)
    sizes = {"daemons": _DAEMONS, "services": _SERVICES, "slices": _SLICES}
    for count in _JOIN_COUNTS:
        joins = [_make_join(table, index) for index in range(count)]
        seconds = call_seconds(partial(_decide_admission, table, joins))
        recorder.add("admission", **sizes, joins=count, seconds=seconds)
    recorder.add("balance", **sizes, **_time_balancing(table, rng))
    recorder.add("load-report", bytes=len(pack(_make_load_report(rng))))


def _decide_admission(table: FullTable, joins: list[Join]) -> None:
    Admission(
        control=table.folds.control,
        joins=joins,
        witnesses=3,
        excluded=set(),
    ).entries()


def _make_join(table: FullTable, index: int) -> Join:
    return Join(
        session_id=index + 1,
        incarnation=index + 1,
        name=f"new-{index}",
        service=table.services[index % _SERVICES],
        data_centre=f"centre-{index % _DATA_CENTRES}",
        region=f"region-{index % 2}",
        peer_address=f"10.9.0.{index % 250}:7070",
        http_address=f"10.9.0.{index % 250}:8080",
        slots=6,
    )


def _time_balancing(table: FullTable, rng: random.Random) -> dict[str, float]:
    """Return the seconds of a balancing round of all services."""
    weights = {
        unit: rng.expovariate(1.0) for unit in rng.sample(range(_SLICES), 2000)
    }

    def required() -> None:
        for service in table.services:
            _make_balancer(table, service, weights).required()

    def improving() -> None:
        for service in table.services:
            _make_balancer(table, service, weights).improving(
                limit=_IMBALANCE, max_moves=int(_SLICES * _MAX_MOVES_SHARE)
            )

    return {
        "required_s": median_call_seconds(required, 1),
        "improving_s": call_seconds(improving),
    }


def _make_balancer(
    table: FullTable, service: str, weights: dict[int, float]
) -> Balancer:
    return Balancer(
        table=table.folds.control.tables[service],
        roster=Roster(
            control=table.folds.control,
            config=table.folds.config,
            service=service,
            leaving=set(),
        ),
        weights=weights,
        base_weight=0.1,
    )


def _make_load_report(rng: random.Random) -> LoadReport:
    return LoadReport(
        session_id=rng.getrandbits(63),
        service="service-0",
        period_s=29.2,
        requests=116_800,
        units=[rng.randrange(_SLICES) for _ in range(_REPORTED_UNITS)],
        unit_requests=[rng.randrange(3000) for _ in range(_REPORTED_UNITS)],
        keys=[rng.getrandbits(63) for _ in range(_REPORTED_KEYS)],
        key_requests=[rng.randrange(3000) for _ in range(_REPORTED_KEYS)],
    )
