"""
Scenarios that yield two owners if one safety rule is disabled.

Each scenario runs with all rules and must yield one owner, and again
with its fault, which disables a rule, and must yield two.
"""

from __future__ import annotations

import pytest

from burdockgap.fold.unit_table import UnitTable
from burdockgap.lease.messages.ack import Ack
from burdockgap.lease.messages.promise import Promise
from burdockgap.lease.messages.renew import Renew
from burdockgap.lease.timed_session import TimedSession
from burdockgap.lease.witness import Witness
from burdockgap.ownership.holdings import Holdings
from burdockgap.ownership.messages.release import Release
from burdockgap.ownership.messages.released import Released
from burdockgap.ownership.releaser import Releaser
from tests.ownership.world import KEYS, PINS, TIMING, World


def _owned(owner=0):
    world = World()
    world.assign(0, owner)
    world.settle()
    world.renew_all()
    assert world.holders(KEYS[0]) == [
        world.session_of[f"127.0.0.1:{owner + 1}"]
    ]
    return world


def _successor(world):
    control = world.writer.control
    session_id = control.successor("records", 0)
    addresses = list(world.daemons)
    return addresses.index(control.sessions[session_id].peer_address)


def _others(*indexes: int):
    return [index for index in range(4) if index not in indexes]


def successor_activates_unseen():
    """Move a unit that a successor with a stale fold has activated."""
    world = _owned()
    successor = _successor(world)
    target = next(iter(_others(0, successor)))
    world.daemon(0).frozen = True
    world.expire(*_others(0))
    world.renew_all(*_others(0))
    assert world.holders(KEYS[0])
    world.assign(0, target)
    world.fold_all(target)
    for witness in _others(0):
        ref = world.daemon(witness).incarnation
        promise = Promise(
            session_id=world.session_of["127.0.0.1:1"], witness_incarnation=ref
        )
        world.daemon(target).certificates.add(promise)
    world.daemon(target).ask()
    return world


def two_moves_behind():
    """Move a unit twice before the first owner has folded a move."""
    world = _owned()
    successor = _successor(world)
    first, second = _others(0, successor)
    world.assign(0, first)
    world.assign(0, second)
    world.fold_all(second)
    world.daemon(second).ask()
    for envelope in list(world.in_transit):
        if isinstance(envelope.msg, Release):
            world.in_transit.remove(envelope)
            if envelope.receiver != "127.0.0.1:1":
                world.daemons[envelope.receiver].fold()
                world.deliver(envelope)
    world.deliver_all(Released)
    return world


def witnesses_restart():
    """Restart two witnesses while the owner's lease still lasts."""
    world = _owned()
    successor = _successor(world)
    for index in _others(0, successor):
        world.restart(index)
        world.daemon(index).push()
    world.deliver_all(Promise)
    return world


def witnesses_restart_and_renew():
    """Restart two witnesses and keep renewing with them."""
    world = _owned()
    successor = _successor(world)
    for index in _others(0, successor):
        world.restart(index)
    world.expire(0, successor)
    world.renew_all(0, successor)
    return world


def release_behind_pin():
    """Ask an owner that has not folded a pin to release it."""
    world = _owned()
    world.pin(PINS[0])
    target = next(iter(_others(0, _successor(world))))
    world.assign(PINS[0], target)
    world.fold_all(*_others(0))
    world.daemon(target).ask()
    world.deliver_all(Release, Released)
    return world


def ask_behind_pin():
    """Ask an owner for a slice before folding the pin of its key."""
    world = _owned()
    target = next(iter(_others(0, _successor(world))))
    world.assign(0, target)
    world.fold_all()
    world.pin(PINS[0])
    world.fold_all(*_others(target))
    world.daemon(target).ask()
    world.deliver_all(Release, Released)
    return world


def renew_after_end():
    """Let an owner that was frozen renew after its session ended."""
    world = _owned()
    world.daemon(0).frozen = True
    world.expire(*_others(0))
    world.end_certified()
    world.settle(*_others(0))
    world.renew_all(*_others(0))
    world.daemon(0).frozen = False
    world.daemon(0).renew()
    world.deliver_all(Renew, Ack)
    return world


def work_across_pin():
    """Release a pin while work that started under its slice runs."""
    world = _owned()
    assert world.daemon(0).start_work(KEYS[0])
    world.pin(PINS[0])
    target = next(iter(_others(0, _successor(world))))
    world.assign(PINS[0], target)
    world.settle()
    return world


def _without_successor(monkeypatch):
    real = UnitTable.assign
    monkeypatch.setattr(
        UnitTable,
        "assign",
        lambda self, unit, owner, _: real(self, unit, owner, 0),
    )


def _drop_earlier_holders(monkeypatch):
    real = UnitTable.assign

    def assign(self, unit, owner, successor):
        self._earlier_holders.pop(unit, None)
        real(self, unit, owner, successor)

    monkeypatch.setattr(UnitTable, "assign", assign)


def _promise_at_once(monkeypatch):
    def time_earlier(self, entry, incarnation):
        return TimedSession(
            session_id=entry.session_id,
            incarnation=incarnation,
            expires_at=self._clock.now(),
            renewable=False,
        )

    monkeypatch.setattr(Witness, "_time_earlier", time_earlier)


def _acknowledge_any(monkeypatch):
    def on_renew(_self, renew):
        return Ack(
            session_id=renew.session_id,
            witness_incarnation=renew.witness_incarnation,
            seq=renew.seq,
            config_offset=0,
            control_offset=0,
        )

    monkeypatch.setattr(Witness, "on_renew", on_renew)


def _acknowledge_ended(monkeypatch):
    real = Witness.on_renew

    def on_renew(self, renew):
        if renew.witness_incarnation == self.incarnation:
            self._timed.setdefault(
                renew.session_id,
                TimedSession(
                    session_id=renew.session_id,
                    incarnation=self.incarnation,
                    expires_at=self._clock.now() + TIMING.expiry_s,
                    renewable=True,
                ),
            )
        return real(self, renew)

    monkeypatch.setattr(Witness, "on_renew", on_renew)


def _no_offset_check(monkeypatch):
    monkeypatch.setattr(Releaser, "_check_folded", lambda *_: None)


def _slice_without_pins(monkeypatch):
    monkeypatch.setattr(Releaser, "_release_pins", lambda *_: None)


def _work_by_unit(monkeypatch):
    def work_in(self, units, _slices):
        return [item for item in self._work if item.permit.unit in units]

    monkeypatch.setattr(Holdings, "work_in", work_in)


FAULTS = [
    (successor_activates_unseen, _without_successor),
    (two_moves_behind, _drop_earlier_holders),
    (witnesses_restart, _promise_at_once),
    (witnesses_restart_and_renew, _acknowledge_any),
    (release_behind_pin, _no_offset_check),
    (ask_behind_pin, _slice_without_pins),
    (renew_after_end, _acknowledge_ended),
    (work_across_pin, _work_by_unit),
]
_IDS = [scenario.__name__ for scenario, _ in FAULTS]


@pytest.mark.parametrize(("scenario", "_fault"), FAULTS, ids=_IDS)
def test_sole_owner_in_scenario(scenario, _fault):
    assert scenario().conflict() is None


@pytest.mark.parametrize(("scenario", "fault"), FAULTS, ids=_IDS)
def test_two_owners_with_fault(scenario, fault, monkeypatch):
    fault(monkeypatch)
    assert scenario().conflict() is not None
