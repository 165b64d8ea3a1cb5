"""Measures the table at several sizes, each in a fresh process."""

from __future__ import annotations

import multiprocessing

from measure.recorder import Recorder
from measure.table import measure_table

_SERVICES = 5
_SIZES = (
    (730, 16384, 56),
    (365, 16384, 56),
    (183, 16384, 56),
    (730, 4096, 56),
    (730, 1024, 56),
    (730, 16384, 0),
    (730, 16384, 1000),
)


def measure_table_sizes(seed: int) -> None:
    """Record memory and times at every size of ``_SIZES``."""
    context = multiprocessing.get_context("spawn")
    for size in _SIZES:
        child = context.Process(target=_measure_size, args=(seed, *size))
        child.start()
        child.join()


def _measure_size(seed: int, daemons: int, slices: int, pins: int) -> None:
    measure_table(
        Recorder("table", seed),
        daemons=daemons,
        services=_SERVICES,
        slices=slices,
        pins=pins,
        seed=seed,
    )
