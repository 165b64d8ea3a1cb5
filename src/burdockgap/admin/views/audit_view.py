"""One entry of the audit trail."""

from __future__ import annotations

from burdockgap.admin.views.view import View


class AuditView(View):
    """
    A change, accepted or rejected.

    :param stream: the stream that it is recorded in.
    :param offset: its offset in that stream.
    :param at: wall-clock time in seconds.
    :param author: the operator or the coordinating daemon.
    :param against: the version or the term that it is based on.
    :param change: description of what was changed.
    :param count: number of units or sessions affected.
    :param accepted: whether it took effect.
    :param decision: ``accepted``, or why it was rejected.
    """

    __slots__ = (
        "stream",
        "offset",
        "at",
        "author",
        "against",
        "change",
        "count",
        "accepted",
        "decision",
    )

    def __init__(
        self,
        *,
        stream: str,
        offset: int,
        at: float,
        author: str,
        against: int,
        change: str,
        count: int,
        accepted: bool,
        decision: str,
    ) -> None:
        self.stream = stream
        self.offset = offset
        self.at = at
        self.author = author
        self.against = against
        self.change = change
        self.count = count
        self.accepted = accepted
        self.decision = decision
