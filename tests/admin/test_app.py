from __future__ import annotations

import json

import httpx
import pytest

from burdockgap.admin import ChangeOutcome, ChangeVerdict
from burdockgap.admin.body import MAX_BODY_BYTES
from burdockgap.fold.metrics import RECORDS
from burdockgap.gate.metrics import dispatches
from burdockgap.lease.counters import DATAGRAMS
from burdockgap.logstore.metrics import APPENDS
from burdockgap.records.end_session import EndSession
from burdockgap.records.publish import Publish
from burdockgap.records.set_data_centre import SetDataCentre
from burdockgap.records.set_target import SetTarget
from tests.admin.conftest import TOKEN

INFO = {
    "service": "records",
    "url": "http://127.0.0.1:1",
    "boot_id": "b",
    "slots": 6,
    "cold_slots": 1,
    "checks_grants": True,
}


def bad_requests(metrics):
    return metrics.registry.get_sample_value(
        "burdockgap_bad_requests_total", {"listener": "admin"}
    )


@pytest.mark.parametrize(
    ("path", "fields", "change"),
    [
        ("config", {"document": "x = 1"}, Publish(document="x = 1")),
        (
            "data-centres/Vodi%C4%8Dka",
            {"out": True},
            SetDataCentre(name="Vodička", out=True),
        ),
        (
            "targets/records-1",
            {"draining": False},
            SetTarget(name="records-1", draining=False),
        ),
        (
            "sessions/00000000000000ff/end",
            {},
            EndSession(session_id=255),
        ),
    ],
    ids=["config", "data-centre", "target", "session"],
)
def test_change_reaches_backend(url, backend, path, fields, change):
    body = {**fields, "author": "jan", "against": 7}
    resp = httpx.post(f"{url}/v1/{path}", json=body)
    assert resp.json() == {"verdict": "accepted", "version": 8, "reason": ""}
    assert resp.status_code == 200
    del body["against"]
    httpx.post(f"{url}/v1/{path}", json=body)
    assert backend.changes == [(change, "jan", 7), (change, "jan", None)]


@pytest.mark.parametrize(
    ("verdict", "status"),
    [
        (ChangeVerdict.REJECTED, 409),
        (ChangeVerdict.INVALID, 400),
        (ChangeVerdict.NOT_FOUND, 404),
        (ChangeVerdict.LOG_UNAVAILABLE, 503),
        (ChangeVerdict.UNKNOWN, 504),
    ],
)
def test_change_outcome_status(url, backend, verdict, status):
    backend.outcome = ChangeOutcome(verdict=verdict, version=9, reason="why")
    resp = httpx.post(
        f"{url}/v1/targets/a", json={"draining": True, "author": "jan"}
    )
    assert resp.status_code == status
    assert resp.json() == {
        "verdict": verdict.value,
        "version": 9,
        "reason": "why",
    }


@pytest.mark.parametrize(
    ("path", "body"),
    [
        ("targets/a", b"{"),
        ("targets/a", b"[]"),
        ("targets/a", b"[" * 100_000),
        ("targets/a", b'{"draining": 1, "author": "jan"}'),
        ("targets/a", b'{"draining": true}'),
        ("targets/a", b'{"draining": true, "author": ""}'),
        ("targets/a", b'{"draining": true, "author": "\\ud800"}'),
        ("targets/a", b'{"draining": true, "author": "a", "extra": 1}'),
        ("targets/a", b'{"draining": true, "author": "a", "\\ud800": 1}'),
        ("targets/a", b'{"draining": true, "author": "a", "against": -1}'),
        ("sessions/-1/end", b'{"author": "a"}'),
        ("sessions/0000000000000000/end", b'{"author": "a"}'),
        ("target/announce", json.dumps({**INFO, "slots": 0}).encode()),
        ("target/announce", json.dumps({**INFO, "url": "x"}).encode()),
    ],
)
def test_bad_body_is_counted(url, backend, metrics, path, body):
    resp = httpx.post(
        f"{url}/v1/{path}",
        content=body,
        headers={"content-type": "application/json"},
    )
    assert resp.status_code == 400
    assert resp.json()["error"]
    assert bad_requests(metrics) == 1
    assert backend.changes == []
    assert backend.infos == []


def test_body_of_other_content_type(url, backend):
    resp = httpx.post(f"{url}/v1/target/leaving", content=b"{}")
    assert resp.status_code == 415
    assert backend.leaving_calls == 0


def chunks(total):
    for _ in range(total // 65536):
        yield b" " * 65536


@pytest.mark.parametrize(
    "content",
    [b" " * (MAX_BODY_BYTES + 1), chunks(2 * MAX_BODY_BYTES)],
    ids=["announced", "chunked"],
)
def test_oversized_body(url, backend, metrics, content):
    resp = httpx.post(
        f"{url}/v1/config",
        content=content,
        headers={"content-type": "application/json"},
    )
    assert resp.status_code == 413
    assert bad_requests(metrics) == 1
    assert backend.changes == []


@pytest.mark.parametrize(
    "header",
    [None, "Bearer wrong", f"Basic {TOKEN}", TOKEN, "Bearer \xe9"],
)
@pytest.mark.parametrize(
    ("method", "path"),
    [("GET", "/v1/status"), ("POST", "/v1/config"), ("GET", "/none")],
)
def test_request_without_token(guarded_url, backend, method, path, header):
    headers = {} if header is None else {"authorization": header.encode()}
    resp = httpx.request(method, guarded_url + path, headers=headers)
    assert resp.status_code == 401
    assert resp.headers["www-authenticate"] == "Bearer"
    assert backend.changes == []


def test_request_with_token(guarded_url):
    headers = {"authorization": f"bearer {TOKEN}"}
    resp = httpx.get(f"{guarded_url}/v1/status", headers=headers)
    assert resp.status_code == 200
    assert resp.json()["data_centres"] == [
        {"name": "dc1", "out": False, "daemons": 4}
    ]


def test_metrics_of_modules_are_rendered_once(url):
    names = [
        line.split()[2]
        for line in httpx.get(f"{url}/metrics").text.splitlines()
        if line.startswith("# TYPE")
    ]
    for metric in (RECORDS, dispatches, DATAGRAMS, APPENDS):
        (family,) = metric.describe()
        assert f"{family.name}_total" in names
    assert len(names) == len(set(names))


def test_open_paths(guarded_url, backend, metrics):
    metrics.retries.inc()
    assert httpx.get(f"{guarded_url}/healthz").status_code == 200
    assert httpx.get(f"{guarded_url}/readyz").status_code == 200
    text = httpx.get(f"{guarded_url}/metrics").text
    assert "burdockgap_retries_total 1.0" in text
    backend.reason = "no lease"
    resp = httpx.get(f"{guarded_url}/readyz")
    assert (resp.status_code, resp.text) == (503, "no lease\n")
    assert httpx.get(f"{guarded_url}/healthz").status_code == 200


@pytest.mark.parametrize(
    ("path", "status"),
    [
        ("/v1/owner?service=records&key=k", 200),
        ("/v1/owner?service=other&key=k", 404),
        ("/v1/owner?service=records", 400),
        ("/v1/owner?service=records&key=k&key=l", 400),
        ("/v1/audit?limit=1000", 200),
        ("/v1/audit?limit=1001", 400),
        ("/v1/audit?limit=x", 400),
        ("/v1/targets/a", 405),
        ("/v2", 404),
    ],
)
def test_get_status(url, path, status):
    assert httpx.get(url + path).status_code == status


def test_target_announces_and_leaves(url, backend):
    resp = httpx.post(f"{url}/v1/target/announce", json=INFO)
    assert resp.status_code == 200
    (info,) = backend.infos
    assert {name: getattr(info, name) for name in INFO} == INFO
    notice = {"boot_id": INFO["boot_id"]}
    resp = httpx.post(f"{url}/v1/target/leaving", json=notice)
    assert resp.status_code == 200
    assert backend.leaving_calls == 1


def test_failing_backend(url, backend):
    backend.error = RuntimeError("broken")
    resp = httpx.post(
        f"{url}/v1/targets/a", json={"draining": True, "author": "jan"}
    )
    assert resp.status_code == 500
    assert "broken" not in resp.text
