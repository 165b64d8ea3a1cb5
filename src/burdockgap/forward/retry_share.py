"""This daemon's share of a service's retry budget."""

from __future__ import annotations

from collections import deque


class RetryShare:
    """
    Limits further sends of a service's requests in a sliding window.

    All daemons together may send ``ratio`` times the requests plus
    ``extra`` again. Each takes that share of its own requests and an
    equal part of the extra ones, less a margin.

    :param ratio: further sends per request.
    :param extra: further sends that all daemons may make besides.
    :param window_s: length of the window, in seconds.
    """

    __slots__ = ("_extra", "_ratio", "_requests", "_retries", "_window_s")

    def __init__(self, *, ratio: float, extra: float, window_s: float) -> None:
        self._ratio = ratio
        self._extra = extra
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def note_request(self, now: float) -> None:
        """Count a caller's request."""
        self._requests.append(now)
        self._drop_expired(self._requests, now)

    def spend(self, now: float, daemons: int) -> bool:
        """
        Tell whether one more send is allowed, and count it.

        :param daemons: daemons that share the budget.
        """
        self._drop_expired(self._requests, now)
        self._drop_expired(self._retries, now)
        allowed = self._ratio * len(self._requests) + self._extra / max(
            daemons, 1
        )
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now)
        return True

    def _drop_expired(self, times: deque[float], now: float) -> None:
        while times and times[0] < now - self._window_s:
            times.popleft()
