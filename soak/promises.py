"""What the users were promised, checked as it happens."""

from __future__ import annotations

DRAIN_S = 2.0
APPLY_S = 2.0
EVACUATION_S = 5.0
THAW_SLACK_S = 0.3
TOUCH_S = 3.0
"""Bounds of the users' site files; a bound on time holds for a machine
that was undisturbed for the last of them."""
_NOT_RUN = frozenset({408, 421, 429, 503})


class _Held:
    """Keys that one life of a server was granted."""

    __slots__ = ("fence", "first", "last", "life", "until")

    def __init__(
        self, life: str, first: int, last: int, fence: int, until: float
    ) -> None:
        self.life = life
        self.first = first
        self.last = last
        self.fence = fence
        self.until = until


class Promises:
    """
    Compares what callers and servers see with what was promised.

    Times are in seconds of one clock.

    :ivar broken: one line for each promise that was broken.
    """

    def __init__(self) -> None:
        self.broken: list[str] = []
        self._held: list[_Held] = []
        self._runs: dict[str, str] = {}
        self._unsafe: set[str] = set()
        self._refused: set[str] = set()
        self._versions: dict[str, int] = {}

    def granted(
        self,
        life: str,
        first: int,
        last: int,
        fence: int,
        *,
        now: float,
        until: float,
        counts: bool = True,
    ) -> None:
        """
        Note a grant that a server took.

        :param life: names the server and its life.
        :param counts: whether its sender was not thawed just now.
        """
        for held in self._held:
            overlaps = held.first <= last and first <= held.last
            if not overlaps or held.life == life:
                continue
            if held.fence >= fence and counts:
                self._break(
                    now,
                    f"OWNER {life} took {first}-{last} with token {fence}, "
                    f"{held.life} had {held.first}-{held.last} with "
                    f"{held.fence}",
                )
        same = (life, first, last, fence)
        self._held = [
            held
            for held in self._held
            if (held.life, held.first, held.last, held.fence) != same
        ]
        if counts:
            self._held.append(_Held(life, first, last, fence, until))

    def released(self, life: str, first: int, last: int, now: float) -> None:
        """Note that a server has let go of keys."""
        for held in list(self._held):
            if held.life != life or held.last < first or held.first > last:
                continue
            until, held.until = held.until, now
            for low, high in (
                (held.first, first - 1),
                (last + 1, held.last),
            ):
                if low <= high and until > now:
                    self._held.append(
                        _Held(life, low, high, held.fence, until)
                    )

    def ended(self, life: str, now: float) -> None:
        """Note the end of a server's life."""
        self.released(life, 0, 1 << 16, now)

    def began(
        self,
        life: str,
        request_id: str,
        *,
        unsafe: bool,
        key: int | None,
        now: float,
    ) -> None:
        """Note that a server begins to run a request."""
        if unsafe:
            self._unsafe.add(request_id)
            if request_id in self._runs:
                self._break(now, f"TWICE {request_id} at {life}")
            if request_id in self._refused:
                self._break(now, f"REFUSED {request_id} runs later at {life}")
        self._runs[request_id] = life
        for held in self._held:
            if key is None or held.life == life or held.until <= now:
                continue
            if held.first <= key <= held.last:
                self._break(
                    now, f"OWNER {life} runs key {key}, {held.life} holds it"
                )

    def answered(
        self, request_id: str, status: int, answered_id: str, now: float
    ) -> None:
        """
        Note a final answer.

        :param answered_id: the request that the body answers, "" if it
            is an error.
        """
        if status in _NOT_RUN:
            self._refused.add(request_id)
            if request_id in self._unsafe:
                self._break(now, f"REFUSED {request_id} had run")
        if status == 200 and answered_id != request_id:
            self._break(
                now, f"MIXED {request_id} got the answer of {answered_id!r}"
            )

    def reached_leaving(
        self, life: str, *, bound_s: float, after_s: float, now: float
    ) -> None:
        """Note a request at a server that is to be sent none."""
        if after_s > bound_s:
            self._break(
                now, f"DRAIN {life} got a request {after_s:.2f} s after it"
            )

    def version_seen(
        self,
        process: str,
        version: int,
        *,
        served: bool,
        due: bool,
        now: float,
    ) -> None:
        """
        Note how a process treats a route that a version added.

        :param process: names the daemon and its incarnation.
        :param due: whether the version has to be in force there.
        """
        known = self._versions.get(process, 0)
        if served:
            self._versions[process] = max(known, version)
        elif version <= known:
            self._break(now, f"CONFIG {process} went back below {known}")
        elif due:
            self._break(now, f"CONFIG {process} does not know {version}")

    def not_recovered(self, what: str, now: float) -> None:
        """Note what is not served after everything has healed."""
        self._break(now, f"RECOVER {what}")

    def _break(self, now: float, what: str) -> None:
        self.broken.append(f"{now:.3f} {what}")
