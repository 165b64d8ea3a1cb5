"""All settings of a process."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from burdockgap.settings.sections import (
        AdminSettings,
        CoordinatorSettings,
        DaemonSettings,
        DrainSettings,
        HttpSettings,
        LeaseSettings,
        LoggingSettings,
        LogSettings,
        PeerSettings,
        TargetSettings,
    )


class Settings:
    """
    The values of all sections.

    :param daemon: identity of the daemon.
    :param http: the listener for callers.
    :param peer: traffic between daemons.
    :param admin: the administration API.
    :param log: the platform's log.
    :param lease: leases and their witnesses.
    :param coordinator: decisions on assignments.
    :param target: supervision of the target.
    :param drain: time limits of shutdown and hand-over.
    :param logging: format and level of log lines.
    """

    __slots__ = (
        "admin",
        "coordinator",
        "daemon",
        "drain",
        "http",
        "lease",
        "log",
        "logging",
        "peer",
        "target",
    )

    def __init__(
        self,
        *,
        daemon: DaemonSettings,
        http: HttpSettings,
        peer: PeerSettings,
        admin: AdminSettings,
        log: LogSettings,
        lease: LeaseSettings,
        coordinator: CoordinatorSettings,
        target: TargetSettings,
        drain: DrainSettings,
        logging: LoggingSettings,
    ) -> None:
        self.daemon = daemon
        self.http = http
        self.peer = peer
        self.admin = admin
        self.log = log
        self.lease = lease
        self.coordinator = coordinator
        self.target = target
        self.drain = drain
        self.logging = logging
