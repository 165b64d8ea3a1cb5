"""Gauges of the daemon's state, computed at each metrics scrape."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client.core import GaugeMetricFamily
from prometheus_client.registry import Collector

import burdockgap

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from burdockgap.daemon.core import Core
    from burdockgap.daemon.role_tasks import RoleTasks
    from burdockgap.daemon.service_side import ServiceSide


class StateCollector(Collector):
    """
    Builds gauges from the state of the daemon's components.

    :param core: the components that all roles share.
    :param roles: the tasks of the daemon's roles.
    """

    __slots__ = ("_core", "_roles")

    def __init__(self, core: Core, roles: RoleTasks) -> None:
        self._core = core
        self._roles = roles

    def collect(self) -> Iterable[GaugeMetricFamily]:
        """Yield all gauges."""
        yield _labelled(
            "build",
            "1, with the version of the program.",
            "version",
            {burdockgap.__version__: 1},
        )
        yield from self._streams()
        yield from self._system()
        yield from self._target()
        yield from self._sessions()

    def _streams(self) -> Iterator[GaugeMetricFamily]:
        core = self._core
        yield _labelled(
            "log_offset",
            "Offset of the next record to fold.",
            "stream",
            {stream: core.folds.offset(stream) for stream in core.tails},
        )
        yield _labelled(
            "log_reachable",
            "1 if the newest read of the log succeeded, else 0.",
            "stream",
            {stream: tail.healthy for stream, tail in core.tails.items()},
        )
        yield _labelled(
            "log_silent_seconds",
            "Time since the newest read of the log that succeeded.",
            "stream",
            {
                stream: tail.last_read_age_s
                for stream, tail in core.tails.items()
            },
        )

    def _system(self) -> Iterator[GaugeMetricFamily]:
        folds = self._core.folds
        control = folds.control
        yield _gauge(
            "config_version",
            "Version of the configuration in force.",
            folds.config.version,
        )
        yield _gauge(
            "term",
            "Term of the coordinator known to the daemon.",
            control.term,
        )
        yield _gauge(
            "coordinator_known",
            "1 if the daemon knows a coordinator, else 0.",
            control.coordinator is not None,
        )
        yield _gauge(
            "coordinator",
            "1 if the daemon is the coordinator, else 0.",
            self._core.coordinator.is_elected(),
        )
        yield _gauge(
            "sessions",
            "Live sessions of all daemons.",
            len(control.sessions),
        )
        yield _gauge(
            "data_centre_out",
            "1 if the daemon's data centre is out of service, else 0.",
            self._core.identity.data_centre in folds.config.data_centres_out,
        )

    def _target(self) -> Iterator[GaugeMetricFamily]:
        side = self._roles.side
        stats = side.gate.stats if side else None
        yield _gauge(
            "target_announced",
            "1 if a target has announced itself, else 0.",
            side is not None,
        )
        yield _gauge(
            "target_progressing",
            "1 if the target answers work in flight, else 0.",
            side is not None and side.gate.progressing,
        )
        yield _gauge(
            "in_flight_requests",
            "Requests that the target works on.",
            stats.in_flight if stats else 0,
        )
        yield _gauge(
            "in_flight_limit",
            "Requests that the target may work on at once.",
            stats.limit if stats else 0,
        )
        yield _gauge(
            "queue_length",
            "Requests that wait for the target.",
            stats.queue_length if stats else 0,
        )

    def _sessions(self) -> Iterator[GaugeMetricFamily]:
        side = self._roles.side
        sessions = side.sessions.admitted() if side else []
        yield _gauge(
            "own_sessions",
            "Live sessions of the daemon itself.",
            len(sessions),
        )
        yield _gauge(
            "units_owned",
            "Units that the daemon serves.",
            sum(len(session.holdings.active) for session in sessions),
        )
        yield _gauge(
            "lease_left_seconds",
            "Time left of the lease that lasts longest; 0 without a "
            "lease, infinite for a session without witnesses.",
            self._lease_left_s(side) if side else 0.0,
        )

    def _lease_left_s(self, side: ServiceSide) -> float:
        ends = [
            session.lease.expires_at()
            for session in side.sessions.admitted()
            if session.lease is not None
        ]
        now = self._core.clock.now()
        return max(0.0, max(ends, default=now) - now)


def _gauge(name: str, text: str, value: float) -> GaugeMetricFamily:
    return GaugeMetricFamily(f"burdockgap_{name}", text, value=value)


def _labelled(
    name: str, text: str, label: str, values: dict[str, float]
) -> GaugeMetricFamily:
    family = GaugeMetricFamily(f"burdockgap_{name}", text, labels=[label])
    for label_value, value in values.items():
        family.add_metric([label_value], value)
    return family
