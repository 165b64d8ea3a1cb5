"""A process at the end of connections to a target's address."""

from __future__ import annotations


class TargetProcess:
    """
    What connections show of one process of a target.

    Two processes never listen at the same address at the same time, so
    two whose known lives overlap are the same one.

    :param since: when the first connection to it was open, in seconds.
    :ivar until: the last time at which it was certainly alive, in
        seconds.
    :ivar expected_since: an announcement later than this is likely to
        be its own.
    :ivar born: the start time that it announced, 0 as long as it is not
        certain which announcements are its own.
    """

    __slots__ = (
        "__weakref__",
        "_same_as",
        "born",
        "expected_since",
        "since",
        "until",
    )

    def __init__(self, since: float) -> None:
        self.since = since
        self.until = since
        self.expected_since = since
        self.born = 0
        self._same_as: TargetProcess | None = None

    @property
    def resolved(self) -> TargetProcess:
        """The process that stands for all that are known to be it."""
        process = self
        while process._same_as is not None:
            process = process._same_as
        return process

    def overlaps(self, since: float, until: float) -> bool:
        """Return whether it was alive at some time of an interval."""
        return max(self.since, since) <= min(self.until, until)

    def unite(self, other: TargetProcess) -> None:
        """Note that another one is the same process."""
        if other is self:
            return
        self.since = min(self.since, other.since)
        self.until = max(self.until, other.until)
        self.expected_since = min(self.expected_since, other.expected_since)
        self.born = self.born or other.born
        other._same_as = self
