"""Request statistics of the demo's client."""

from __future__ import annotations

import statistics
from collections import Counter


class Tally:
    """
    Counts of verdicts and paths, latencies and failed requests.

    :ivar verdicts: number of requests by verdict.
    :ivar paths: number of requests by entry daemon and owner.
    :ivar latencies_s: time from the first attempt to the final answer.
    :ivar failures: descriptions of requests that did not succeed.
    """

    __slots__ = ("failures", "latencies_s", "paths", "verdicts")

    def __init__(self) -> None:
        self.verdicts: Counter[str] = Counter()
        self.paths: Counter[tuple[str, str]] = Counter()
        self.latencies_s: list[float] = []
        self.failures: list[str] = []

    def percentile_ms(self, percent: int) -> float:
        """Return a percentile of the latencies in milliseconds."""
        cuts = statistics.quantiles(self.latencies_s, n=100)
        return 1000 * cuts[percent - 1]
