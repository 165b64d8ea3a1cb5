"""How members find each other."""

from __future__ import annotations

import asyncio

import pytest

from burdockgap.fleet.beacons import Beacons
from burdockgap.fleet.datagrams import BEACON
from burdockgap.fleet.roster import Roster
from burdockgap.forward.load import Load
from tests.gate.fakes import FakeClock
from tests.shards.builders import make_member
from tests.shards.control_site import ClockLoop
from tests.shards.fakes import FakeDatagrams

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


class BeaconMember:
    """A member whose beacons are sent by hand, in simulated time."""

    def __init__(self, clock, name, port):
        self.name = name
        self.port = port
        self.datagrams = FakeDatagrams()
        own = make_member(name, address=("127.0.0.1", port))
        self.events = []
        self.roster = Roster(own, lambda event, _: self.events.append(event))
        self.roster._loop = ClockLoop(clock)
        self.beacons = Beacons(
            self.datagrams,
            self.roster,
            refresh=lambda: None,
            on_member=lambda _member: None,
        )
        self.beacons._loop = ClockLoop(clock)

    def announce(self):
        self.beacons._broadcast_own_entry()
        self.beacons._probe_silent_members()

    def announce_to(self, other):
        values = self.roster.own.values()
        other.datagrams.handlers[BEACON]([values, True])

    def take_sent(self):
        sent, self.datagrams.sent = self.datagrams.sent, []
        return sent


def deliver(members):
    """Deliver what was sent, and the replies to it."""
    by_port = {member.port: member for member in members}
    while True:
        sent = [item for member in members for item in member.take_sent()]
        if not sent:
            return
        for address, kind, values in sent:
            by_port[address[1]].datagrams.handlers[kind](list(values))


def advance(clock, members, seconds, *, is_cut):
    for _ in range(seconds):
        clock.seconds += 1.0
        for member in members:
            member.announce()
        if is_cut:
            for member in members:
                member.take_sent()
        else:
            deliver(members)


def alive_names(member):
    return {other.name for other in member.roster.live()}


# OWNER: members that had not heard each other for a minute forgot each
# other, and each part of the site had owners of its own for good.
@pytest.mark.parametrize("cut_s", [30, 65, 600, 7200])
async def test_members_find_each_other_after_a_cut(cut_s):
    clock = FakeClock()
    one, two = members = [
        BeaconMember(clock, "a", 1),
        BeaconMember(clock, "b", 2),
    ]
    one.roster.add_stored(two.roster.own)
    advance(clock, members, 3, is_cut=False)
    assert alive_names(one) == alive_names(two) == {"a", "b"}
    advance(clock, members, cut_s, is_cut=True)
    assert alive_names(one) == {"a"}
    advance(clock, members, 3, is_cut=False)
    assert alive_names(one) == alive_names(two) == {"a", "b"}


# OWNER: the same for a member that was never heard, as it started while
# the cut lasted.
async def test_member_from_the_store_is_found_after_a_cut():
    clock = FakeClock()
    one, two = members = [
        BeaconMember(clock, "a", 1),
        BeaconMember(clock, "b", 2),
    ]
    one.roster.add_stored(two.roster.own)
    advance(clock, members, 90, is_cut=True)
    advance(clock, members, 3, is_cut=False)
    assert alive_names(one) == alive_names(two) == {"a", "b"}


async def test_silent_member_gets_fewer_beacons_and_no_broadcasts():
    clock = FakeClock()
    member = BeaconMember(clock, "a", 1)
    member.roster.add_stored(make_member("b", address=("127.0.0.1", 2)))
    clock.seconds += 61.0
    member.beacons.broadcast(9, "x")
    assert not member.take_sent()
    for _ in range(12):
        clock.seconds += 1.0
        member.announce()
    assert len(member.take_sent()) == 4


async def test_member_that_is_silent_for_a_day_is_forgotten():
    clock = FakeClock()
    member = BeaconMember(clock, "a", 1)
    member.roster.record_announcement(make_member("b"))
    clock.seconds += 24 * 3600.0 + 1.0
    assert not list(member.roster.silent_entries())
    assert member.roster.entry("b") is None


async def test_run_probes_silent_members():
    clock = FakeClock()
    member = BeaconMember(clock, "a", 1)
    member.roster.add_stored(make_member("b", address=("127.0.0.1", 2)))
    clock.seconds += 61.0
    task = asyncio.create_task(member.beacons.run())
    await asyncio.sleep(0.05)
    task.cancel()
    assert [address for address, *_ in member.take_sent()] == [
        ("127.0.0.1", 2)
    ]


# A faulty member would draw all requests, or disappear with its keys.
@pytest.mark.parametrize(
    "figures",
    [
        pytest.param({"in_flight": -1}, id="negative"),
        pytest.param({"service_s": float("nan")}, id="not-finite"),
        pytest.param({"slowness": float("inf")}, id="infinite"),
        pytest.param({"service_s": 1e9}, id="too-long"),
    ],
)
async def test_impossible_load_is_counted_and_not_used(figures):
    clock = FakeClock()
    receiver = BeaconMember(clock, "m1", 1)
    sender = BeaconMember(clock, "m2", 2)
    sender.roster.own.load = Load(in_flight=2, slots=3, service_s=0.1)
    sender.announce_to(receiver)
    sender.roster.own.load = Load(**figures)
    clock.seconds += 1.0
    sender.announce_to(receiver)
    assert receiver.roster.rejected_loads.count == 1
    assert receiver.events.count("load_rejected") == 1
    assert receiver.roster.is_alive("m2")
    load = receiver.roster.load(receiver.roster.member("m2"))
    assert (load.in_flight, load.slots, load.service_s) == (2, 3, 0.1)
    assert receiver.roster.load_age_s("m2") == pytest.approx(1.0)
