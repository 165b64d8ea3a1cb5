"""Decoding of operators' documents, valid and invalid."""

from __future__ import annotations

import pytest

from burdockgap.platform.documents import PlatformDocuments, decode_config
from burdockgap.routing.documents import DataCentreOut
from standins.sidecar.documents import make_config, make_route, make_service


@pytest.mark.parametrize(
    ("resources", "why"),
    [
        pytest.param(
            [make_route("x", "b")], "unknown service 'b'", id="unknown-service"
        ),
        pytest.param(
            [make_route("x", "a", **{"path-prefix": "/x"})],
            "must begin and end",
            id="bare-prefix",
        ),
        pytest.param(
            [make_route("x", "a"), make_route("x", "a")],
            "twice",
            id="same-place",
        ),
        pytest.param([make_route("x", "a", host="")], "no host", id="no-host"),
        pytest.param(
            [make_route("x", "a", timeout="soon")], "not a time", id="no-time"
        ),
        pytest.param(
            [make_route("x", "a", kind=5)], "field 'kind'", id="no-kind"
        ),
        pytest.param(
            [make_route("x", "a", priority="urgent")],
            "field 'priority'",
            id="priority-text",
        ),
        pytest.param(
            [make_route("x", "a", **{"max-attempts": [2]})],
            "field 'max-attempts'",
            id="attempts-list",
        ),
        pytest.param(
            [make_route("x", "a", **{"allowed-regions": [{}]})],
            "allowed-regions",
            id="region-object",
        ),
        pytest.param(
            [{**make_route("x", "a"), "metadata": 5}],
            "field 'metadata'",
            id="metadata-number",
        ),
        pytest.param(
            [make_route("x", "a", timeout="infs")], "not a time", id="endless"
        ),
        pytest.param(
            [make_service("b", **{"cold-per-s": float("nan")})],
            "not a finite number",
            id="rate-nan",
        ),
    ],
)
def test_invalid_config_error_names_the_cause(resources, why):
    with pytest.raises(ValueError, match=why):
        decode_config(make_config(*resources, make_service("a")))


def test_version_out_of_range_is_invalid():
    with pytest.raises(ValueError, match="version"):
        decode_config(make_config(make_service("a"), version="f" * 20))


def test_deeply_nested_config_is_invalid():
    with pytest.raises(ValueError, match="nested"):
        decode_config(b'{"resources":' + b"[" * 100_000)


@pytest.mark.parametrize(
    ("kind", "idempotent", "large"),
    [
        pytest.param("safe", True, False, id="safe"),
        pytest.param("unsafe", False, False, id="unsafe"),
        pytest.param("download", True, True, id="download"),
        pytest.param("keyed", False, False, id="keyed"),
        pytest.param("new-kind", False, False, id="unknown"),
    ],
)
def test_route_kind_determines_idempotency_and_size(kind, idempotent, large):
    config = decode_config(
        make_config(make_route("x", "a", kind=kind), make_service("a"))
    )
    route = config.find("a.example", "/x/1")
    assert (route.idempotent, route.large) == (idempotent, large)


def test_decode_documents_other_than_the_config():
    documents = PlatformDocuments()
    assert documents.decode("unknown", b"{}") is None
    out = documents.decode("evacuate/tanta", b"{}")
    assert isinstance(out, DataCentreOut)
    assert out.data_centre == "tanta"
