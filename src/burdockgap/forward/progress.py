"""The attempts made for one request."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from burdockgap.forward.outcome import Outcome
    from burdockgap.http1.response import Response


class Progress:
    """
    The attempts made for one request.

    :ivar attempts: per attempt the member, the verdict, the reason, the
        duration in milliseconds and the age in milliseconds of the load
        report by which the member was chosen.
    :ivar error_response: the last server error in response to an
        idempotent request.
    :ivar has_token: whether the request's token of its account's quota
        is unused: no attempt since it was taken has reached a server.
    :ivar possible_runs: attempts that ran or may have run.
    :ivar retry_after_s: the shortest time after which a target that had
        no room expects to have some, infinite if there was none.
    :ivar tried: names of the members that were tried.
    """

    __slots__ = (
        "attempts",
        "error_response",
        "has_token",
        "possible_runs",
        "retry_after_s",
        "tried",
    )

    def __init__(self) -> None:
        self.attempts: list[list[Any]] = []
        self.tried: set[str] = set()
        self.has_token = True
        self.possible_runs = 0
        self.retry_after_s = math.inf
        self.error_response: Response | None = None

    def note_attempt(
        self,
        member: str,
        outcome: Outcome,
        *,
        took_s: float = 0.0,
        load_age_s: float = 0.0,
    ) -> None:
        """
        Add an attempt to the log.

        :param took_s: its duration, in seconds.
        :param load_age_s: age of the load report by which the member
            was chosen, in seconds.
        """
        self.attempts.append(
            [
                member,
                outcome.verdict.value,
                outcome.reason.value if outcome.reason else None,
                round(took_s * 1000, 1),
                round(load_age_s * 1000),
            ]
        )
