"""Gauges of a daemon's components."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from burdockgap.fleet.datagrams import KIND_NAMES
from burdockgap.shards.lease_monitor import LeaseAnswer

if TYPE_CHECKING:
    from burdockgap.sidecar.node import Node


_HOLDERS = (
    "bodies",
    "calls",
    "connections",
    "frames",
    "heads",
    "replies",
    "responses",
)


def add_gauges(node: Node) -> None:
    """Register the gauges, which are read when metrics are scraped."""
    gauge = node.metrics.gauge
    gauge(
        "log_lines_dropped",
        "Log lines dropped as too many.",
        lambda: node.event_log.dropped,
    )
    gauge("store_calls", "Calls of the store.", lambda: node.store.calls)
    gauge(
        "store_generation",
        "Generation of the store, which increases when it loses writes.",
        lambda: node.store.generation.number,
    )
    gauge(
        "members",
        "Live members, this one included.",
        lambda: len(node.roster.live()),
    )
    gauge(
        "coordinator",
        "1 if this member acts as coordinator.",
        lambda: int(node.coordinator.is_active),
    )
    gauge(
        "config_version",
        "Version of the configuration in force, 0 if none.",
        lambda: node.documents.config.version if node.documents.config else 0,
    )
    gauge(
        "documents_offset",
        "Offset up to which the operators' documents are known.",
        lambda: node.documents.position[1],
    )
    gauge(
        "documents_generation",
        "Generation of the store in which that offset is valid.",
        lambda: node.documents.position[0],
    )
    gauge(
        "documents_read_age_seconds",
        "Time since the store last answered a read of these documents.",
        lambda: node.follower.read_age_s,
    )
    gauge(
        "keys_held",
        "Keys that the target holds now.",
        lambda: node.holder.held_key_count if node.holder else 0,
    )
    gauge(
        "key_ranges",
        "Ranges of keys in the newest assignment known, of all servers.",
        lambda: sum(map(len, node.view.state.shards.values())),
    )
    for answer in LeaseAnswer:
        if answer is not LeaseAnswer.NONE:
            gauge(
                f"lease_answers_{answer.value}",
                f"Answers of the coordinator to reports: {answer.value}.",
                partial(node.reporter.monitor.answers.get, answer, 0),
            )
    for kind, name in KIND_NAMES.items():
        gauge(
            f"datagrams_{name}_bytes",
            f"Bytes sent in datagrams of the kind {name}.",
            partial(node.datagrams.sent_bytes.get, kind, 0),
        )
    for traffic, counter in node.link.counters.items():
        gauge(
            f"link_{traffic}_received_bytes",
            f"Bytes of payload received over the link: {traffic}.",
            partial(getattr, counter, "received"),
        )
        gauge(
            f"link_{traffic}_sent_bytes",
            f"Bytes of payload passed to sockets: {traffic}.",
            partial(getattr, counter, "sent"),
        )
    gauge(
        "link_received_share",
        "Share of the link that payload received in the last second used.",
        lambda: node.link.received_share,
    )
    gauge(
        "link_sent_share",
        "Share of the link that payload sent in the last second used.",
        lambda: node.link.sent_share,
    )
    gauge(
        "link_granted_bytes",
        "Bytes of long messages that peers may have under way.",
        lambda: node.downlink.under_way_bytes,
    )
    gauge(
        "link_backlog_seconds",
        "Time that the link takes for the long messages peers offer.",
        lambda: node.downlink.backlog_s,
    )
    gauge(
        "calls_abandoned_bytes",
        "Bytes of calls to other daemons that ended without a reply.",
        lambda: node.link.counters["peers"].abandoned,
    )
    gauge(
        "target_rate_limit",
        "Requests per second that the target named as its limit, 0 if none.",
        lambda: node.target.limit.named_rate or 0,
    )
    gauge(
        "buffered_bytes",
        "Bytes of messages and connections that the process holds.",
        lambda: node.buffers.used,
    )
    for holder in _HOLDERS:
        gauge(
            f"held_{holder}_bytes",
            f"The part of buffered_bytes for {holder}.",
            partial(node.buffers.held.get, holder, 0),
        )
    gauge(
        "refused_for_memory",
        "Messages and connections refused since they did not fit.",
        lambda: node.buffers.refused,
    )
    gauge(
        "quota_tokens_pooled",
        "Unused requests of accounts' quotas that are held for all members.",
        lambda: node.quotas.pooled,
    )
    gauge(
        "nested_in_flight",
        "Calls that requests at the own target have made, in progress.",
        lambda: node.gate.running.nested_calls,
    )
    gauge(
        "in_flight",
        "Requests at the target.",
        lambda: node.gate.in_flight,
    )
    gauge(
        "slots_used",
        "Requests that the target is given at once, as learned.",
        lambda: node.gate.load.slots,
    )
    gauge(
        "target_slowdown",
        "How many times longer than usual requests take, 1 unless slow.",
        lambda: node.gate.slowdown,
    )
    gauge(
        "members_full",
        "Members that refused a call and are not expected to have room yet.",
        lambda: sum(
            node.roster.candidate(member).full_s > 0
            for member in node.roster.live()
        ),
    )
    gauge(
        "rejected_loads",
        "Loads not used, as impossible or of another incarnation.",
        lambda: node.roster.rejected_loads.count,
    )
