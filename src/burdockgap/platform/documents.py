"""Decoding of operators' documents from the platform's format."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from burdockgap.accounts.key_directory import KeyDirectory
from burdockgap.http1.limits import ConnectionLimits
from burdockgap.platform.accounts import decode_account
from burdockgap.platform.fields import (
    decode_json,
    require_field,
    require_integer,
)
from burdockgap.platform.names import CONFIG_KEY, ZONE_OUT_PREFIX
from burdockgap.platform.times import decode_time
from burdockgap.routing.documents import DataCentreOut
from burdockgap.routing.route import Route
from burdockgap.routing.routing_config import RoutingConfig
from burdockgap.routing.service_policy import ServicePolicy
from burdockgap.wire.checks import check_integer

if TYPE_CHECKING:
    from burdockgap.accounts.account import Account

_NUMBER_TYPES = (int, float)
_VERSION_BASE = 16
_DEFAULT_MAX_ATTEMPTS = 1


class PlatformDocuments:
    """Decodes the documents that operators write to the store."""

    __slots__ = ()

    def decode(
        self, key: str, value: bytes
    ) -> RoutingConfig | DataCentreOut | None:
        """
        Decode one document.

        :param key: the document's key in the store.
        :param value: the document's content.
        :return: the decoded document, ``None`` for an unknown key.
        :raises ValueError: if the document is invalid.
        """
        if key.startswith(ZONE_OUT_PREFIX):
            return DataCentreOut(key.removeprefix(ZONE_OUT_PREFIX))
        if key == CONFIG_KEY:
            return decode_config(value)
        return None


def decode_config(value: bytes) -> RoutingConfig:
    """
    Decode a configuration.

    :param value: the configuration's JSON.
    :raises ValueError: if any part of it is invalid.
    """
    source = decode_json(value)
    resources = require_field(source, "resources", list)
    routes: list[Route] = []
    services: list[ServicePolicy] = []
    accounts: list[tuple[Account, list[bytes]]] = []
    limits = ConnectionLimits()
    for resource in resources:
        # The kind of this entry, not that of the entry it belongs to.
        kind = require_field(resource, "resource-kind", str)
        name = _decode_name(resource)
        spec = require_field(resource, "specification", dict)
        if kind == "routes":
            routes.append(_decode_route(name, spec))
        elif kind == "services":
            services.append(_decode_service(name, spec))
        elif kind == "limits":
            limits = _decode_limits(spec)
        elif kind == "tenants":
            accounts.append(decode_account(name, spec))
    _validate(routes, services)
    return RoutingConfig(
        version=check_integer(
            int(require_field(source, "version", str), _VERSION_BASE),
            "field 'version'",
        ),
        routes=routes,
        services=services,
        limits=limits,
        accounts=KeyDirectory(accounts) if accounts else None,
    )


def _decode_route(name: str, spec: dict[str, Any]) -> Route:
    prefix = require_field(spec, "path-prefix", str)
    host = require_field(spec, "host", str)
    if not host:
        raise ValueError(f"route {name!r} has no host")
    if not prefix.startswith("/") or not prefix.endswith("/"):
        raise ValueError(
            f"prefix {prefix!r} of route {name!r} must begin and end with /"
        )
    kind = require_field(spec, "kind", str)
    idempotent = kind in {"safe", "download"}
    timeout_s = decode_time(require_field(spec, "timeout", str))
    return Route(
        name=name,
        host=host.lower(),
        prefix=prefix,
        idempotent=idempotent,
        large=kind == "download",
        timeout_s=timeout_s,
        objective_s=decode_time(spec.get("target-latency", spec["timeout"])),
        max_attempts=require_integer(
            {"max-attempts": _DEFAULT_MAX_ATTEMPTS, **spec}, "max-attempts"
        ),
        priority=require_integer({"priority": 0, **spec}, "priority"),
        weighted_services=_decode_weighted_services(name, spec),
        regions=_decode_regions(name, spec),
        allow_anonymous=require_field(
            {"allow-anonymous": False, **spec}, "allow-anonymous", bool
        ),
    )


def _decode_name(resource: dict[str, Any]) -> str:
    metadata = require_field({"metadata": {}, **resource}, "metadata", dict)
    return str(metadata.get("name", ""))


def _decode_regions(name: str, spec: dict[str, Any]) -> frozenset[str]:
    regions = spec.get("allowed-regions") or []
    if not isinstance(regions, list) or not all(
        isinstance(region, str) for region in regions
    ):
        raise ValueError(
            f"field 'allowed-regions' of route {name!r} is no list of names"
        )
    return frozenset(regions)


def _decode_weighted_services(
    name: str, spec: dict[str, Any]
) -> list[tuple[str, float]]:
    if "weighted-services" not in spec:
        return [(require_field(spec, "service", str), 1.0)]
    weighted_services: list[tuple[str, float]] = [
        (
            require_field(part, "service", str),
            require_field(part, "weight", _NUMBER_TYPES),
        )
        for part in require_field(spec, "weighted-services", list)
    ]
    if sum(weight for _, weight in weighted_services) <= 0:
        raise ValueError(f"route {name!r} has no service of positive weight")
    return weighted_services


def _decode_service(name: str, spec: dict[str, Any]) -> ServicePolicy:
    return ServicePolicy(
        name=name,
        health_path=require_field(spec, "health-check-path", str),
        max_connections=require_field(spec, "connection-limit", int),
        cold_start_s=decode_time(require_field(spec, "cold-start", str)),
        cold_rate=require_field(spec, "cold-per-s", _NUMBER_TYPES),
        keyed=bool(spec.get("sharding", False)),
    )


def _decode_limits(spec: dict[str, Any]) -> ConnectionLimits:
    return ConnectionLimits(
        header_bytes=require_field(spec, "max-header-bytes", int),
        body_bytes=require_field(spec, "max-body-bytes", int),
        header_timeout_s=decode_time(
            require_field(spec, "header-timeout", str)
        ),
        idle_timeout_s=decode_time(require_field(spec, "idle-timeout", str)),
    )


def _validate(routes: list[Route], services: list[ServicePolicy]) -> None:
    service_names = {service.name for service in services}
    seen_prefixes: set[tuple[str, str]] = set()
    for route in routes:
        for service, _ in route.weighted_services:
            if service not in service_names:
                raise ValueError(
                    f"route {route.name!r} refers to unknown service "
                    f"{service!r}"
                )
        host_and_prefix = (route.host, route.prefix)
        if host_and_prefix in seen_prefixes:
            raise ValueError(
                f"host {route.host!r} has prefix {route.prefix!r} twice"
            )
        seen_prefixes.add(host_and_prefix)
