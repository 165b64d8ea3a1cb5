"""This daemon's share of a service's retry budget."""

from __future__ import annotations

from collections import deque


class RetryShare:
    """
    Limits the retries of a service's requests in a sliding window.

    All daemons together may make ``ratio`` retries per request, plus
    ``extra`` retries. Each daemon may make ``ratio`` retries per
    request of its own and an equal part of the extra ones. Both values
    are already reduced by a margin.

    :param ratio: retries per request.
    :param extra: additional retries of all daemons together.
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
        Consume one retry if the budget allows it.

        :param daemons: number of daemons that share the budget.
        :return: whether the retry is allowed.
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
