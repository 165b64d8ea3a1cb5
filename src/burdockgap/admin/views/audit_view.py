"""One line of the audit trail."""

from __future__ import annotations

from burdockgap.admin.views.view import View


class AuditView(View):
    """
    A change, accepted or rejected.

    :param offset: its offset in the ``config`` stream.
    :param at: wall-clock time in seconds.
    :param author: who made it.
    :param against: the version that it was made against.
    :param change: what was changed, in words.
    :param accepted: whether it is in force.
    :param version: the version after it.
    :param reason: why it was rejected, or "".
    """

    __slots__ = (
        "offset",
        "at",
        "author",
        "against",
        "change",
        "accepted",
        "version",
        "reason",
    )

    def __init__(
        self,
        *,
        offset: int,
        at: float,
        author: str,
        against: int,
        change: str,
        accepted: bool,
        version: int,
        reason: str,
    ) -> None:
        self.offset = offset
        self.at = at
        self.author = author
        self.against = against
        self.change = change
        self.accepted = accepted
        self.version = version
        self.reason = reason
