"""Decoding of valid and invalid requests of callers."""

from __future__ import annotations

import pytest

from burdockgap.http1.request import Request
from burdockgap.platform.requests import decode_request

HEADERS = [("host", "a.example"), ("attempt-id", "r1")]


def make_request(*headers: tuple[str, str], target="/x/1?q=1"):
    return Request(method="GET", target=target, headers=[*HEADERS, *headers])


def test_valid_request_is_decoded():
    req = decode_request(
        make_request(
            ("deadline-milliseconds", "800"),
            ("shard-key", "65535"),
            ("calling-service", "liar"),
            ("expected-instance", "i-9"),
            ("connection", "x-hop"),
            ("x-hop", "1"),
            ("x-kept", "2"),
        )
    )
    assert (req.request_id, req.host, req.path) == ("r1", "a.example", "/x/1")
    assert (req.wait_s, req.key) == (0.8, 65535)
    assert req.headers == [*HEADERS, ("shard-key", "65535"), ("x-kept", "2")]


@pytest.mark.parametrize(
    "req",
    [
        pytest.param(make_request(("host", "b")), id="two-hosts"),
        pytest.param(make_request(("shard-key", "x")), id="key-text"),
        pytest.param(
            make_request(("deadline-milliseconds", "soon")), id="deadline-text"
        ),
        pytest.param(
            make_request(("deadline-milliseconds", "0")), id="deadline-passed"
        ),
        pytest.param(
            make_request(("deadline-milliseconds", "nan")), id="deadline-nan"
        ),
        pytest.param(make_request(target="http://a/x/"), id="absolute"),
        pytest.param(
            Request(method="GET", target="/", headers=HEADERS[:1]), id="no-id"
        ),
    ],
)
def test_invalid_request_is_refused(req):
    with pytest.raises(ValueError, match=r"."):
        decode_request(req)


@pytest.mark.parametrize(
    ("headers", "credential"),
    [
        pytest.param([], None, id="none"),
        pytest.param([("authorization", "Bearer k1")], b"k1", id="key"),
        pytest.param([("authorization", "bearer  k1 ")], b"k1", id="spaces"),
        pytest.param([("authorization", "Bearer")], b"", id="no-key"),
        pytest.param([("authorization", "")], b"", id="empty"),
        pytest.param([("authorization", "Basic k1")], b"", id="scheme"),
        pytest.param([("authorization", "k1")], b"", id="bare"),
        pytest.param([("authorization", "Bearer k1")] * 2, b"", id="repeated"),
        pytest.param(
            [("connection", "authorization"), ("authorization", "Bearer k1")],
            b"k1",
            id="listed-in-connection",
        ),
    ],
)
def test_credential_of_request(headers, credential):
    req = decode_request(make_request(*headers))
    assert req.credential == credential


def test_headers_with_and_without_those_of_accounts():
    own = [("authorization", "Bearer k1"), ("tenant", "liar"), ("x", "1")]
    req = decode_request(make_request(*own))
    assert req.headers == [*HEADERS, *own]
    assert req.headers_without_account == [*HEADERS, ("x", "1")]
