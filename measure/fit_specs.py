"""The line fits that the capacity page is computed from."""

from __future__ import annotations

from measure.slope import FitSpec

_DAEMONS = 730
_SLICES = 16384
_PINS = 56
_MIB = 1024 * 1024
_FULL_SIZES = {"daemons": _DAEMONS, "slices": _SLICES, "pins": _PINS}


def _full_sizes_without(name: str) -> dict[str, int]:
    return {key: value for key, value in _FULL_SIZES.items() if key != name}


FIT_SPECS = (
    FitSpec(
        name="rest-cpu",
        source="control",
        step="rest",
        size="daemons",
        figure=lambda result: 100 * result["cpu_share"],
        label="processor time at rest, % of a core per daemon",
        target=_DAEMONS,
    ),
    FitSpec(
        name="rest-memory",
        source="control",
        step="rest",
        size="daemons",
        figure=lambda result: result["private_bytes"] / _MIB,
        label="private memory at rest, MiB per daemon",
        target=_DAEMONS,
    ),
    FitSpec(
        name="rest-bytes",
        source="control",
        step="rest",
        size="daemons",
        figure=lambda result: result["control_bytes_per_s"],
        label="control bytes a second per daemon, both directions",
        target=_DAEMONS,
    ),
    FitSpec(
        name="rest-datagrams",
        source="control",
        step="rest",
        size="daemons",
        figure=lambda result: result["lease_datagrams_per_s"],
        label="lease datagrams a second per daemon, both directions",
        target=_DAEMONS,
    ),
    FitSpec(
        name="rest-reads",
        source="control",
        step="rest",
        size="daemons",
        figure=lambda result: result["reads_per_s"],
        label="reads of the log a second, all daemons",
        target=_DAEMONS,
    ),
    FitSpec(
        name="change-reads",
        source="control",
        step="changes",
        size="daemons",
        figure=lambda result: result["reads"] / result["changes"],
        label="reads of the log per configuration change, all daemons",
        target=_DAEMONS,
    ),
    FitSpec(
        name="change-time",
        source="control",
        step="change-time",
        size="daemons",
        figure=lambda result: result["in_force_s_max"],
        label="seconds until a change is in force everywhere, worst of 5",
        target=_DAEMONS,
    ),
    FitSpec(
        name="loss-appends",
        source="control",
        step="loss",
        size="daemons",
        figure=lambda result: result["appends"],
        label="appends in the 8 s after the loss of one daemon",
        target=_DAEMONS,
    ),
    FitSpec(
        name="loss-served",
        source="control",
        step="loss",
        size="daemons",
        figure=lambda result: result["served_again_s"],
        label="seconds from a loss until all its keys are served",
        target=_DAEMONS,
    ),
    FitSpec(
        name="table-memory-daemons",
        source="table",
        step="table-memory",
        size="daemons",
        figure=lambda result: result["private_bytes"] / _MIB,
        label="memory of the folded state, MiB",
        target=_DAEMONS,
        where=_full_sizes_without("daemons"),
    ),
    FitSpec(
        name="table-memory-slices",
        source="table",
        step="table-memory",
        size="slices",
        figure=lambda result: result["private_bytes"] / _MIB,
        label="memory of the folded state, MiB",
        target=_SLICES,
        where=_full_sizes_without("slices"),
    ),
    FitSpec(
        name="table-memory-pins",
        source="table",
        step="table-memory",
        size="pins",
        figure=lambda result: result["private_bytes"] / _MIB,
        label="memory of the folded state, MiB",
        target=_PINS,
        where=_full_sizes_without("pins"),
    ),
    FitSpec(
        name="table-ended-slices",
        source="table",
        step="table-records",
        size="slices",
        figure=lambda result: 1000 * result["ended_s"],
        label="milliseconds to fold the end of a session",
        target=_SLICES,
        where=_full_sizes_without("slices"),
    ),
    FitSpec(
        name="table-snapshot-slices",
        source="table",
        step="table-snapshot",
        size="slices",
        figure=lambda result: result["bytes"] / 1024,
        label="bytes of a snapshot while everything moves, KiB",
        target=_SLICES,
        where=_full_sizes_without("slices"),
    ),
)
