"""Names of HTTP headers in callers' requests and responses."""

from __future__ import annotations

SERVICE = "burdockgap-service"
KEY = "burdockgap-key"
REQUEST_ID = "burdockgap-request-id"
IDEMPOTENT = "burdockgap-idempotent"
TIMEOUT_MS = "burdockgap-timeout-ms"
VERDICT = "burdockgap-verdict"
REASON = "burdockgap-reason"
OWNER = "burdockgap-owner"
OWNER_ADDRESS = "burdockgap-owner-address"

PREFIX = "burdockgap-"

HOP_BY_HOP = frozenset(
    {
        "connection",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers that apply to one connection and are not forwarded."""
