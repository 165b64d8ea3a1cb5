"""Settings of the section ``[drain]``."""

from __future__ import annotations


class DrainSettings:
    """
    Time limits of shutdown and hand-over.

    :param request_timeout_s: longest wait for requests in flight.
    :param release_timeout_s: longest wait for an answer to a release.
    """

    __slots__ = (
        "release_timeout_s",
        "request_timeout_s",
    )

    def __init__(
        self, *, request_timeout_s: float, release_timeout_s: float
    ) -> None:
        self.request_timeout_s = request_timeout_s
        self.release_timeout_s = release_timeout_s
