"""Settings of the section ``[log]``."""

from __future__ import annotations


class LogSettings:
    """
    The platform's log.

    :param url: base URL of the log service.
    :param timeout_s: time allowed for an append or a read.
    :param poll_wait_s: time that a read waits for records.
    :param snapshot_every: records between two snapshots.
    """

    __slots__ = (
        "poll_wait_s",
        "snapshot_every",
        "timeout_s",
        "url",
    )

    def __init__(
        self,
        *,
        url: str,
        timeout_s: float,
        poll_wait_s: float,
        snapshot_every: int,
    ) -> None:
        self.url = url
        self.timeout_s = timeout_s
        self.poll_wait_s = poll_wait_s
        self.snapshot_every = snapshot_every
