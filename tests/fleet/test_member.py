"""Entries of members that another writer may have left."""

from __future__ import annotations

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from burdockgap.fleet.member import Member
from burdockgap.forward.known_notice import KnownNotice
from burdockgap.forward.load import Load

VALUES = Member(
    name="m1",
    incarnation=7,
    address=("10.0.0.9", 8080),
    data_centre="dc1",
    region="r1",
    service="dispatch",
    load=Load(rate_limit=2.5),
    notice=KnownNotice(born=1000, rate_limit=2.5, leaving_s=1.0),
).values()
ADDRESS = 3
LOAD = VALUES.index(Load(rate_limit=2.5).encode())

odd_values = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(2**63), 2**64 - 1),
    st.floats(),
    st.text(max_size=3),
    st.binary(max_size=3),
    st.lists(st.integers(0, 9), max_size=3),
    st.dictionaries(st.text(max_size=2), st.integers(0, 9), max_size=2),
)


def test_member_is_the_same_after_encoding():
    member = Member.decode(msgpack.packb(VALUES))
    assert member.values() == VALUES


@pytest.mark.parametrize(
    "address",
    [
        pytest.param(["10.0.0.9", 99_999], id="port-too-large"),
        pytest.param(["10.0.0.9", 0], id="port-zero"),
        pytest.param(["10.0.0.9", "80"], id="port-text"),
        pytest.param(["10.0.0.9", True], id="port-bool"),
        pytest.param(["", 80], id="no-host"),
        pytest.param(["elsewhere", 80], id="host-name"),
        pytest.param([5, 80], id="host-number"),
        pytest.param(["10.0.0.9"], id="no-port"),
    ],
)
def test_entry_with_an_unusable_address_is_invalid(address):
    values = [*VALUES]
    values[ADDRESS] = address
    with pytest.raises(ValueError, match="member"):
        Member.decode(msgpack.packb(values))


@given(st.integers(0, len(VALUES) - 1), odd_values)
def test_odd_entry_is_invalid_or_usable(index, value):
    values = [*VALUES]
    values[index] = value
    try:
        member = Member.decode(msgpack.packb(values))
    except ValueError:
        return
    # What is accepted can be announced and compared.
    assert Member.decode(member.encode()).values() == member.values()


@given(st.integers(0, len(VALUES[LOAD]) - 1), odd_values)
def test_odd_load_is_invalid_or_usable(index, value):
    load = [*VALUES[LOAD]]
    load[index] = value
    try:
        decoded = Load.decode(load)
    except ValueError:
        return
    assert decoded.service_s * decoded.slowness >= 0
    assert decoded.slots + decoded.in_flight + decoded.waiting >= 0


@given(st.binary(max_size=64))
def test_bytes_that_are_no_entry_are_invalid(data):
    with pytest.raises(ValueError, match="malformed member entry"):
        Member.decode(data)


def test_deeply_nested_entry_is_invalid():
    with pytest.raises(ValueError, match="malformed member entry"):
        Member.decode(b"\x91" * 100_000 + b"\x00")
