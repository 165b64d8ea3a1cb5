"""What daemons tell each other of a target's notices."""

from __future__ import annotations

from typing import Any

from burdockgap.wire.checks import check_integer, check_number


class KnownNotice:
    """
    The latest notices of one target process.

    Its daemon tells them with each outcome and announcement, and
    callers' daemons return them with each call: a daemon that has
    started again then knows what the target said before.

    :param born: start time of the target process.
    :param rate_limit: requests per second that it takes from all
        daemons together, ``None`` if it names no limit.
    :param leaving_s: time since it first said that it is about to stop,
        in a response, an announcement or by deregistering, in seconds;
        ``None`` if it did not.
    """

    __slots__ = ("born", "leaving_s", "rate_limit")

    def __init__(
        self,
        *,
        born: int,
        rate_limit: float | None = None,
        leaving_s: float | None = None,
    ) -> None:
        self.born = born
        self.rate_limit = rate_limit
        self.leaving_s = leaving_s

    def aged(self, seconds: float) -> KnownNotice:
        """Return the notice as it is some seconds later."""
        leaving_s = self.leaving_s
        return KnownNotice(
            born=self.born,
            rate_limit=self.rate_limit,
            leaving_s=None if leaving_s is None else leaving_s + seconds,
        )

    def encode(self) -> list[Any]:
        """Return the fields as the list that ``decode`` reads."""
        return [self.born, self.rate_limit, self.leaving_s]

    @classmethod
    def decode(cls, values: list[Any]) -> KnownNotice:
        """
        Return the notice that ``encode`` turned into a list.

        :raises ValueError: if the list is not that of a notice.
        """
        if not isinstance(values, list):
            raise ValueError(f"notice is {values!r:.40}, which is no list")
        born, rate_limit, leaving_s = values
        return cls(
            born=check_integer(born, "born"),
            rate_limit=_decode_optional(rate_limit, "rate limit"),
            leaving_s=_decode_optional(leaving_s, "leaving"),
        )


def _decode_optional(value: Any, name: str) -> float | None:
    return None if value is None else check_number(value, name)
