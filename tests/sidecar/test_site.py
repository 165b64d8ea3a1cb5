"""The whole path with daemons, servers and store in one process."""

from __future__ import annotations

import asyncio

import pytest

from standins.sidecar.documents import make_site_config
from tests.sidecar.builders import open_site

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def test_unkeyed_request_any_daemon():
    async with open_site("dispatch", "dispatch", "records") as site:
        await site.settled()
        for machine in site.machines:
            answer = await machine.ask("/book/1", method="POST", body=b"x")
            assert answer.status == 200
            assert answer.body == b"answer to x"
            assert answer.header("server-seal")
        runs = [run for item in site.machines for run in item.app.runs]
        assert sorted(runs) == sorted(set(runs))
        assert len(runs) == 3


async def test_keyed_request_reaches_owner():
    async with open_site("records", "records", "dispatch") as site:
        await site.settled()
        for key in (0, 30000, 40000, 65535):
            assert len(site.holders(key)) == 1
            for machine in site.machines:
                answer = await machine.ask("/read/1", key=key)
                assert answer.status == 200
        assert all(item.app.runs for item in site.machines[:2])


async def test_request_tells_target_what_it_expects():
    async with open_site("dispatch", "records") as site:
        await site.settled()
        await site.machines[1].ask(
            "/book/1?q=%20",
            method="POST",
            body=b"x",
            **{"Calling-Service": "liar"},
        )
        (req,) = site.machines[0].app.requests
        assert req.target == "/book/1?q=%20"
        assert req.header("expected-instance") == "i-1"
        assert req.header("calling-service") == "records"
        assert 0 < int(req.header("deadline-milliseconds")) <= 900


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [
        pytest.param("/nowhere/1", None, 404, id="no-route"),
        pytest.param("/read/1", None, 400, id="no-key"),
        pytest.param("/read", 1, 404, id="prefix-without-slash"),
    ],
)
async def test_refusal_names_its_cause(path, key, status):
    async with open_site("records") as site:
        await site.settled()
        answer = await site.machines[0].ask(path, key=key)
        assert answer.status == status
        assert not site.machines[0].app.runs


async def test_owner_daemon_killed_keys_served_again():
    async with open_site("records", "records", "records") as site:
        await site.settled()
        state = site.machines[0].node.view.state
        victim = next(
            item for item in site.machines if item.name != state.coordinator
        )
        shard = next(
            shard
            for shard in state.shards["records"]
            if shard.owner == victim.name
        )
        await victim.kill()
        asked = next(item for item in site.machines if item is not victim)
        loop = asyncio.get_running_loop()
        began = loop.time()
        while (await asked.ask("/read/1", key=shard.first)).status != 200:
            assert loop.time() - began < 6.0
        new = asked.node.view.state.find("records", shard.first)
        assert new.owner != victim.name
        assert new.fence > shard.fence
        assert site.holders(shard.first) == [
            item for item in site.machines if item.name == new.owner
        ]


async def test_coordinator_killed_another_claims():
    async with open_site("records", "records", "dispatch", "dispatch") as site:
        await site.settled()
        state = site.machines[0].node.view.state
        victim = next(
            item for item in site.machines if item.name == state.coordinator
        )
        rest = [item for item in site.machines if item is not victim]
        await victim.kill()
        await site.until(
            lambda: all(
                item.node.view.state.coordinator != victim.name
                for item in rest
            )
        )
        assert all(item.node.view.state.term > state.term for item in rest)


async def test_configuration_reaches_every_daemon():
    async with open_site("dispatch", "dispatch", "records") as site:
        await site.settled()
        site.store.put("keyed.op", "config", make_site_config("0000000a"))
        await site.until(
            lambda: all(
                item.node.documents.config.version == 10
                for item in site.machines
            ),
            timeout_s=2.0,
        )


async def test_configuration_from_peers_while_store_refuses_one():
    async with open_site("dispatch", "dispatch", "records") as site:
        await site.settled()
        cut = site.machines[0].node
        cut.store._pool.address = ("127.0.0.1", 1)
        cut.store._pool.close()
        site.store.put("keyed.op", "config", make_site_config("0000000b"))
        await site.until(
            lambda: cut.documents.config.version == 11, timeout_s=2.0
        )


async def test_invalid_configuration_leaves_the_old_one():
    async with open_site("dispatch") as site:
        await site.settled()
        site.store.put("keyed.op", "config", b'{"version": "0000000c"')
        site.store.put("keyed.op", "config", make_site_config("00000002"))
        site.store.put("keyed.op", "evacuate/dc9", b"{}")
        node = site.machines[0].node
        await site.until(lambda: "dc9" in node.documents.data_centres_out)
        assert node.documents.config.version == 3


async def test_data_centre_out_refuses_and_comes_back():
    async with open_site("dispatch") as site:
        await site.settled()
        node = site.machines[0].node
        site.store.put("keyed.op", "evacuate/dc1", b"{}")
        await site.until(lambda: node.documents.data_centres_out)
        answer = await site.machines[0].ask("/book/1", method="POST")
        assert answer.status == 503
        assert answer.header("retry-after")
        assert not site.machines[0].app.runs
        site.store.put("keyed.op", "evacuate/dc1", b"")
        await site.until(lambda: not node.documents.data_centres_out)
        answer = await site.machines[0].ask("/book/1", method="POST")
        assert answer.status == 200


async def test_history_lost_documents_read_anew():
    async with open_site("dispatch") as site:
        await site.settled()
        node = site.machines[0].node
        site.store.topics["keyed.op"] += [("other", b"1")] * 5
        site.store.put("keyed.op", "config", make_site_config("0000000d"))
        site.store.drop_history("keyed.op")
        await site.until(lambda: node.documents.config.version == 13)


async def test_store_down_keys_are_served_on():
    async with open_site("records", "records") as site:
        await site.settled()
        site.store.down = True
        loop = asyncio.get_running_loop()
        until = loop.time() + 3.0
        while loop.time() < until:
            for key in (0, 65535):
                answer = await site.machines[0].ask("/read/1", key=key)
                assert answer.status == 200
            await asyncio.sleep(0.1)


async def test_draining_target_keys_move_with_handover():
    async with open_site("records", "records") as site:
        await site.settled()
        leaving = site.machines[0]
        leaving.announce(draining=True)
        await site.until(lambda: leaving.node.holder.held == 0)
        other = site.machines[1]
        await site.until(lambda: other.node.holder.held == 65536)
        assert other.app.handovers
        answer = await leaving.ask("/read/1", key=0)
        assert answer.status == 200
        assert not leaving.app.runs


async def test_target_started_anew_gets_higher_fence():
    async with open_site("records") as site:
        await site.settled()
        machine = site.machines[0]
        before = machine.app.grants[-1][2]
        machine.app.grants.clear()
        machine.born += 500
        machine.announce()
        await site.until(lambda: machine.app.grants)
        assert machine.app.grants[-1][2] > before


async def test_shed_request_is_refused_as_not_run():
    async with open_site("dispatch") as site:
        await site.settled()
        site.machines[0].app.shed = True
        answer = await site.machines[0].ask("/book/1", method="POST")
        assert answer.status == 503
        assert not site.machines[0].app.runs


async def test_unsealed_success_is_no_success():
    async with open_site("dispatch") as site:
        await site.settled()
        site.machines[0].app.omit_seal = True
        answer = await site.machines[0].ask("/book/1", method="POST")
        assert answer.status == 502
        assert len(site.machines[0].app.runs) == 1


async def test_stopped_target_is_refused_as_not_run():
    async with open_site("dispatch") as site:
        await site.settled()
        await site.machines[0].stop_app()
        answer = await site.machines[0].ask("/book/1", method="POST")
        assert answer.status == 503


async def test_store_calls_at_rest_are_few():
    async with open_site("records", "dispatch", "dispatch") as site:
        await site.settled()
        before = sum(site.store.calls.values())
        await asyncio.sleep(2.0)
        assert sum(site.store.calls.values()) - before <= 3


async def test_stopping_daemon_refuses_late_requests_as_not_run():
    async with open_site("records", "records") as site:
        await site.settled()
        stopping, other = site.machines
        stopping.node.begin_leaving()
        assert not stopping.node.is_ready
        answer = await stopping.ask("/read/1", key=0)
        assert answer.status == 200
        stopping.node.stop_taking()
        runs = len(stopping.app.runs) + len(other.app.runs)
        answer = await stopping.ask("/read/1", key=0)
        assert answer.status == 503
        assert len(stopping.app.runs) + len(other.app.runs) == runs
