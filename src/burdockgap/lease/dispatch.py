"""Handling of each type of lease datagram."""

from __future__ import annotations

from functools import singledispatch

from burdockgap.gate.messages.suspects import Suspects
from burdockgap.lease.counters import IGNORED
from burdockgap.lease.datagram_receivers import DatagramReceivers
from burdockgap.lease.messages.ack import Ack
from burdockgap.lease.messages.promise import Promise
from burdockgap.lease.messages.renew import Renew
from burdockgap.wire import Message

KINDS = (Renew, Ack, Promise, Suspects)


@singledispatch
def handle(
    msg: object, _parties: DatagramReceivers, _source: str
) -> Message | None:
    """
    Pass a datagram to its receiver.

    :param msg: the decoded datagram.
    :param parties: the possible receivers.
    :param source: the sender's ``ip:port``.
    :return: the answer to the sender, if any.
    """
    raise TypeError(f"no handler for {type(msg)}")


@handle.register
def _(msg: Renew, parties: DatagramReceivers, source: str) -> Message | None:
    peer = parties.witness.holder_address(msg.session_id) or source
    parties.on_offsets(peer, msg.config_offset, msg.control_offset)
    return parties.witness.on_renew(msg)


@handle.register
def _(msg: Ack, parties: DatagramReceivers, source: str) -> Message | None:
    holder = parties.holders.get(msg.session_id)
    peer = holder.witness_address(msg.witness_incarnation) if holder else ""
    parties.on_offsets(peer or source, msg.config_offset, msg.control_offset)
    if holder is None:
        IGNORED.labels("ack-session").inc()
        return None
    holder.on_ack(msg)
    return None


@handle.register
def _(
    msg: Promise, parties: DatagramReceivers, _source: str
) -> Message | None:
    parties.certificates.add(msg)
    return None


@handle.register
def _(
    msg: Suspects, parties: DatagramReceivers, _source: str
) -> Message | None:
    if parties.quarantine is not None:
        parties.quarantine.merge(msg)
    return None
