"""Handlers of each type of lease datagram."""

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
    msg: object, _receivers: DatagramReceivers, _source: str
) -> Message | None:
    """
    Handle a datagram according to its type.

    :param msg: the decoded datagram.
    :param receivers: the objects that handle datagrams.
    :param source: the sender's ``ip:port``.
    :return: the answer to the sender, if any.
    :raises TypeError: if no handler is registered for the type.
    """
    raise TypeError(f"no handler for {type(msg)}")


@handle.register
def _(msg: Renew, receivers: DatagramReceivers, source: str) -> Message | None:
    peer = receivers.witness.holder_address(msg.session_id) or source
    receivers.on_offsets(peer, msg.config_offset, msg.control_offset)
    return receivers.witness.on_renew(msg)


@handle.register
def _(msg: Ack, receivers: DatagramReceivers, source: str) -> Message | None:
    holder = receivers.holders.get(msg.session_id)
    peer = holder.witness_address(msg.witness_incarnation) if holder else ""
    receivers.on_offsets(peer or source, msg.config_offset, msg.control_offset)
    if holder is None:
        IGNORED.labels("ack-session").inc()
        return None
    holder.on_ack(msg)
    return None


@handle.register
def _(
    msg: Promise, receivers: DatagramReceivers, _source: str
) -> Message | None:
    receivers.certificates.add(msg)
    return None


@handle.register
def _(
    msg: Suspects, receivers: DatagramReceivers, _source: str
) -> Message | None:
    if receivers.quarantine is not None:
        receivers.quarantine.merge(msg)
    return None
