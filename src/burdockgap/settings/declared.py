"""The declaration of every setting."""

from __future__ import annotations

from burdockgap.settings.option import Option
from burdockgap.settings.ranges import (
    Address,
    Between,
    Name,
    OneOf,
    Text,
    Url,
)

_SECONDS = "seconds"

DAEMON = (
    Option(
        "daemon",
        "name",
        str,
        allowed=Name(),
        help="Name of this daemon and of the target beside it; unique.",
    ),
    Option(
        "daemon",
        "data_centre",
        str,
        allowed=Name(),
        help="Data centre that the daemon runs in.",
    ),
    Option(
        "daemon",
        "region",
        str,
        allowed=Name(),
        help="Region of the data centre.",
    ),
)

HTTP = (
    Option(
        "http",
        "bind",
        str,
        default="127.0.0.1:8080",
        allowed=Address(),
        help="Address on which callers are served.",
    ),
    Option(
        "http",
        "advertise",
        str,
        default="",
        allowed=Address(lowest_port=1, optional=True),
        help="Address that callers are told; empty for the bind address.",
    ),
    Option(
        "http",
        "max_header_bytes",
        int,
        unit="bytes",
        default=16384,
        allowed=Between(1024, 1048576),
        help="Largest size of the head of a request.",
    ),
)

PEER = (
    Option(
        "peer",
        "bind",
        str,
        default="127.0.0.1:7070",
        allowed=Address(),
        help="Address for other daemons, TCP and UDP on the same port.",
    ),
    Option(
        "peer",
        "advertise",
        str,
        default="",
        allowed=Address(lowest_port=1, optional=True),
        help="Address that daemons are told; empty for the bind address.",
    ),
    Option(
        "peer",
        "secret",
        str,
        secret=True,
        allowed=Text(16),
        help="Key that authenticates daemons to each other; all share it.",
    ),
    Option(
        "peer",
        "keepalive_s",
        float,
        unit=_SECONDS,
        default=5.0,
        allowed=Between(0.1, 300),
        help="Time between pings on a connection to another daemon.",
    ),
)

ADMIN = (
    Option(
        "admin",
        "bind",
        str,
        default="127.0.0.1:9090",
        allowed=Address(),
        help="Address of the administration API, metrics and health.",
    ),
    Option(
        "admin",
        "token",
        str,
        secret=True,
        default="",
        allowed=Text(0),
        help=(
            "Bearer token that operators present. It may be empty only if "
            "the API is bound to a loopback address."
        ),
    ),
)

LOG = (
    Option(
        "log",
        "url",
        str,
        allowed=Url(),
        help="Base URL of the platform's log service.",
    ),
    Option(
        "log",
        "timeout_s",
        float,
        unit=_SECONDS,
        default=4.0,
        allowed=Between(0.05, 60),
        help="Time allowed for an append, or for a read beyond its wait.",
    ),
    Option(
        "log",
        "poll_wait_s",
        float,
        unit=_SECONDS,
        default=20.0,
        allowed=Between(0, 300),
        help="Time that a read at the end of a stream waits for records.",
    ),
    Option(
        "log",
        "snapshot_every",
        int,
        unit="records",
        default=2000,
        allowed=Between(10, 1000000),
        help=(
            "Records between two snapshots. Keep it well below the number "
            "that the log retains."
        ),
    ),
)

LEASE = (
    Option(
        "lease",
        "duration_s",
        float,
        unit=_SECONDS,
        default=1.2,
        allowed=Between(0.1, 60),
        help="Length of a lease; the same at all daemons.",
    ),
    Option(
        "lease",
        "renew_s",
        float,
        unit=_SECONDS,
        default=0.3,
        allowed=Between(0.02, 20),
        help="Time between renewals; at most a third of the duration.",
    ),
    Option(
        "lease",
        "margin_s",
        float,
        unit=_SECONDS,
        default=0.15,
        allowed=Between(0.01, 20),
        help=(
            "Time that a witness waits beyond the duration, for drift "
            "between clocks; the same at all daemons."
        ),
    ),
    Option(
        "lease",
        "witnesses",
        int,
        unit="daemons",
        default=3,
        allowed=Between(1, 9),
        help="Number of witnesses of a session.",
    ),
)

COORDINATOR = (
    Option(
        "coordinator",
        "batch_s",
        float,
        unit=_SECONDS,
        default=0.3,
        allowed=Between(0.01, 10),
        help="Time over which joins are collected into one record.",
    ),
    Option(
        "coordinator",
        "bootstrap_s",
        float,
        unit=_SECONDS,
        default=2.0,
        allowed=Between(0, 60),
        help="Time that the first coordinator waits for daemons to join.",
    ),
    Option(
        "coordinator",
        "claim_after_s",
        float,
        unit=_SECONDS,
        default=1.5,
        allowed=Between(0.1, 60),
        help="Time without an answer to a join after which a daemon claims.",
    ),
    Option(
        "coordinator",
        "balance_every_s",
        float,
        unit=_SECONDS,
        default=5.0,
        allowed=Between(0.1, 3600),
        help="Time between two rounds of balancing.",
    ),
    Option(
        "coordinator",
        "max_moves_share",
        float,
        unit="share",
        default=0.05,
        allowed=Between(0, 1),
        help="Largest share of a service's units that one round moves.",
    ),
    Option(
        "coordinator",
        "imbalance",
        float,
        unit="ratio",
        default=1.25,
        allowed=Between(1, 100),
        help="Ratio of highest to mean load above which units move.",
    ),
    Option(
        "coordinator",
        "hot_share",
        float,
        unit="share",
        default=0.005,
        allowed=Between(0.0001, 1),
        help="Share of a service's requests that makes a key hot.",
    ),
    Option(
        "coordinator",
        "pins",
        int,
        unit="keys",
        default=56,
        allowed=Between(0, 1024),
        help="Largest number of pinned keys of a service.",
    ),
)

TARGET = (
    Option(
        "target",
        "stall_s",
        float,
        unit=_SECONDS,
        default=1.0,
        allowed=Between(0.05, 600),
        help=(
            "Time without progress of a busy target after which the lease "
            "is no longer renewed."
        ),
    ),
    Option(
        "target",
        "health_every_s",
        float,
        unit=_SECONDS,
        default=1.0,
        allowed=Between(0.05, 600),
        help="Time between two health checks of the target.",
    ),
)

DRAIN = (
    Option(
        "drain",
        "request_timeout_s",
        float,
        unit=_SECONDS,
        default=600.0,
        allowed=Between(0, 86400),
        help="Longest time that a shutdown waits for requests in flight.",
    ),
    Option(
        "drain",
        "release_timeout_s",
        float,
        unit=_SECONDS,
        default=2.0,
        allowed=Between(0.05, 600),
        help="Longest time to wait for an answer to a release.",
    ),
)

LOGGING = (
    Option(
        "logging",
        "format",
        str,
        default="text",
        allowed=OneOf("text", "json"),
        help="Form of the lines on standard error.",
    ),
    Option(
        "logging",
        "level",
        str,
        default="info",
        allowed=OneOf("debug", "info", "warning", "error"),
        help="Least severe level that is written.",
    ),
)

SECTIONS: dict[str, tuple[Option, ...]] = {
    "daemon": DAEMON,
    "http": HTTP,
    "peer": PEER,
    "admin": ADMIN,
    "log": LOG,
    "lease": LEASE,
    "coordinator": COORDINATOR,
    "target": TARGET,
    "drain": DRAIN,
    "logging": LOGGING,
}
"""Every option by section, in the order of the documentation."""
