"""State of a daemon for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockgap.admin.views.view import View

if TYPE_CHECKING:
    from burdockgap.admin.views.daemon_view import DaemonView
    from burdockgap.admin.views.data_centre_view import DataCentreView
    from burdockgap.admin.views.target_view import TargetView


class StatusView(View):
    """
    State of a daemon and of the system as it knows it.

    :param name: the daemon's name.
    :param data_centre: its data centre.
    :param region: its region.
    :param program_version: the version of the program.
    :param ready: whether it accepts requests.
    :param reason: why it is not ready, else "".
    :param log_reachable: whether the last call to the log succeeded.
    :param config_version: version of the configuration in force.
    :param config_offset: offset of the next ``config`` record to apply.
    :param control_offset: offset of the next ``control`` record.
    :param term: term of the coordinator.
    :param coordinator: name of the coordinating daemon, or "".
    :param target: the target beside it, if one has announced itself.
    :param data_centres: every data centre known.
    :param daemons: every session known.
    """

    __slots__ = (
        "name",
        "data_centre",
        "region",
        "program_version",
        "ready",
        "reason",
        "log_reachable",
        "config_version",
        "config_offset",
        "control_offset",
        "term",
        "coordinator",
        "target",
        "data_centres",
        "daemons",
    )

    def __init__(
        self,
        *,
        name: str,
        data_centre: str,
        region: str,
        program_version: str,
        ready: bool,
        reason: str,
        log_reachable: bool,
        config_version: int,
        config_offset: int,
        control_offset: int,
        term: int,
        coordinator: str,
        target: TargetView | None,
        data_centres: list[DataCentreView],
        daemons: list[DaemonView],
    ) -> None:
        self.name = name
        self.data_centre = data_centre
        self.region = region
        self.program_version = program_version
        self.ready = ready
        self.reason = reason
        self.log_reachable = log_reachable
        self.config_version = config_version
        self.config_offset = config_offset
        self.control_offset = control_offset
        self.term = term
        self.coordinator = coordinator
        self.target = target
        self.data_centres = data_centres
        self.daemons = daemons
