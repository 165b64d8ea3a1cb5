"""Evidence that connections lead to the announced process."""

from __future__ import annotations

from weakref import WeakSet

from burdockgap.incarnations.target_process import TargetProcess

MAX_ANNOUNCEMENT_DELAY_S = 5.0
"""An announcement that arrives was sent at most this long ago."""


class ProcessEvidence:
    """
    Tells to which process of a target each connection leads.

    Answers a target that falls silent and is replaced: an open
    connection does not show that its process lives, a new one may lead
    to another process, and an announcement may arrive after the process
    that sent it has ended. What is certain:

    - A connection leads to the same process as long as it is open.
    - A process was alive when it read a request that it answered.
    - Two processes do not listen at one address at the same time.

    A process is *proven* to be the announced one once the times at
    which both were certainly alive overlap. Before that it is
    *presumed* to be if an announcement arrived after the connection was
    opened, after an idle one was that it replaces, or after all earlier
    ones were lost.

    Processes are forgotten once no connection or token refers to them.
    """

    __slots__ = ("_born", "_first_heard_at", "_heard_at", "_processes")

    def __init__(self) -> None:
        self._born = 0
        self._first_heard_at = 0.0
        self._heard_at = 0.0
        self._processes: WeakSet[TargetProcess] = WeakSet()

    def announced(
        self, born: int, first_heard_at: float, heard_at: float
    ) -> None:
        """
        Note the newest announcement of the newest process.

        :param born: start time of the process; identifies it.
        :param first_heard_at: when its first one arrived, in seconds.
        :param heard_at: when its last one arrived, in seconds.
        """
        self._born = born
        self._first_heard_at = first_heard_at
        self._heard_at = heard_at
        for process in self._processes:
            self._identify(process)

    def connected(
        self, now: float, expected_since: float | None = None
    ) -> TargetProcess:
        """
        Return the process at the end of a connection opened now.

        :param expected_since: time after which announcements count for
            the presumption, ``None`` for now.
        """
        process = TargetProcess(now)
        if expected_since is not None:
            process.expected_since = expected_since
        self._processes.add(process)
        return process

    def answered(self, process: TargetProcess, sent_at: float) -> None:
        """
        Note that a process answered a request.

        :param sent_at: when the request was sent, in seconds.
        """
        process = process.resolved
        process.until = max(process.until, sent_at)
        for other in list(self._processes):
            if other is not process and process.overlaps(
                other.since, other.until
            ):
                process.unite(other)
                self._processes.discard(other)
        self._identify(process)

    def is_proven(self, process: TargetProcess) -> bool:
        """Return whether it is certainly the announced process."""
        return self._born != 0 and process.resolved.born == self._born

    def is_presumed(self, process: TargetProcess) -> bool:
        """Return whether it is likely to be the announced process."""
        process = process.resolved
        if process.born:
            return process.born == self._born
        return self._born != 0 and self._heard_at > process.expected_since

    def _identify(self, process: TargetProcess) -> None:
        # It had started when its first announcement arrived, and was
        # alive when it sent the last one.
        sent_at = self._heard_at - MAX_ANNOUNCEMENT_DELAY_S
        if not process.born and process.overlaps(
            self._first_heard_at, sent_at
        ):
            process.born = self._born
