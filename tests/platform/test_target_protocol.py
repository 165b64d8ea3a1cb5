"""Encoding of calls to servers and interpretation of responses."""

from __future__ import annotations

import json

import pytest

from burdockgap.http1.response import Response
from burdockgap.platform.target_protocol import PlatformTargetProtocol
from burdockgap.verdict import Verdict
from tests.forward.builders import make_call

SEALED = [("attempt-id", "r1"), ("server-seal", "s")]


@pytest.mark.parametrize(
    ("status", "headers", "verdict"),
    [
        pytest.param(200, SEALED, Verdict.RAN, id="success"),
        pytest.param(500, SEALED, Verdict.RAN, id="failure"),
        pytest.param(504, SEALED, Verdict.RAN, id="deadline"),
        pytest.param(503, [], Verdict.RAN, id="no-promise"),
        pytest.param(503, [("not-executed", "1")], Verdict.NOT_RUN, id="shed"),
        pytest.param(421, [], Verdict.NOT_RUN, id="other-instance"),
    ],
)
def test_verdict_of_response(status, headers, verdict):
    assert (
        PlatformTargetProtocol().verdict(Response(status, headers)) is verdict
    )


@pytest.mark.parametrize(
    ("headers", "trusted"),
    [
        pytest.param(SEALED, True, id="sealed"),
        pytest.param(SEALED[:1], False, id="no-seal"),
        pytest.param(SEALED[1:], False, id="no-id"),
        pytest.param(
            [*SEALED, ("content-encoding", "gzip")], False, id="encoded"
        ),
    ],
)
def test_success_is_trusted_only_with_seal_and_id(headers, trusted):
    protocol = PlatformTargetProtocol()
    assert protocol.is_complete(Response(200, headers)) is trusted


@pytest.mark.parametrize(
    ("headers", "rate_limit", "leaving"),
    [
        pytest.param([], None, False, id="nothing"),
        pytest.param([("server-limit", "14.5")], 14.5, False, id="limit"),
        pytest.param([("server-limit", "0")], 0.0, False, id="limit-zero"),
        pytest.param([("server-leaving", "1")], None, True, id="leaving"),
        pytest.param([("server-leaving", "0")], None, False, id="stays"),
    ],
)
def test_notice_of_response(headers, rate_limit, leaving):
    response = Response(200, [*SEALED, *headers])
    notice = PlatformTargetProtocol().notice(make_call(), response)
    assert (notice.rate_limit, notice.leaving) == (rate_limit, leaving)


@pytest.mark.parametrize(
    ("status", "headers"),
    [
        pytest.param(200, [("server-leaving", "1")], id="no-id"),
        pytest.param(200, [("attempt-id", "r9")], id="other-id"),
        pytest.param(421, SEALED, id="other-instance"),
        pytest.param(200, [*SEALED, ("server-limit", "x")], id="no-number"),
        pytest.param(200, [*SEALED, ("server-limit", "nan")], id="nan"),
        pytest.param(200, [*SEALED, ("server-limit", "1e999")], id="endless"),
        pytest.param(200, [*SEALED, ("server-limit", "-1")], id="negative"),
    ],
)
def test_notice_that_may_not_be_the_targets_is_ignored(status, headers):
    response = Response(status, headers)
    assert PlatformTargetProtocol().notice(make_call(), response) is None


@pytest.mark.parametrize(
    ("value", "slowness"),
    [
        pytest.param("3,0,8,250", 2.5, id="slow"),
        pytest.param("3,0,8", 1.0, id="three-figures"),
        pytest.param("3,0,8,x", 1.0, id="garbage"),
        pytest.param("", 1.0, id="empty"),
    ],
)
def test_slowness_of_load_header(value, slowness):
    response = Response(200, [("server-load", value)])
    assert PlatformTargetProtocol().slowness(response) == slowness


def test_response_is_matched_by_echoed_id():
    protocol, call = PlatformTargetProtocol(), make_call()
    assert protocol.matches(call, Response(200, [("attempt-id", "r1")]))
    assert not protocol.matches(call, Response(200, [("attempt-id", "r2")]))
    assert protocol.matches(call, Response(503))


def test_encoded_grant_and_release():
    protocol = PlatformTargetProtocol()
    data = protocol.encode_grant(
        first=1, last=9, fence=5, hold_s=1.2345, handover="h"
    )
    assert data.startswith(b"POST /api/grant HTTP/1.1\r\n")
    assert json.loads(data.partition(b"\r\n\r\n")[2]) == {
        "from": 1,
        "to": 9,
        "fence": 5,
        "hold_time": "1234ms",
        "handover": "h",
    }
    data = protocol.encode_release(first=1, last=9, fence=5)
    assert json.loads(data.partition(b"\r\n\r\n")[2]) == {
        "from": 1,
        "to": 9,
        "fence": 5,
    }


def test_encoded_call_has_internal_and_callers_headers():
    call = make_call(headers=[("host", "a"), ("x-other", "1")])
    data = PlatformTargetProtocol().encode_head(
        call, target_id="i-1", left_s=0.5
    )
    assert data.endswith(b"\r\n\r\n")
    head = data.partition(b"\r\n\r\n")[0].decode().lower()
    assert "deadline-milliseconds: 500" in head
    assert "expected-instance: i-1" in head
    assert "calling-service: records" in head
    assert "x-other: 1" in head


@pytest.mark.parametrize(
    ("account", "lines"),
    [
        pytest.param("", [], id="none"),
        pytest.param("acme", [b"tenant: acme"], id="account"),
    ],
)
def test_target_gets_the_name_of_the_account(account, lines):
    data = PlatformTargetProtocol().encode_head(
        make_call(account=account), target_id="i-1", left_s=1.0
    )
    got = [line for line in data.split(b"\r\n") if line.startswith(b"tenant")]
    assert got == lines
