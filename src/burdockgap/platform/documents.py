"""Operators' documents in the platform's form."""

from __future__ import annotations

import json
from typing import Any

from burdockgap.http1.limits import ConnectionLimits
from burdockgap.platform.fields import field
from burdockgap.platform.names import CONFIG_KEY, ZONE_OUT_PREFIX
from burdockgap.platform.times import decode_time
from burdockgap.routing.documents import DataCentreOut
from burdockgap.routing.route import Route
from burdockgap.routing.routing_config import RoutingConfig
from burdockgap.routing.service_policy import ServicePolicy

_NUMBER = (int, float)
_HEX = 16
_NEVER_REPEATED = 1


class PlatformDocuments:
    """Reads the records that operators write to the store."""

    __slots__ = ()

    def decode(
        self, key: str, value: bytes
    ) -> RoutingConfig | DataCentreOut | None:
        """
        Return a document's meaning, ``None`` if it has none.

        :raises ValueError: if it cannot be used.
        """
        if key.startswith(ZONE_OUT_PREFIX):
            return DataCentreOut(key.removeprefix(ZONE_OUT_PREFIX))
        if key == CONFIG_KEY:
            return decode_config(value)
        return None


def decode_config(value: bytes) -> RoutingConfig:
    """
    Return the configuration of some JSON.

    :raises ValueError: if any part of it cannot be used.
    """
    source = json.loads(value)
    resources = field(source, "resources", list)
    routes: list[Route] = []
    services: list[ServicePolicy] = []
    limits = ConnectionLimits()
    for resource in resources:
        # The field says what the entry is, not what it belongs to.
        kind = field(resource, "resource-kind", str)
        name = resource.get("metadata", {}).get("name", "")
        spec = field(resource, "specification", dict)
        if kind == "routes":
            routes.append(_route(name, spec))
        elif kind == "services":
            services.append(_service(name, spec))
        elif kind == "limits":
            limits = _limits(spec)
    _check(routes, services)
    return RoutingConfig(
        version=int(field(source, "version", str), _HEX),
        routes=routes,
        services=services,
        limits=limits,
    )


def _route(name: str, spec: dict[str, Any]) -> Route:
    prefix = field(spec, "path-prefix", str)
    host = field(spec, "host", str)
    if not host:
        raise ValueError(f"route {name!r} names no host")
    if not prefix.startswith("/") or not prefix.endswith("/"):
        raise ValueError(
            f"prefix {prefix!r} of route {name!r} must begin and end with a /"
        )
    kind = field(spec, "kind", str)
    idempotent = kind in {"safe", "download"}
    timeout_s = decode_time(field(spec, "timeout", str))
    return Route(
        name=name,
        host=host.lower(),
        prefix=prefix,
        idempotent=idempotent,
        large=kind == "download",
        timeout_s=timeout_s,
        objective_s=decode_time(spec.get("target-latency", spec["timeout"])),
        max_attempts=spec.get("max-attempts", _NEVER_REPEATED),
        priority=spec.get("priority", 0),
        weighted_services=_parts(name, spec),
        regions=frozenset(spec.get("allowed-regions") or ()),
    )


def _parts(name: str, spec: dict[str, Any]) -> list[tuple[str, float]]:
    if "weighted-services" not in spec:
        return [(field(spec, "service", str), 1.0)]
    weighted_services: list[tuple[str, float]] = [
        (field(part, "service", str), field(part, "weight", _NUMBER))
        for part in field(spec, "weighted-services", list)
    ]
    if sum(weight for _, weight in weighted_services) <= 0:
        raise ValueError(f"route {name!r} sends to no service")
    return weighted_services


def _service(name: str, spec: dict[str, Any]) -> ServicePolicy:
    return ServicePolicy(
        name=name,
        health_path=field(spec, "health-check-path", str),
        max_connections=field(spec, "connection-limit", int),
        cold_start_s=decode_time(field(spec, "cold-start", str)),
        cold_rate=field(spec, "cold-per-s", _NUMBER),
        keyed=bool(spec.get("sharding", False)),
    )


def _limits(spec: dict[str, Any]) -> ConnectionLimits:
    return ConnectionLimits(
        header_bytes=field(spec, "max-header-bytes", int),
        body_bytes=field(spec, "max-body-bytes", int),
        header_timeout_s=decode_time(field(spec, "header-timeout", str)),
        idle_timeout_s=decode_time(field(spec, "idle-timeout", str)),
    )


def _check(routes: list[Route], services: list[ServicePolicy]) -> None:
    known = {service.name for service in services}
    places: set[tuple[str, str]] = set()
    for route in routes:
        for service, _ in route.weighted_services:
            if service not in known:
                raise ValueError(
                    f"route {route.name!r} sends to unknown service "
                    f"{service!r}"
                )
        place = (route.host, route.prefix)
        if place in places:
            raise ValueError(
                f"host {route.host!r} has prefix {route.prefix!r} twice"
            )
        places.add(place)
