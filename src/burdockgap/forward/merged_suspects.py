"""What a message on suspects of another daemon has changed."""

from __future__ import annotations


class MergedSuspects:
    """
    The suspects in a message that got a complete response.

    :param service: the service of the message.
    :param answered_here: requests that got a response here of which the
        other daemon does not know.
    :param answered_elsewhere: requests of which it says so itself.
    """

    __slots__ = ("answered_elsewhere", "answered_here", "service")

    def __init__(
        self,
        *,
        service: str,
        answered_here: list[int],
        answered_elsewhere: list[int],
    ) -> None:
        self.service = service
        self.answered_here = answered_here
        self.answered_elsewhere = answered_elsewhere
