"""Size limits of the responses that a client reads."""

from __future__ import annotations

from burdockgap.resources.memory_budget import MemoryBudget

_MAX_OVERHEAD_FACTOR = 8
"""A chunk of one byte takes six bytes."""


class ResponseLimits:
    """
    Limits above which a response is given up.

    :param header_bytes: maximum size of all that is not body: status
        line, headers, trailers and interim responses.
    :param headers: maximum number of headers and trailers.
    :param body_bytes: maximum size of a body.
    :param budget: bounds the bodies of all responses together, also
        after their arrival; by default those of this object alone.
    """

    __slots__ = ("body_bytes", "budget", "header_bytes", "headers")

    def __init__(
        self,
        *,
        header_bytes: int = 64 * 1024,
        headers: int = 512,
        body_bytes: int = 64 * 1024 * 1024,
        budget: MemoryBudget | None = None,
    ) -> None:
        self.header_bytes = header_bytes
        self.headers = headers
        self.body_bytes = body_bytes
        self.budget = budget or MemoryBudget(2 * body_bytes)

    def max_overhead(self, body_bytes: int) -> int:
        """
        Return how many bytes other than body a response may have.

        :param body_bytes: size of the body, whose encoding in chunks
            takes some of them.
        """
        return self.header_bytes + _MAX_OVERHEAD_FACTOR * body_bytes
