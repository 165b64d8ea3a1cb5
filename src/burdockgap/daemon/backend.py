"""Implementation of the administration API on a daemon's state."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.pipeline import is_successful
from returns.result import Failure

import burdockgap
from burdockgap.admin import ChangeOutcome, ChangeVerdict
from burdockgap.admin.views import (
    AuditView,
    ConfigView,
    DaemonView,
    DataCentreView,
    OwnerView,
    StatusView,
    TargetView,
)
from burdockgap.daemon.refuse_change import refuse
from burdockgap.logstore.write_error import WriteState
from burdockgap.ownership.unit import hash_key, is_pin, slice_of
from burdockgap.records.config_change import ConfigChange
from burdockgap.records.streams import CONFIG, CONTROL
from burdockgap.wire.ids import new_id, show_id

if TYPE_CHECKING:
    from collections.abc import Mapping

    from burdockgap.admin import Change
    from burdockgap.daemon.core import Core
    from burdockgap.daemon.role_tasks import RoleTasks
    from burdockgap.fold.messages.audit_entry import AuditEntry
    from burdockgap.logstore.write_error import WriteError
    from burdockgap.records.session_entry import SessionEntry
    from burdockgap.target import TargetInfo

_CHANGE_TIMEOUT_S = 8.0


class Backend:
    """
    Answers operators from the folded state and appends their changes.

    :param core: the components that all roles share.
    :param roles: the tasks of the daemon's roles.
    """

    __slots__ = ("_core", "_roles")

    def __init__(self, core: Core, roles: RoleTasks) -> None:
        self._core = core
        self._roles = roles

    def readiness(self) -> str:
        """Return why the daemon is not ready, "" if it is ready."""
        if self._core.leaving:
            return "the daemon is stopping"
        side = self._roles.side
        if side is None:
            return "no target has announced itself"
        now = self._core.clock.now()
        leased = [s for s in side.sessions.admitted() if s.is_held(now)]
        return "" if leased else "the daemon holds no lease"

    async def status(self) -> StatusView:
        """Return the state of this daemon and of the whole system."""
        core = self._core
        reason = self.readiness()
        claim = core.folds.control.coordinator
        return StatusView(
            name=core.identity.name,
            data_centre=core.identity.data_centre,
            region=core.identity.region,
            program_version=burdockgap.__version__,
            ready=not reason,
            reason=reason,
            log_reachable=all(tail.healthy for tail in core.tails.values()),
            config_version=core.folds.config.version,
            config_offset=core.folds.offset(CONFIG),
            control_offset=core.folds.offset(CONTROL),
            term=core.folds.control.term,
            coordinator=claim.name if claim else "",
            target=self._target(),
            data_centres=self._data_centres(),
            daemons=self._daemons(),
        )

    async def owner(self, service: str, key: str) -> OwnerView | None:
        """
        Return the owner of a key.

        :return: ``None`` if no keyed service has that name.
        """
        control = self._core.folds.control
        table = control.tables.get(service)
        if table is None:
            return None
        unit = table.unit_of(hash_key(key))
        owner = table.owner(unit)
        entry = control.sessions.get(owner)
        successor_entry = control.sessions.get(
            control.successor(service, unit)
        )
        return OwnerView(
            service=service,
            key=key,
            slice_index=slice_of(unit, table.slices),
            pinned=is_pin(unit),
            epoch=table.epoch(unit),
            session_id=show_id(owner) if owner else "",
            daemon=entry.name if entry else "",
            peer_address=entry.peer_address if entry else "",
            http_address=entry.http_address if entry else "",
            successor=successor_entry.name if successor_entry else "",
        )

    async def audit(self, limit: int) -> list[AuditView]:
        """Return at most ``limit`` audit entries, the newest first."""
        newest = reversed(self._core.folds.audit)
        return [_audit_view(entry) for entry in newest][:limit]

    async def config(self) -> ConfigView:
        """Return the configuration in force."""
        config = self._core.folds.config
        return ConfigView(version=config.version, document=config.text)

    async def change(
        self, change: Change, *, author: str, against: int | None
    ) -> ChangeOutcome:
        """
        Append a change to the log and wait until it is folded.

        :param change: the change.
        :param author: name of the operator.
        :param against: the configuration version it is based on,
            ``None`` for the version that the daemon has.
        :return: the decision, or why the change was not appended or
            why its outcome is unknown.
        """
        config = self._core.folds.config
        refused = refuse(change, self._core.folds)
        if refused is not None:
            return refused
        record = ConfigChange(
            record_id=new_id(),
            at=self._core.clock.wall(),
            author=author,
            against=config.version if against is None else against,
            change=change,
        )
        written = await self._core.writer.append_once(
            CONFIG, record, _CHANGE_TIMEOUT_S
        )
        if isinstance(written, Failure) or not is_successful(written):
            return self._write_failed(written.failure())
        return self._decision_outcome(record.record_id)

    async def announce(self, info: TargetInfo) -> None:
        """
        Register the local target or its new state.

        :raises ValueError: if it serves another service than before.
        """
        await self._roles.announce(info)

    async def leaving(self, boot_id: str) -> None:
        """Start draining a target that is about to stop."""
        self._roles.target_leaving(boot_id)

    def _write_failed(self, error: WriteError) -> ChangeOutcome:
        unknown = error.state is WriteState.UNKNOWN
        return ChangeOutcome(
            verdict=ChangeVerdict.UNKNOWN
            if unknown
            else ChangeVerdict.LOG_UNAVAILABLE,
            version=self._core.folds.config.version,
            reason=error.reason,
        )

    def _decision_outcome(self, record_id: int) -> ChangeOutcome:
        config = self._core.folds.config
        decision = config.decision_of(record_id)
        if decision is None:
            return ChangeOutcome(
                verdict=ChangeVerdict.UNKNOWN,
                version=config.version,
                reason="the decision is not kept any more; see the audit",
            )
        verdict = (
            ChangeVerdict.ACCEPTED
            if decision.accepted
            else ChangeVerdict.REJECTED
        )
        return ChangeOutcome(
            verdict=verdict, version=decision.version, reason=decision.reason
        )

    def _target(self) -> TargetView | None:
        side = self._roles.side
        if side is None:
            return None
        info = side.current_target.info
        stats = side.gate.stats
        return TargetView(
            service=info.service,
            url=info.url,
            boot_id=info.boot_id,
            slots=info.slots,
            checks_grants=info.checks_grants,
            healthy=side.gate.progressing,
            leaving=side.target_stopping,
            in_flight=stats.in_flight,
            limit=stats.limit,
        )

    def _data_centres(self) -> list[DataCentreView]:
        folds = self._core.folds
        daemons: dict[str, set[str]] = {
            name: set() for name in folds.config.data_centres_out
        }
        for entry in folds.control.sessions.values():
            daemons.setdefault(entry.data_centre, set()).add(entry.name)
        return [
            DataCentreView(
                name=name,
                out=name in folds.config.data_centres_out,
                daemons=len(members),
            )
            for name, members in sorted(daemons.items())
        ]

    def _daemons(self) -> list[DaemonView]:
        control = self._core.folds.control
        counts = {
            service: table.counts()
            for service, table in control.tables.items()
        }
        return [
            self._daemon(entry, counts.get(entry.service, {}))
            for entry in control.sessions.values()
        ]

    def _daemon(
        self, entry: SessionEntry, counts: Mapping[int, int]
    ) -> DaemonView:
        return DaemonView(
            name=entry.name,
            session_id=show_id(entry.session_id),
            service=entry.service,
            data_centre=entry.data_centre,
            region=entry.region,
            peer_address=entry.peer_address,
            http_address=entry.http_address,
            draining=entry.name in self._core.folds.config.draining,
            units=counts.get(entry.session_id, 0),
        )


def _audit_view(entry: AuditEntry) -> AuditView:
    return AuditView(
        stream=entry.stream,
        offset=entry.offset,
        at=entry.at,
        author=entry.author,
        against=entry.against,
        change=entry.what,
        count=entry.count,
        accepted=entry.accepted,
        decision=entry.decision,
    )
