"""Declarations of all keys of the configuration document."""

from __future__ import annotations

from burdockgap.config.field import Field

NAME_PATTERN = "[a-z][a-z0-9_-]{0,62}"
MAX_SLICES = 16384
DEFAULT_PROFILE = "default"

_PATH_PATTERN = "(/[A-Za-z0-9._~-]+)+"
_DAY_MS = 24 * 60 * 60 * 1000
_MINUTE_MS = 60 * 1000

SERVICE_FIELDS = (
    Field(
        "keyed",
        bool,
        False,
        "whether each key belongs to one target at a time",
    ),
    Field(
        "slices",
        int,
        256,
        "parts of the hash space; fixed for good, for keyed services only",
        lowest=1,
        highest=MAX_SLICES,
        power_of_two=True,
    ),
    Field(
        "profile",
        str,
        DEFAULT_PROFILE,
        "the profile that says how requests are treated",
        pattern=NAME_PATTERN,
    ),
    Field(
        "path_prefix",
        str,
        "",
        "request paths that belong to the service",
        pattern=_PATH_PATTERN,
    ),
)

PROFILE_FIELDS = (
    Field(
        "idempotent",
        bool,
        False,
        "whether requests without a marking may run more than once",
    ),
    Field(
        "deadline_ms",
        int,
        5000,
        "time for a request that names no deadline",
        lowest=1,
        highest=_DAY_MS,
    ),
    Field(
        "attempts",
        int,
        3,
        "attempts per request, the first included",
        lowest=1,
        highest=10,
    ),
    Field(
        "retry_budget",
        float,
        0.1,
        "retries as a share of the traffic",
        lowest=0,
        highest=1,
    ),
    Field(
        "hedge_after_ms",
        int,
        0,
        "time after which an idempotent request is hedged; 0 is never",
        lowest=0,
        highest=_MINUTE_MS,
    ),
    Field(
        "hedge_budget",
        float,
        0.05,
        "hedges as a share of the traffic",
        lowest=0,
        highest=1,
    ),
    Field(
        "queue_length",
        int,
        64,
        "requests that may wait at a target",
        lowest=0,
        highest=10_000,
    ),
    Field(
        "queue_wait_ms",
        int,
        1000,
        "longest wait in the queue before a refusal",
        lowest=0,
        highest=_MINUTE_MS,
    ),
    Field(
        "spill_load",
        float,
        0.8,
        "load of the local data centre above which others are used",
        lowest=0,
        highest=1,
    ),
    Field(
        "ramp_start",
        int,
        0,
        "slots of a cold target at first; 0 is what the target says",
        lowest=0,
        highest=10_000,
    ),
    Field(
        "ramp_step",
        int,
        8,
        "completed requests for each slot that a cold target gains",
        lowest=1,
        highest=10_000,
    ),
)
