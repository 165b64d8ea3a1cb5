"""The slopes that the capacity page is worked out from."""

from __future__ import annotations

from measure.slope import Question

_DAEMONS = 730
_SLICES = 16384
_PINS = 56
_MIB = 1024 * 1024
_FULL = {"daemons": _DAEMONS, "slices": _SLICES, "pins": _PINS}


def _without(name: str) -> dict[str, int]:
    return {key: value for key, value in _FULL.items() if key != name}


QUESTIONS = (
    Question(
        name="rest-cpu",
        source="control",
        step="rest",
        size="daemons",
        figure=lambda found: 100 * found["cpu_share"],
        label="processor time at rest, % of a core per daemon",
        target=_DAEMONS,
    ),
    Question(
        name="rest-memory",
        source="control",
        step="rest",
        size="daemons",
        figure=lambda found: found["private_bytes"] / _MIB,
        label="private memory at rest, MiB per daemon",
        target=_DAEMONS,
    ),
    Question(
        name="rest-bytes",
        source="control",
        step="rest",
        size="daemons",
        figure=lambda found: found["control_bytes_per_s"],
        label="control bytes a second per daemon, both directions",
        target=_DAEMONS,
    ),
    Question(
        name="rest-datagrams",
        source="control",
        step="rest",
        size="daemons",
        figure=lambda found: found["lease_datagrams_per_s"],
        label="lease datagrams a second per daemon, both directions",
        target=_DAEMONS,
    ),
    Question(
        name="rest-reads",
        source="control",
        step="rest",
        size="daemons",
        figure=lambda found: found["reads_per_s"],
        label="reads of the log a second, all daemons",
        target=_DAEMONS,
    ),
    Question(
        name="change-reads",
        source="control",
        step="changes",
        size="daemons",
        figure=lambda found: found["reads"] / found["changes"],
        label="reads of the log per configuration change, all daemons",
        target=_DAEMONS,
    ),
    Question(
        name="change-time",
        source="control",
        step="change-time",
        size="daemons",
        figure=lambda found: found["in_force_s_max"],
        label="seconds until a change is in force everywhere, worst of 5",
        target=_DAEMONS,
    ),
    Question(
        name="loss-appends",
        source="control",
        step="loss",
        size="daemons",
        figure=lambda found: found["appends"],
        label="appends in the 8 s after the loss of one daemon",
        target=_DAEMONS,
    ),
    Question(
        name="loss-served",
        source="control",
        step="loss",
        size="daemons",
        figure=lambda found: found["served_again_s"],
        label="seconds from a loss until all its keys are served",
        target=_DAEMONS,
    ),
    Question(
        name="table-memory-daemons",
        source="table",
        step="table-memory",
        size="daemons",
        figure=lambda found: found["private_bytes"] / _MIB,
        label="memory of the folded state, MiB",
        target=_DAEMONS,
        where=_without("daemons"),
    ),
    Question(
        name="table-memory-slices",
        source="table",
        step="table-memory",
        size="slices",
        figure=lambda found: found["private_bytes"] / _MIB,
        label="memory of the folded state, MiB",
        target=_SLICES,
        where=_without("slices"),
    ),
    Question(
        name="table-memory-pins",
        source="table",
        step="table-memory",
        size="pins",
        figure=lambda found: found["private_bytes"] / _MIB,
        label="memory of the folded state, MiB",
        target=_PINS,
        where=_without("pins"),
    ),
    Question(
        name="table-ended-slices",
        source="table",
        step="table-records",
        size="slices",
        figure=lambda found: 1000 * found["ended_s"],
        label="milliseconds to fold the end of a session",
        target=_SLICES,
        where=_without("slices"),
    ),
    Question(
        name="table-snapshot-slices",
        source="table",
        step="table-snapshot",
        size="slices",
        figure=lambda found: found["bytes"] / 1024,
        label="bytes of a snapshot while everything moves, KiB",
        target=_SLICES,
        where=_without("slices"),
    ),
)
