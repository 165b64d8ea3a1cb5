"""Metrics of the gate."""

from __future__ import annotations

from prometheus_client import Counter, Histogram

refusals = Counter(
    "burdockgap_gate_refusals",
    "Attempts without an answer of the target.",
    ["verdict", "reason"],
)
dispatches = Counter(
    "burdockgap_gate_dispatches", "Requests given to the target."
)
completions = Counter(
    "burdockgap_gate_completions", "Whole answers of the target."
)
replays = Counter(
    "burdockgap_gate_replays", "Resends answered from the request log."
)
abandoned = Counter(
    "burdockgap_gate_abandoned", "Requests whose work outlived its caller."
)
ramp_resets = Counter(
    "burdockgap_gate_ramp_falls", "Returns to the limit of a cold start."
)
target_ends = Counter(
    "burdockgap_gate_target_ends", "Target processes that ended."
)
queue_wait = Histogram(
    "burdockgap_gate_queue_wait_seconds",
    "Time that requests waited for a slot of the target.",
    buckets=(0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0),
)
