"""Accounts on real daemons: whose a request is and what servers get."""

from __future__ import annotations

import asyncio
import itertools
import os
from contextlib import asynccontextmanager

import pytest

from burdockgap.accounts.account import Account
from burdockgap.accounts.key_audit import KeyAudit
from burdockgap.accounts.key_directory import KeyDirectory
from burdockgap.accounts.quotas import Quotas
from standins.sidecar.documents import (
    make_account,
    make_config,
    make_limits,
    make_route,
    make_service,
)
from tests.sidecar.builders import open_site

pytestmark = pytest.mark.anyio

KEY = "key-that-is-secret"
BEARER = f"Bearer {KEY}"
ACCOUNT = make_account("acme", KEY, priority=3)


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def publish(site, *accounts: object, version="00000004"):
    """Put a configuration in force at all daemons."""
    document = make_config(
        make_route("read", "records"),
        make_route("crew", "dispatch"),
        make_route("open", "dispatch", **{"allow-anonymous": True}),
        make_service("records", sharding=True),
        make_service("dispatch"),
        make_limits(),
        *accounts,
        version=version,
    )
    site.store.put("keyed.op", "config", document)
    await site.wait_until(
        lambda: all(
            machine.node.documents.config_version == int(version, 16)
            for machine in site.machines
        )
    )


async def publish_invalid(site):
    """Publish an account with an empty key; wait for the refusal."""
    accounts = [make_account("acme", KEY, "")]
    document = make_config(*accounts, version="00000005")
    site.store.put("keyed.op", "config", document)
    events = [machine.node.metrics.events for machine in site.machines]
    await site.wait_until(
        lambda: all(
            event.labels("document_refused")._value.get() > 0
            for event in events
        )
    )


@asynccontextmanager
async def open_account_site(*accounts: object):
    """Start two daemons, each with a server, and some accounts."""
    async with open_site("dispatch", "dispatch") as site:
        await site.wait_until_ready()
        await publish(site, *accounts)
        yield site


def account_headers(site):
    """Return the account headers of all requests that servers got."""
    return [
        [
            (name, value)
            for name, value in req.headers
            if name in {"authorization", "tenant"}
        ]
        for machine in site.machines
        for req in machine.app.requests
    ]


@pytest.mark.parametrize(
    ("path", "headers", "status", "sent"),
    [
        pytest.param(
            "/crew/1",
            {"Authorization": BEARER},
            200,
            [[("tenant", "acme")]],
            id="key",
        ),
        pytest.param(
            "/open/1",
            {"Authorization": BEARER, "Tenant": "liar"},
            200,
            [[("tenant", "acme")]],
            id="key-on-open-route",
        ),
        pytest.param("/open/1", {}, 200, [[]], id="open-route"),
        pytest.param(
            "/open/1", {"Tenant": "liar"}, 200, [[]], id="claims-an-account"
        ),
        pytest.param("/crew/1", {}, 401, [], id="no-key"),
        pytest.param(
            "/crew/1", {"Authorization": "Bearer x"}, 401, [], id="unknown"
        ),
        pytest.param(
            "/open/1",
            {"Authorization": "Bearer x"},
            401,
            [],
            id="unknown-on-open-route",
        ),
        pytest.param(
            "/crew/1", {"Authorization": f"Basic {KEY}"}, 401, [], id="scheme"
        ),
        pytest.param(
            "/crew/1",
            {"Authorization": "Bearer " + "x" * 15_000},
            401,
            [],
            id="long-key",
        ),
    ],
)
async def test_key_decides_on_the_request(path, headers, status, sent):
    async with open_account_site(ACCOUNT) as site:
        response = await site.machines[0].ask(path, **headers)
        assert response.status == status
        assert account_headers(site) == sent


async def test_without_accounts_the_headers_are_passed_on():
    """Guards deployments without accounts against any change."""
    async with open_account_site() as site:
        response = await site.machines[0].ask(
            "/crew/1", Authorization=BEARER, Tenant="own"
        )
        assert response.status == 200
        assert account_headers(site) == [
            [("authorization", BEARER), ("tenant", "own")]
        ]


async def test_key_changes_with_the_configuration():
    async with open_account_site(ACCOUNT) as site:
        await publish(site, make_account("acme", "new"), version="00000005")
        statuses = [
            (await machine.ask("/crew/1", Authorization=value)).status
            for machine in site.machines
            for value in (BEARER, "Bearer new")
        ]
        assert statuses == [401, 200, 401, 200]


async def test_invalid_accounts_leave_the_configuration_in_force():
    async with open_account_site(ACCOUNT) as site:
        await publish_invalid(site)
        response = await site.machines[0].ask("/crew/1", Authorization=BEARER)
        assert response.status == 200


async def test_without_a_configuration_the_answer_is_503():
    """A daemon that cannot know the keys must not reject them."""
    async with open_site("dispatch") as site:
        (machine,) = site.machines
        await site.wait_until_ready()
        machine.node.documents.config = None
        response = await machine.ask("/crew/1", Authorization="Bearer x")
        assert response.status == 503


async def test_key_is_not_logged():
    reader, writer = os.pipe()
    async with open_site("dispatch") as site:
        os.dup2(writer, site.log_fd)
        await site.wait_until_ready()
        await publish(site, ACCOUNT)
        await publish_invalid(site)
        for value in (BEARER, f"Basic {KEY}", f"Bearer {KEY}x"):
            await site.machines[0].ask("/crew/1", Authorization=value)
        machine = site.machines[0]
        machine.node.event_log.flush()
        exposed = machine.node.metrics.expose().decode()
    os.close(writer)
    with os.fdopen(reader) as log:
        lines = log.read()
    assert '"acme"' in lines
    assert KEY not in lines
    assert KEY not in exposed


async def send_for(machines, *, rate, seconds):
    """Send requests to machines in turn; return the responses."""
    async with asyncio.TaskGroup() as tasks:
        sent = []
        for machine in itertools.islice(
            itertools.cycle(machines), int(rate * seconds)
        ):
            request = machine.ask("/crew/1", Authorization=BEARER)
            sent.append(tasks.create_task(request))
            await asyncio.sleep(1 / rate)
    return [task.result() for task in sent]


async def test_daemons_keep_a_quota_together():
    """Guards against a quota that each daemon grants by itself."""
    account = make_account("acme", KEY, burst=10, **{"rate-per-s": 10})
    async with open_site(*["dispatch"] * 4) as site:
        await site.wait_until_ready()
        await publish(site, account)
        responses = await send_for(site.machines, rate=100, seconds=5.0)
        arrived = sum(len(machine.app.requests) for machine in site.machines)
    refused = [got for got in responses if got.status == 429]
    waits = {float(got.header("retry-after")) for got in refused}
    assert {got.status for got in responses} <= {200, 429, 503}
    assert 25 <= arrived <= (10 * 5 + 10) * 1.1 + 20
    assert 0 < min(waits) <= max(waits) <= 2.0


async def test_requests_below_the_quota_are_admitted():
    """Guards against refusals where one daemon gets all the demand."""
    account = make_account("acme", KEY, burst=20, **{"rate-per-s": 20})
    async with open_site(*["dispatch"] * 4) as site:
        await site.wait_until_ready()
        await publish(site, account)
        await asyncio.sleep(1.5)
        responses = await send_for(site.machines[:1], rate=10, seconds=3.0)
    assert [got.status for got in responses].count(429) == 0


async def test_request_that_reached_no_server_costs_no_quota():
    """Guards against refusals for other reasons that use up a quota."""
    account = make_account("acme", KEY, burst=2, **{"rate-per-s": 1})
    async with open_site("dispatch") as site:
        (machine,) = site.machines
        await site.wait_until_ready()
        await publish(site, account)
        await asyncio.sleep(2.5)
        machine.node.gate.leaving = True
        for _ in range(10):
            refused = await machine.ask("/crew/1", Authorization=BEARER)
            assert refused.status == 503
        machine.node.gate.leaving = False
        response = await machine.ask("/crew/1", Authorization=BEARER)
        assert response.status == 200


@pytest.mark.parametrize(
    ("may_retry", "attempts"),
    [
        pytest.param(True, 2, id="below-the-quota"),
        pytest.param(False, 1, id="above-the-quota"),
    ],
)
async def test_each_attempt_at_a_server_costs_quota(
    may_retry, attempts, monkeypatch
):
    """Guards against retries that exceed the quota."""
    account = make_account("acme", KEY, burst=50, **{"rate-per-s": 50})
    async with open_account_site(account) as site:
        for machine in site.machines:
            machine.app.status = 500
        taken = []

        async def acquire(_account):
            taken.append(_account.name)
            return 0.0 if may_retry or len(taken) == 1 else 0.3

        monkeypatch.setattr(Quotas, "acquire", lambda _self, it: acquire(it))
        response = await site.machines[0].ask("/crew/1", Authorization=BEARER)
        assert response.status == 500
        assert len(account_headers(site)) == attempts
        assert taken == ["acme"] * 2


async def test_account_without_a_limit_is_not_refused():
    async with open_account_site(ACCOUNT) as site:
        responses = await send_for(site.machines, rate=100, seconds=1.0)
    assert 429 not in {got.status for got in responses}


async def test_keys_that_appear_or_go_are_logged_by_digest():
    events = []
    audit = KeyAudit(lambda event, fields: events.append((event, fields)))
    first = KeyDirectory([(Account("a"), [b"k1", b"k2"])])
    audit.note(first, 1)
    audit.note(first, 1)
    audit.note(KeyDirectory([(Account("a"), [b"k2"])]), 2)
    audit.note(None, 3)
    changes = [(fields["change"], fields["version"]) for _, fields in events]
    digests = [fields["digest"] for _, fields in events]
    assert changes == [("added", 1)] * 2 + [("removed", 2), ("removed", 3)]
    assert all(len(digest) == 8 for digest in digests)
    assert set(digests[:2]) == set(digests[2:])
