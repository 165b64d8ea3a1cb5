"""Which process a connection leads to, over random histories."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from burdockgap.incarnations.process_evidence import MAX_ANNOUNCEMENT_DELAY_S
from tests.incarnations.address_history import AddressHistory


class AddressMachine(RuleBasedStateMachine):
    """OWNER: no token reaches two processes; what is proven is true."""

    def __init__(self):
        super().__init__()
        self.address = AddressHistory()

    @rule(seconds=st.floats(0.01, 3.0))
    def wait(self, seconds):
        address = self.address
        address.now += seconds
        while any(
            sent_at < address.now - MAX_ANNOUNCEMENT_DELAY_S
            for sent_at, _ in address.on_the_way
        ):
            address.on_the_way.pop(0)

    @rule()
    def restart(self):
        self.address.now += 0.01
        self.address.restart()

    @rule()
    def announce(self):
        self.address.announce()

    @precondition(lambda self: self.address.on_the_way)
    @rule(index=st.integers(0, 20))
    def deliver(self, index):
        self.address.now += 0.01
        self.address.deliver(index)

    @rule()
    def connect(self):
        self.address.now += 0.01
        self.address.connect()

    @precondition(lambda self: self.address.connections)
    @rule(index=st.integers(0, 20))
    def replace(self, index):
        self.address.now += 0.01
        connections = self.address.connections
        self.address.connect(connections.pop(index % len(connections)))

    @precondition(lambda self: self.address.connections)
    @rule(index=st.integers(0, 20), is_new=st.booleans())
    def grant(self, index, is_new):
        address = self.address
        address.now += 0.01
        address.last_token += is_new
        connections = address.connections
        address.grant(
            connections[index % len(connections)], address.last_token
        )

    @invariant()
    def no_token_had_two_processes(self):
        for fence, numbers in self.address.sent_to.items():
            assert len(numbers) == 1, f"token {fence} reached {numbers}"

    @invariant()
    def proven_processes_are_the_announced_one(self):
        address = self.address
        for conn in address.connections:
            if address.evidence.is_proven(conn.process):
                assert conn.number == address.heard


AddressMachine.TestCase.settings = settings(
    max_examples=300, stateful_step_count=40, deadline=None
)
TestAddress = AddressMachine.TestCase


@pytest.fixture
def address():
    """Return an address whose process is known for a while."""
    address = AddressHistory()
    for _ in range(8):
        address.announce()
        address.deliver(0)
        address.now += 1.0
    return address


def test_connection_is_proven_once_no_late_announcement_explains_it(address):
    conn = address.connect()
    for _ in range(int(MAX_ANNOUNCEMENT_DELAY_S)):
        address.now += 1.0
        assert not address.evidence.is_proven(conn.process)
        address.announce()
        address.deliver(0)
    assert address.evidence.is_proven(conn.process)


def test_token_may_follow_its_process_to_a_new_connection(address):
    first = address.connect()
    address.announce()
    address.now += 0.1
    address.deliver(0)
    assert address.grant(first, 1)
    second = address.connect()
    assert not address.grant(second, 1)
    assert address.grant(first, 1)
    assert address.grant(second, 1)


def test_token_stays_with_a_process_that_was_silent(address):
    """Its connections are lost, but it is proven to be the same."""
    first = address.connect()
    for _ in range(8):
        address.now += 1.0
        address.announce()
        address.deliver(0)
    assert address.grant(first, 1)
    second = address.connect()
    for _ in range(8):
        address.now += 1.0
        address.announce()
        address.deliver(0)
    assert address.grant(second, 1)


def test_replaced_connection_is_presumed_to_lead_to_the_same(address):
    first = address.connect()
    address.announce()
    address.now += 0.1
    address.deliver(0)
    second = address.connect(replaced=first)
    assert address.evidence.is_presumed(second.process)
    assert not address.evidence.is_proven(second.process)


def test_forgotten_tokens_and_processes_take_no_memory(address):
    for fence in range(100):
        address.tokens.note_sent(fence, address.connect().process)
    address.tokens.retain([99])
    assert address.tokens.recipient(98) is None
    address.connections.clear()
    assert len(address.evidence._processes) == 1
