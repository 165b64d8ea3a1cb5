"""Why an attempt at a request got no response from a target."""

from __future__ import annotations

import enum


class Reason(enum.Enum):
    """The cause reported with a refusal or a failure."""

    BAD_REQUEST = "bad-request"
    UNKNOWN_SERVICE = "unknown-service"
    MISSING_KEY = "missing-key"
    NOT_OWNER = "not-owner"
    ACTIVATING = "activating"
    NO_LEASE = "no-lease"
    NO_OWNER = "no-owner"
    DRAINING = "draining"
    DATA_CENTRE_OUT = "data-centre-out"
    OVERLOADED = "overloaded"
    RATE_LIMITED = "rate-limited"
    LINK_FULL = "link-full"
    QUEUE_FULL = "queue-full"
    QUEUE_TIMEOUT = "queue-timeout"
    TARGET_DOWN = "target-down"
    TARGET_SHED = "target-shed"
    TARGET_FAILED = "target-failed"
    QUARANTINED = "quarantined"
    DUPLICATE = "duplicate"
    DEADLINE = "deadline"
    UNREACHABLE = "unreachable"
    CONNECTION_LOST = "connection-lost"
    TRUNCATED = "truncated"
