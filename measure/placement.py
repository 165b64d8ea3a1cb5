"""Old against new choice of servers, at simulated sites."""

from __future__ import annotations

from typing import Any

from burdockgap.scheduling.concurrency_limit import ConcurrencyLimit
from tests.scheduling.choices import CurrentChoice, EarlierChoice
from tests.scheduling.site import Site

_SITES: dict[str, dict[str, Any]] = {
    "10 x 3 slots, 40-180 ms": {
        "servers": 10,
        "slots": 3,
        "work_s": (0.04, 0.18),
    },
    "36 x 3 slots, 40-180 ms": {
        "servers": 36,
        "slots": 3,
        "work_s": (0.04, 0.18),
    },
    "40 x 3 slots, 40-180 ms": {
        "servers": 40,
        "slots": 3,
        "work_s": (0.04, 0.18),
    },
    "3 x 9 slots, 60-310 ms": {
        "servers": 3,
        "slots": 9,
        "work_s": (0.06, 0.31),
    },
    "36 x 9 slots, 60-310 ms": {
        "servers": 36,
        "slots": 9,
        "work_s": (0.06, 0.31),
    },
    "4 x 6 slots, 15-78 ms": {
        "servers": 4,
        "slots": 6,
        "work_s": (0.015, 0.078),
    },
    "4 x 9 slots, 22-120 ms": {
        "servers": 4,
        "slots": 9,
        "work_s": (0.022, 0.12),
    },
}
_CHOICES: dict[str, tuple[Any, Any]] = {
    "old": (EarlierChoice, None),
    "new": (CurrentChoice, ConcurrencyLimit),
}
"""The choice, and the limit of a server's slots."""
_LOADS = (0.5, 0.8)
_WARM_UP_S = 5.0
_SECONDS = 20.0
_HEADER = (
    "| Site | Load | Choice | Refused (%) | Failed (%) | Late (%) "
    "| Mean (ms) | 99 % (ms) | Least share | Largest share |"
)


async def measure_placement(seed: int) -> None:
    """
    Print a table of old against new.

    Refusals are counted per request, further attempts included. A share
    is a server's requests relative to its speed's part of all.
    """
    print(_HEADER)
    print("|" + " --- |" * _HEADER.count(" |"))
    for label, fields in _SITES.items():
        for load in _LOADS:
            for name, (choice, limit) in _CHOICES.items():
                site = Site(
                    choice, load=load, seed=seed, make_limit=limit, **fields
                )
                site.run(_WARM_UP_S)
                site.reset()
                site.run(_SECONDS)
                print(_row(site, label, load, name), flush=True)


def _row(site: Site, label: str, load: float, name: str) -> str:
    shares = site.shares().values()
    times_s = sorted(site.latencies)
    per_cent = 100 / max(site.requests, 1)
    cells = [
        label,
        f"{load:.1f}",
        name,
        f"{site.refusals * per_cent:.1f}",
        f"{site.failed * per_cent:.2f}",
        f"{site.late * per_cent:.2f}",
        f"{sum(times_s) / len(times_s) * 1000:.0f}",
        f"{times_s[int(len(times_s) * 0.99)] * 1000:.0f}",
        f"{min(shares):.2f}",
        f"{max(shares):.2f}",
    ]
    return "| " + " | ".join(cells) + " |"
