"""The settings file that the platform writes."""

from __future__ import annotations

import tomllib
from typing import TYPE_CHECKING, Any

from burdockgap.platform.fields import address, field
from burdockgap.platform.times import decode_time
from burdockgap.sidecar.sidecar_settings import SidecarSettings

if TYPE_CHECKING:
    from pathlib import Path

_BYTES_PER_MBIT = 125_000
SETTINGS_VARIABLE = "BURDOCKGAP_NODE_FILE"


def read_settings(path: Path) -> SidecarSettings:
    """
    Read the settings of the platform's file; unknown fields may come.

    :raises ValueError: if a field is missing or cannot be used.
    :raises OSError: if the file cannot be read.
    """
    source = tomllib.loads(path.read_text(encoding="utf-8"))
    bounds = field(source, "bounds", dict)
    limits = field(source, "limits", dict)
    listen = field(source, "listen-addresses", dict)
    number = (int, float)
    return SidecarSettings(
        name=field(source, "node-name", str),
        data_centre=field(source, "zone", str),
        region=field(source, "region", str),
        service=field(source, "service", str),
        ip=field(source, "ip-address", str),
        # Other daemons call at a port of our own, not at this one's.
        peer_host=address(field(listen, "inbound", str))[0],
        peer_port=_first_port(source),
        # Callers on the machine and the server itself send here.
        callers=address(field(listen, "outbound", str)),
        readiness=address(field(listen, "ready", str)),
        control=address(field(listen, "control", str)),
        store=address(field(field(source, "platform", dict), "address", str)),
        budget_ratio=field(bounds, "retry-budget-ratio", number),
        budget_extra=field(bounds, "budget-extra-retries", number),
        budget_window_s=decode_time(field(bounds, "budget-window", str)),
        link_bytes_per_s=field(limits, "link-mbps", number) * _BYTES_PER_MBIT,
        drain_s=decode_time(field(bounds, "drain", str)),
        grace_s=decode_time(field(bounds, "grace-period", str)),
    )


def _first_port(source: dict[str, Any]) -> int:
    ports = field(source, "internal-port-range", list)
    if not ports or not isinstance(ports[0], int):
        raise ValueError("field 'internal-port-range' names no port")
    return ports[0]
