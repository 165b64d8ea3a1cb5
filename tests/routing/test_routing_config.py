"""Choice of a route and of its service."""

from __future__ import annotations

import collections

import pytest

from burdockgap.platform.documents import decode_config
from standins.sidecar.documents import (
    make_config,
    make_limits,
    make_route,
    make_service,
)


def make_routing(*routes: object, version="00000001"):
    return decode_config(
        make_config(
            *routes,
            make_service("a"),
            make_service("b"),
            make_limits(),
            version=version,
        )
    )


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        pytest.param("h.example", "/x/1", "x", id="prefix"),
        pytest.param("h.example", "/x/y/1", "xy", id="longest"),
        pytest.param("h.example", "/x/yy/1", "x", id="whole-segments"),
        pytest.param("H.Example:80", "/x/", "x", id="case-and-port"),
        pytest.param("h.example", "/x", None, id="no-slash"),
        pytest.param("other.example", "/x/1", "other", id="other-host"),
        pytest.param("other.example", "/x/y/1", "other", id="same-prefix"),
        pytest.param("nowhere.example", "/x/1", None, id="unknown-host"),
    ],
)
def test_find_longest_prefix_of_host(host, path, name):
    config = make_routing(
        make_route("x", "a", host="h.example"),
        make_route("xy", "b", host="h.example", **{"path-prefix": "/x/y/"}),
        make_route(
            "other", "b", host="other.example", **{"path-prefix": "/x/"}
        ),
    )
    route = config.find(host, path)
    assert (route.name if route else None) == name


def test_pick_service_by_weight():
    route = make_route("x", "a")
    del route["specification"]["service"]
    route["specification"]["weighted-services"] = [
        {"service": "a", "weight": 90},
        {"service": "b", "weight": 10},
    ]
    found = make_routing(route).find("a.example", "/x/1")
    counts = collections.Counter(found.pick_service() for _ in range(5000))
    assert counts["a"] / 5000 == pytest.approx(0.9, abs=0.04)
