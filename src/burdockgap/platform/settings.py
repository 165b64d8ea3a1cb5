"""Reading of the settings file that the platform writes."""

from __future__ import annotations

import resource
import tomllib
from typing import TYPE_CHECKING, Any

from burdockgap.platform.fields import parse_address, require_field
from burdockgap.platform.times import decode_time
from burdockgap.scheduling.quota_limits import QuotaBounds
from burdockgap.sidecar.sidecar_settings import SidecarSettings
from burdockgap.wire.checks import check_number

if TYPE_CHECKING:
    from pathlib import Path

_BYTES_PER_MBIT = 125_000
_BYTES_PER_MB = 1_000_000
_PROCESS_BYTES = 45_000_000
"""Memory of an idle daemon, 37 MB, and what is not counted."""
_BUFFER_SHARE = 0.5
"""Share of the other memory for messages. One message at a time is
copied when it is complete and again when it is sent on."""
_MIN_BUFFER_SHARE = 0.1
"""Least share of the whole memory for messages."""
SETTINGS_VARIABLE = "BURDOCKGAP_NODE_FILE"


def read_settings(path: Path) -> SidecarSettings:
    """
    Read the platform's settings file; unknown fields are ignored.

    :raises ValueError: if the file is not TOML, or a field is missing
        or invalid.
    :raises OSError: if the file cannot be read.
    """
    source = tomllib.loads(path.read_text(encoding="utf-8"))
    bounds = require_field(source, "bounds", dict)
    limits = require_field(source, "limits", dict)
    listen = require_field(source, "listen-addresses", dict)
    number_types = (int, float)
    return SidecarSettings(
        name=require_field(source, "node-name", str),
        data_centre=require_field(source, "zone", str),
        region=require_field(source, "region", str),
        service=require_field(source, "service", str),
        ip=require_field(source, "ip-address", str),
        # Only the host: other daemons connect to peer_port instead.
        peer_host=parse_address(require_field(listen, "inbound", str))[0],
        peer_port=_first_internal_port(source),
        # The local server and callers on this machine connect here.
        callers=parse_address(require_field(listen, "outbound", str)),
        readiness=parse_address(require_field(listen, "ready", str)),
        control=parse_address(require_field(listen, "control", str)),
        store=parse_address(
            require_field(
                require_field(source, "platform", dict), "address", str
            )
        ),
        budget_ratio=require_field(bounds, "retry-budget-ratio", number_types),
        budget_extra=require_field(
            bounds, "budget-extra-retries", number_types
        ),
        budget_window_s=decode_time(
            require_field(bounds, "budget-window", str)
        ),
        link_bytes_per_s=require_field(limits, "link-mbps", number_types)
        * _BYTES_PER_MBIT,
        drain_s=decode_time(require_field(bounds, "drain", str)),
        grace_s=decode_time(require_field(bounds, "grace-period", str)),
        buffer_bytes=_buffer_bytes(
            require_field(limits, "memory-mb", number_types) * _BYTES_PER_MB
        ),
        descriptors=_descriptors(limits),
        cores=_cores(limits),
        quota_bounds=_read_quota_bounds(bounds),
    )


def _read_quota_bounds(bounds: dict[str, Any]) -> QuotaBounds:
    """Return the bounds; sites without accounts may omit them."""
    bounds = {
        "quota-window": "5s",
        "quota-overage": 0.1,
        "quota-slack": 20,
        **bounds,
    }
    numbers = {
        name: check_number(
            require_field(bounds, name, (int, float)), f"field {name!r}"
        )
        for name in ("quota-overage", "quota-slack")
    }
    return QuotaBounds(
        window_s=decode_time(require_field(bounds, "quota-window", str)),
        overage=numbers["quota-overage"],
        slack=numbers["quota-slack"],
    )


def _buffer_bytes(memory_bytes: float) -> int:
    return int(
        max(
            (memory_bytes - _PROCESS_BYTES) * _BUFFER_SHARE,
            memory_bytes * _MIN_BUFFER_SHARE,
        )
    )


def _descriptors(limits: dict[str, Any]) -> int:
    """Return the platform's limit, else that of the process."""
    if "file-descriptors" not in limits:
        return resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    value: int = require_field(limits, "file-descriptors", int)
    return value


def _cores(limits: dict[str, Any]) -> float:
    """Return the processor time, that of a whole core by default."""
    limits = {"cpu-share": 1.0, "cpu-cores": 1, **limits}
    share, cores = (
        check_number(
            require_field(limits, name, (int, float)), f"field {name!r}"
        )
        for name in ("cpu-share", "cpu-cores")
    )
    return share * cores


def _first_internal_port(source: dict[str, Any]) -> int:
    ports = require_field(source, "internal-port-range", list)
    if not ports or not isinstance(ports[0], int):
        raise ValueError(
            "field 'internal-port-range' does not begin with a port"
        )
    return ports[0]
