"""Builders of operators' documents in the platform's format."""

from __future__ import annotations

import json
from typing import Any


def make_route(name: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route resource; ``fields`` override its defaults."""
    spec = {
        "host": "a.example",
        "path-prefix": f"/{name}/",
        "kind": "safe",
        "timeout": "1000ms",
        "target-latency": "300ms",
        "priority": 1,
        "service": service,
        "max-attempts": 2,
        **fields,
    }
    return {
        "resource-kind": "routes",
        "metadata": {"name": name},
        "specification": spec,
    }


def make_service(name: str, **fields: Any) -> dict[str, Any]:
    """Return a service resource; ``fields`` override its defaults."""
    spec = {
        "health-check-path": "/health",
        "connection-limit": 120,
        "cold-start": "3s",
        "cold-per-s": 20.0,
        **fields,
    }
    return {
        "resource-kind": "services",
        "metadata": {"name": name},
        "specification": spec,
    }


def make_limits(**fields: Any) -> dict[str, Any]:
    """Return a limits resource; ``fields`` override its defaults."""
    spec = {
        "max-header-bytes": 16384,
        "max-body-bytes": 1000000,
        "header-timeout": "3000ms",
        "idle-timeout": "15000ms",
        **fields,
    }
    return {
        "resource-kind": "limits",
        "metadata": {},
        "specification": spec,
    }


def make_account(name: str, *keys: str, **fields: Any) -> dict[str, Any]:
    """Return an account resource with keys; ``fields`` are added."""
    return {
        "resource-kind": "tenants",
        "metadata": {"name": name},
        "specification": {"api-keys": list(keys), **fields},
    }


def make_config(*resources: object, version: str = "00000003") -> bytes:
    """Return a configuration of the given resources, as JSON."""
    return json.dumps({"version": version, "resources": resources}).encode()


def make_site_config(version: str = "00000003") -> bytes:
    """
    Return a test site's configuration, as JSON.

    It has a sharded service ``records`` with a safe route and an
    unsharded service ``dispatch`` with a safe and an unsafe one.
    """
    return make_config(
        make_route("read", "records"),
        make_route("book", "dispatch", kind="unsafe"),
        make_route("crew", "dispatch"),
        make_service("records", sharding=True),
        make_service("dispatch"),
        make_limits(),
        version=version,
    )
