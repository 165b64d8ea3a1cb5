"""Daemons, a log and a network in one thread with a simulated clock."""

from __future__ import annotations

from burdockgap.lease.certificates import Certificates
from burdockgap.lease.holder import LeaseHolder
from burdockgap.lease.messages.ack import Ack
from burdockgap.lease.messages.promise import Promise
from burdockgap.lease.messages.renew import Renew
from burdockgap.lease.timing import LeaseTiming
from burdockgap.lease.witness import Witness
from burdockgap.ownership.activator import Activator
from burdockgap.ownership.guard import Guard
from burdockgap.ownership.messages.activation_report import ActivationReport
from burdockgap.ownership.messages.release import Release
from burdockgap.ownership.messages.released import Released
from burdockgap.ownership.own_sessions import OwnSessions
from burdockgap.ownership.release_error import ReleaseError
from burdockgap.ownership.releaser import Releaser
from burdockgap.ownership.unit import hash_key, pin_of, slice_of
from burdockgap.records.activated import Activated
from burdockgap.records.assign import Assign
from burdockgap.records.pin import Pin
from burdockgap.records.unpin import Unpin
from burdockgap.records.witness_ref import WitnessRef
from burdockgap.verdict import Refusal
from tests.builders import FakeClock, FakeFolds, make_session

SERVICE = "records"
SLICES = 2
TIMING = LeaseTiming()
_HASHES = [hash_key(f"pump-{number}") for number in range(16)]
KEYS = [
    next(key for key in _HASHES if slice_of(key, SLICES) == index)
    for index in range(SLICES)
]
PINS = [pin_of(key) for key in KEYS]
UNITS = [*range(SLICES), *PINS]


class Envelope:
    """A message in transit."""

    def __init__(self, receiver, sender, msg):
        self.receiver = receiver
        self.sender = sender
        self.msg = msg


class Daemon:
    """One process run of a daemon, built of the real classes."""

    def __init__(self, world, address, incarnation, folded):
        self.world = world
        self.address = address
        self.incarnation = incarnation
        self.frozen = False
        self.work = []
        self.folds = FakeFolds()
        self.fold_to(folded)
        self.sessions = OwnSessions(
            service=SERVICE, folds=self.folds, make_lease=self._make_lease
        )
        self.certificates = Certificates(self.folds)
        self.witness = Witness(
            incarnation=incarnation,
            address=address,
            clock=world.clock,
            timing=TIMING,
            folds=self.folds,
        )
        self.holders_to_ask = set()
        self.activator = Activator(
            sessions=self.sessions,
            folds=self.folds,
            certificates=self.certificates,
            on_active=lambda _session: None,
            on_release_needed=self.holders_to_ask.add,
        )
        self.releaser = Releaser(
            sessions=self.sessions,
            folds=self.folds,
            withdraw=lambda _session: None,
            cancel=lambda _permits: None,
            release_timeout_s=1.0,
        )
        self.guard = Guard(
            sessions=self.sessions,
            folds=self.folds,
            certificates=self.certificates,
            clock=world.clock,
            margin_s=0.0,
        )

    def _make_lease(self, entry):
        return LeaseHolder(
            entry, clock=self.world.clock, timing=TIMING, folds=self.folds
        )

    def fold_to(self, offset):
        control = self.folds.control
        while control.offset < min(offset, len(self.world.log)):
            self.folds.fold(self.world.log[control.offset])

    def fold(self, count=1000):
        self.fold_to(self.folds.control.offset + count)

    def install_snapshot(self):
        """Replace the fold by the newest one, as a snapshot does."""
        control = self.folds.control
        for offset in range(control.offset, len(self.world.log)):
            control.apply(offset, self.world.log[offset])
        self.sessions.resync()
        self.certificates.resync()
        self.witness.resync()
        self.activator.resync()

    def renew(self):
        for session in self.sessions.admitted():
            for ref in session.lease.witnesses:
                renew = session.lease.make_renew(ref.incarnation)
                self.world.post(ref.address, self.address, renew)

    def push(self):
        for promise in self.witness.due_promises():
            for address in self.witness.promise_receivers(promise.session_id):
                self.world.post(address, self.address, promise)

    def ask(self):
        for holder in sorted(self.holders_to_ask):
            request = self.activator.next_request(holder)
            if request is None:
                self.holders_to_ask.discard(holder)
                continue
            entry = self.folds.control.sessions[holder]
            self.world.post(entry.peer_address, self.address, request)

    def report(self):
        report = self.activator.next_report()
        if report is not None:
            self.world.post("coordinator", self.address, report)

    def receive(self, envelope):
        msg = envelope.msg
        answer = None
        if isinstance(msg, Renew):
            answer = self.witness.on_renew(msg)
        elif isinstance(msg, Ack):
            session = self.sessions.find(msg.session_id)
            if session is not None and session.lease is not None:
                session.lease.on_ack(msg)
        elif isinstance(msg, Promise):
            self.certificates.add(msg)
        elif isinstance(msg, Release):
            answer = self._release(msg)
        elif isinstance(msg, Released):
            self.activator.on_released(msg)
        if answer is not None:
            self.world.post(envelope.sender, self.address, answer)

    def _release(self, request):
        try:
            session = self.releaser.find(request)
            work = self.releaser.start_release(session, request)
        except ReleaseError:
            return None
        answer = self.releaser.make_answer(request, work)
        return answer if answer.units else None

    def start_work(self, key):
        context = self.guard.enter(key)
        try:
            permit = context.__enter__()
        except Refusal:
            return False
        self.work.append((context, key, permit))
        return True

    def finish_work(self):
        if self.work:
            self.work.pop(0)[0].__exit__(None, None, None)

    def holders(self, key):
        """Return the sessions under which work on a key may run."""
        if self.frozen:
            return []
        now = self.world.clock.now()
        unit = self.sessions.table().unit_of(key)
        held = [
            session
            for session in self.sessions.admitted()
            if session.holdings.epoch(unit) and session.is_held(now)
        ]
        permitted = _is_permitted(self.guard, key)
        assert permitted == bool(held)
        return [session.session_id for session in held]

    def working(self, key):
        now = self.world.clock.now()
        return any(
            key == other and permit.expires_at > now
            for _, other, permit in self.work
        )


class World:
    """Daemons with a session each, all folded and renewed."""

    def __init__(self, daemons=4):
        self.clock = FakeClock()
        self.log = []
        self.in_transit = []
        self.writer = FakeFolds()
        self._next_id = 0
        self.daemons = {}
        self.session_of = {}
        self.first = []
        self._write(self.writer.claim())
        self._write(self.writer.layout(SLICES))
        addresses = [f"127.0.0.1:{port}" for port in range(1, daemons + 1)]
        for address in addresses:
            self.start(address)
        sessions = {address: self.new_id() for address in addresses}
        entries = [
            self._entry(address, sessions[address], sessions)
            for address in addresses
        ]
        for address in addresses:
            self._open(address, sessions[address])
        self._write(self.writer.admit(*entries))
        self.fold_all()
        self.renew_all()

    def new_id(self):
        self._next_id += 1
        return self._next_id

    def post(self, receiver, sender, msg):
        if receiver:
            self.in_transit.append(Envelope(receiver, sender, msg))

    def daemon(self, index):
        return list(self.daemons.values())[index]

    def start(self, address, folded=0):
        daemon = Daemon(self, address, 1000 + self.new_id(), folded)
        self.daemons[address] = daemon
        return daemon

    def restart(self, index):
        """Replace a process by a new one that has folded the log."""
        address = self.daemon(index).address
        daemon = self.start(address, len(self.log))
        self.add_session(index)
        return daemon

    def add_session(self, index):
        daemon = self.daemon(index)
        session_id = self.new_id()
        others = dict(self.session_of)
        self._open(daemon.address, session_id)
        entry = self._entry(daemon.address, session_id, others)
        self._write(self.writer.admit(entry))
        return session_id

    def _open(self, address, session_id):
        self.daemons[address].sessions.open(session_id)
        self.session_of[address] = session_id

    def _entry(self, address, session_id, sessions):
        others = [other for other in self.daemons if other != address]
        live = self.writer.control.sessions
        successors = [
            sessions[other]
            for other in others
            if not live or sessions[other] in live
        ]
        return make_session(
            session_id=session_id,
            incarnation=self.daemons[address].incarnation,
            peer_address=address,
            witnesses=[
                WitnessRef(
                    incarnation=self.daemons[other].incarnation, address=other
                )
                for other in others[:3]
            ],
            successors=successors[:2],
        )

    def _write(self, _touched):
        self.log.append(self.writer.last)

    def assign(self, unit, index):
        session_id = self.session_of[self.daemon(index).address]
        self._write(self.writer.add(Assign, units=[unit], owners=[session_id]))

    def pin(self, pin):
        self._write(self.writer.add(Pin, unit=pin))

    def unpin(self, pin):
        self._write(self.writer.add(Unpin, unit=pin))

    def end_certified(self):
        """Log the end of each session that has a certificate."""
        for daemon in list(self.daemons.values()):
            for session_id in daemon.certificates.completed():
                if self.writer.control.is_live(session_id):
                    self._write(self.writer.end(session_id))

    def deliver(self, envelope):
        if envelope.receiver == "coordinator":
            self._write(self._activated(envelope.msg))
            return
        daemon = self.daemons[envelope.receiver]
        if daemon.frozen:
            self.in_transit.append(envelope)
        else:
            daemon.receive(envelope)

    def _activated(self, report: ActivationReport):
        return self.writer.add(
            Activated, units=report.units, epochs=report.epochs
        )

    def deliver_all(self, *kinds: type):
        """Deliver the messages in transit and the answers to them."""
        for _ in range(4):
            chosen = [
                envelope
                for envelope in self.in_transit
                if not kinds or isinstance(envelope.msg, kinds)
            ]
            for envelope in chosen:
                self.in_transit.remove(envelope)
                self.deliver(envelope)

    def fold_all(self, *indexes: int):
        for index in indexes or range(len(self.daemons)):
            if not self.daemon(index).frozen:
                self.daemon(index).fold()

    def renew_all(self, *indexes: int):
        for index in indexes or range(len(self.daemons)):
            if not self.daemon(index).frozen:
                self.daemon(index).renew()
        self.deliver_all(Renew, Ack)

    def settle(self, *indexes: int):
        """Let daemons fold, ask for releases and report."""
        for _ in range(3):
            self.fold_all(*indexes)
            for index in indexes or range(len(self.daemons)):
                self.daemon(index).ask()
                self.daemon(index).report()
            self.deliver_all(Release, Released, ActivationReport)

    def pass_time(self, seconds, *renewing: int):
        """Advance the clock while some daemons keep renewing."""
        for _ in range(round(seconds / TIMING.renew_s)):
            self.clock.time += TIMING.renew_s
            if renewing:
                self.renew_all(*renewing)

    def expire(self, *renewing: int):
        """Advance the clock past expiry and deliver the promises."""
        self.pass_time(TIMING.expiry_s + TIMING.renew_s, *renewing)
        for daemon in self.daemons.values():
            if not daemon.frozen:
                daemon.push()
        self.deliver_all(Promise)

    def holders(self, key):
        """Return the sessions that may work on a key now."""
        return [
            session_id
            for daemon in self.daemons.values()
            for session_id in daemon.holders(key)
        ]

    def conflict(self):
        """Return a key that has two owners now, or ``None``."""
        for key in KEYS:
            permitting = [
                daemon
                for daemon in self.daemons.values()
                if daemon.holders(key)
            ]
            if len(self.holders(key)) > 1:
                return key
            for daemon in self.daemons.values():
                others = [other for other in permitting if other != daemon]
                if others and not daemon.frozen and daemon.working(key):
                    return key
        return None


def _is_permitted(guard, key):
    try:
        guard.check(key)
    except Refusal:
        return False
    return True
