"""A report of a session's load."""

from __future__ import annotations

from burdockgap.wire.message import Message


class LoadReport(Message):
    """
    Requests since the last report, by unit and by hot key.

    :param session_id: the session.
    :param service: the service.
    :param period_s: seconds that the report covers.
    :param requests: requests in that time.
    :param units: the busiest units.
    :param unit_requests: requests of each of them.
    :param keys: hashes of the busiest keys.
    :param key_requests: requests of each of them.
    """

    __slots__ = (
        "session_id",
        "service",
        "period_s",
        "requests",
        "units",
        "unit_requests",
        "keys",
        "key_requests",
    )
    TAG = 70

    def __init__(
        self,
        *,
        session_id: int,
        service: str,
        period_s: float,
        requests: int,
        units: list[int],
        unit_requests: list[int],
        keys: list[int],
        key_requests: list[int],
    ) -> None:
        self.session_id = session_id
        self.service = service
        self.period_s = period_s
        self.requests = requests
        self.units = units
        self.unit_requests = unit_requests
        self.keys = keys
        self.key_requests = key_requests
