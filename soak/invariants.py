"""Checks of the guarantees given to users, during a soak run."""

from __future__ import annotations

DRAIN_S = 2.0
APPLY_S = 2.0
EVACUATION_S = 5.0
LATE_GRANT_S = 0.3
UNDISTURBED_S = 3.0
"""Time bounds that the users' site files require. They are checked only
for a machine without a fault in the last ``UNDISTURBED_S``."""
LIMIT_WINDOW_S = 4.0
LIMIT_OVERAGE = 1.5
LIMIT_SLACK = 5
"""A server that names a limit per second gets at most ``LIMIT_OVERAGE``
times that in each ``LIMIT_WINDOW_S``, and ``LIMIT_SLACK`` requests."""
MAX_LATE_RETRIES = 3
"""A request that crashes servers reaches at most that many of them by
machines in touch once ``UNDISTURBED_S`` have passed since its third
crash."""
_THIRD = 3
_NOT_RUN = frozenset({408, 421, 429, 503})


class _Grant:
    """A key range granted to one incarnation of a server."""

    __slots__ = ("fence", "first", "last", "incarnation", "expires_at")

    def __init__(
        self,
        incarnation: str,
        first: int,
        last: int,
        fence: int,
        expires_at: float,
    ) -> None:
        self.incarnation = incarnation
        self.first = first
        self.last = last
        self.fence = fence
        self.expires_at = expires_at


class InvariantChecker:
    """
    Records events at callers and servers and reports violations.

    Times are in seconds; all of them are read from the same clock.

    :ivar violations: one line for each violated guarantee.
    """

    def __init__(self) -> None:
        self.violations: list[str] = []
        self._grants: list[_Grant] = []
        self._runs: dict[str, str] = {}
        self._unsafe: set[str] = set()
        self._refused: set[str] = set()
        self._versions: dict[str, int] = {}
        self._limited: dict[str, list[float]] = {}
        self._crashes: list[float] = []
        self._late_retries = 0

    def record_grant(
        self,
        incarnation: str,
        first: int,
        last: int,
        fence: int,
        *,
        now: float,
        expires_at: float,
        counts: bool = True,
    ) -> None:
        """
        Record a grant that a server accepted.

        :param incarnation: identifies the server and its incarnation.
        :param first: the first key of the range.
        :param last: the last key of the range.
        :param fence: the fencing token of the grant.
        :param counts: ``False`` if a fault of the sending daemon that
            is active or just ended may have delayed the grant. Such a
            grant is not checked and does not count as ownership.
        """
        for grant in self._grants:
            overlaps = grant.first <= last and first <= grant.last
            if not overlaps or grant.incarnation == incarnation:
                continue
            if grant.fence >= fence and counts:
                self._add_violation(
                    now,
                    f"OWNER {incarnation} took {first}-{last} "
                    f"with token {fence}, "
                    f"{grant.incarnation} had {grant.first}-{grant.last} with "
                    f"{grant.fence}",
                )
        same = (incarnation, first, last, fence)
        self._grants = [
            grant
            for grant in self._grants
            if (grant.incarnation, grant.first, grant.last, grant.fence)
            != same
        ]
        if counts:
            self._grants.append(
                _Grant(incarnation, first, last, fence, expires_at)
            )

    def record_release(
        self, incarnation: str, first: int, last: int, now: float
    ) -> None:
        """Record that a server released a key range."""
        for grant in list(self._grants):
            if (
                grant.incarnation != incarnation
                or grant.last < first
                or grant.first > last
            ):
                continue
            expires_at, grant.expires_at = grant.expires_at, now
            for low, high in (
                (grant.first, first - 1),
                (last + 1, grant.last),
            ):
                if low <= high and expires_at > now:
                    self._grants.append(
                        _Grant(incarnation, low, high, grant.fence, expires_at)
                    )

    def record_end(self, incarnation: str, now: float) -> None:
        """Record the end of a server's incarnation."""
        self.record_release(incarnation, 0, 1 << 16, now)

    def record_run(
        self,
        incarnation: str,
        request_id: str,
        *,
        unsafe: bool,
        key: int | None,
        now: float,
    ) -> None:
        """Record that a server begins to run a request."""
        if unsafe:
            self._unsafe.add(request_id)
            if request_id in self._runs:
                self._add_violation(
                    now, f"TWICE {request_id} at {incarnation}"
                )
            if request_id in self._refused:
                self._add_violation(
                    now, f"REFUSED {request_id} runs later at {incarnation}"
                )
        self._runs[request_id] = incarnation
        for grant in self._grants:
            if (
                key is None
                or grant.incarnation == incarnation
                or grant.expires_at <= now
            ):
                continue
            if grant.first <= key <= grant.last:
                self._add_violation(
                    now,
                    f"OWNER {incarnation} runs key {key}, "
                    f"{grant.incarnation} holds it",
                )

    def record_answer(
        self, request_id: str, status: int, answered_id: str, now: float
    ) -> None:
        """
        Record a final answer to a caller.

        :param answered_id: id of the request that the body answers;
            empty for an error.
        """
        if status in _NOT_RUN:
            self._refused.add(request_id)
            if request_id in self._unsafe:
                self._add_violation(now, f"REFUSED {request_id} had run")
        if status == 200 and answered_id != request_id:
            self._add_violation(
                now, f"MIXED {request_id} got the answer of {answered_id!r}"
            )

    def record_request_while_draining(
        self, incarnation: str, *, bound_s: float, after_s: float, now: float
    ) -> None:
        """
        Record a request at a draining or evacuated server.

        :param bound_s: time after which it must get no requests.
        :param after_s: time since the drain or evacuation began.
        """
        if after_s > bound_s:
            self._add_violation(
                now,
                f"DRAIN {incarnation} got a request {after_s:.2f} s after it",
            )

    def record_limited_request(
        self,
        incarnation: str,
        *,
        limit_per_s: float,
        named_s: float,
        now: float,
    ) -> None:
        """
        Record a request at a server that names a limit.

        :param limit_per_s: requests per second that it names.
        :param named_s: time since it first named it.
        """
        if named_s < UNDISTURBED_S:
            self._limited.pop(incarnation, None)
            return
        times = self._limited.setdefault(incarnation, [])
        times.append(now)
        times[:] = [time for time in times if time > now - LIMIT_WINDOW_S]
        allowed = LIMIT_OVERAGE * limit_per_s * LIMIT_WINDOW_S + LIMIT_SLACK
        if len(times) > allowed:
            self._add_violation(
                now,
                f"LIMIT {incarnation} got {len(times)} requests in "
                f"{LIMIT_WINDOW_S} s, {allowed:.0f} are allowed",
            )

    def record_crash(
        self,
        incarnation: str,
        *,
        sent_at: float,
        in_touch: bool,
        now: float,
    ) -> None:
        """
        Record that a request crashes a server.

        :param sent_at: when its client sent it.
        :param in_touch: whether the machines that it passed were
            undisturbed, so that a late retry counts.
        """
        if len(self._crashes) >= _THIRD:
            due_at = self._crashes[_THIRD - 1] + UNDISTURBED_S
            self._late_retries += in_touch and sent_at > due_at
            if self._late_retries > MAX_LATE_RETRIES:
                self._add_violation(
                    now,
                    f"BUDGET {incarnation} got a request that has crashed "
                    f"{len(self._crashes)} servers, "
                    f"late retry {self._late_retries}",
                )
        self._crashes.append(now)

    def record_version(
        self,
        process: str,
        version: int,
        *,
        served: bool,
        due: bool,
        now: float,
    ) -> None:
        """
        Record whether a process serves the route a version added.

        :param process: identifies the daemon and its incarnation.
        :param due: whether the process must have applied the version.
        """
        known = self._versions.get(process, 0)
        if served:
            self._versions[process] = max(known, version)
        elif version <= known:
            self._add_violation(
                now, f"CONFIG {process} went back below {known}"
            )
        elif due:
            self._add_violation(
                now, f"CONFIG {process} does not know {version}"
            )

    def record_changed_body(self, where: str, now: float) -> None:
        """Record a body that differs from the one that was sent."""
        self._add_violation(now, f"UNASKED body changed at {where}")

    def record_not_recovered(self, description: str, now: float) -> None:
        """Record what is not served after all faults have ended."""
        self._add_violation(now, f"RECOVER {description}")

    def record_memory(self, process: str, peak_kb: int, now: float) -> None:
        """Record a daemon that used more memory than it may."""
        self._add_violation(now, f"MEMORY {process} used {peak_kb} kB")

    def _add_violation(self, now: float, description: str) -> None:
        self.violations.append(f"{now:.3f} {description}")
