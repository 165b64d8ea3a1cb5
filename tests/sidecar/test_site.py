"""End-to-end tests of daemons, servers and store in one process."""

from __future__ import annotations

import asyncio

import msgpack
import pytest

from burdockgap.forward.outcome import Outcome
from burdockgap.hop.call_kinds import FORWARD
from burdockgap.sidecar.peer_call_handlers import PeerCallHandlers
from burdockgap.verdict import Reason, Verdict
from standins.sidecar.documents import make_site_config
from tests.forward.builders import make_call
from tests.ports import HOST
from tests.sidecar.builders import Machine, open_site

pytestmark = pytest.mark.anyio

MEMBERS = "keyed.burdockgap-members"


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def test_unkeyed_request_through_any_daemon():
    async with open_site("dispatch", "dispatch", "records") as site:
        await site.wait_until_ready()
        for machine in site.machines:
            answer = await machine.ask("/book/1", method="POST", body=b"x")
            assert answer.status == 200
            assert answer.body == b"answer to x"
            assert answer.header("server-seal")
        runs = [run for machine in site.machines for run in machine.app.runs]
        assert sorted(runs) == sorted(set(runs))
        assert len(runs) == 3


async def test_keyed_request_is_run_by_owner():
    async with open_site("records", "records", "dispatch") as site:
        await site.wait_until_ready()
        for key in (0, 30000, 40000, 65535):
            assert len(site.holders(key)) == 1
            for machine in site.machines:
                answer = await machine.ask("/read/1", key=key)
                assert answer.status == 200
        assert all(machine.app.runs for machine in site.machines[:2])


async def test_request_carries_internal_headers():
    async with open_site("dispatch", "records") as site:
        await site.wait_until_ready()
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
async def test_status_of_refusal_depends_on_cause(path, key, status):
    async with open_site("records") as site:
        await site.wait_until_ready()
        answer = await site.machines[0].ask(path, key=key)
        assert answer.status == status
        assert not site.machines[0].app.runs


async def test_keys_are_served_again_after_kill_of_owner():
    async with open_site("records", "records", "records") as site:
        await site.wait_until_ready()
        state = site.machines[0].node.view.state
        victim = next(
            machine
            for machine in site.machines
            if machine.name != state.coordinator
        )
        shard = next(
            shard
            for shard in state.shards["records"]
            if shard.owner == victim.name
        )
        await victim.kill()
        survivor = next(
            machine for machine in site.machines if machine is not victim
        )
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        while (await survivor.ask("/read/1", key=shard.first)).status != 200:
            assert loop.time() - started_at < 6.0
        new = survivor.node.view.state.find("records", shard.first)
        assert new.owner != victim.name
        assert new.fence > shard.fence
        assert site.holders(shard.first) == [
            machine for machine in site.machines if machine.name == new.owner
        ]


async def test_another_member_claims_after_kill_of_coordinator():
    async with open_site("records", "records", "dispatch", "dispatch") as site:
        await site.wait_until_ready()
        state = site.machines[0].node.view.state
        victim = next(
            machine
            for machine in site.machines
            if machine.name == state.coordinator
        )
        rest = [machine for machine in site.machines if machine is not victim]
        await victim.kill()
        await site.wait_until(
            lambda: all(
                machine.node.view.state.coordinator != victim.name
                for machine in rest
            )
        )
        assert all(
            machine.node.view.state.term > state.term for machine in rest
        )


async def test_configuration_reaches_every_daemon():
    async with open_site("dispatch", "dispatch", "records") as site:
        await site.wait_until_ready()
        site.store.put("keyed.op", "config", make_site_config("0000000a"))
        await site.wait_until(
            lambda: all(
                machine.node.documents.config.version == 10
                for machine in site.machines
            ),
            timeout_s=2.0,
        )


async def test_configuration_comes_from_peers_if_store_refuses_one():
    async with open_site("dispatch", "dispatch", "records") as site:
        await site.wait_until_ready()
        cut = site.machines[0].node
        cut.store._pool.address = ("127.0.0.1", 1)
        cut.store._pool.close()
        site.store.put("keyed.op", "config", make_site_config("0000000b"))
        await site.wait_until(
            lambda: cut.documents.config.version == 11, timeout_s=2.0
        )


async def test_invalid_configuration_is_ignored():
    async with open_site("dispatch") as site:
        await site.wait_until_ready()
        site.store.put("keyed.op", "config", b'{"version": "0000000c"')
        site.store.put("keyed.op", "config", make_site_config("00000002"))
        site.store.put("keyed.op", "evacuate/dc9", b"{}")
        node = site.machines[0].node
        await site.wait_until(lambda: "dc9" in node.documents.data_centres_out)
        assert node.documents.config.version == 3


async def test_data_centre_out_refuses_until_restored():
    async with open_site("dispatch") as site:
        await site.wait_until_ready()
        node = site.machines[0].node
        site.store.put("keyed.op", "evacuate/dc1", b"{}")
        await site.wait_until(lambda: node.documents.data_centres_out)
        answer = await site.machines[0].ask("/book/1", method="POST")
        assert answer.status == 503
        assert answer.header("retry-after")
        assert not site.machines[0].app.runs
        site.store.put("keyed.op", "evacuate/dc1", b"")
        await site.wait_until(lambda: not node.documents.data_centres_out)
        answer = await site.machines[0].ask("/book/1", method="POST")
        assert answer.status == 200


async def test_documents_are_reread_after_lost_history():
    async with open_site("dispatch") as site:
        await site.wait_until_ready()
        node = site.machines[0].node
        site.store.topics["keyed.op"] += [("other", b"1")] * 5
        site.store.put("keyed.op", "config", make_site_config("0000000d"))
        site.store.drop_history("keyed.op")
        await site.wait_until(lambda: node.documents.config.version == 13)


# CONFIG: no later configuration came in force once the store had
# returned from an older copy, and daemons read it without a pause.
async def test_configuration_is_followed_after_a_restore_of_the_store():
    async with open_site("dispatch", "dispatch", "dispatch") as site:
        await site.wait_until_ready()
        copy = site.store.copy()
        for version in ("00000004", "00000005", "00000006"):
            site.store.put("keyed.op", "config", make_site_config(version))
        nodes = [machine.node for machine in site.machines]
        await site.wait_until(
            lambda: all(node.documents.config.version == 6 for node in nodes)
        )
        calls = sum(site.store.calls.values())
        site.store.restore(copy)
        await asyncio.sleep(1.0)
        assert sum(site.store.calls.values()) - calls < 10 * len(nodes)
        site.store.put("keyed.op", "config", make_site_config("00000007"))
        await site.wait_until(
            lambda: all(node.documents.config.version == 7 for node in nodes),
            timeout_s=2.0,
        )


async def test_restore_of_the_store_is_learned_from_peers():
    async with open_site("dispatch", "dispatch", "dispatch") as site:
        await site.wait_until_ready()
        copy = site.store.copy()
        for version in ("00000004", "00000005", "00000006"):
            site.store.put("keyed.op", "config", make_site_config(version))
        cut = site.machines[0].node
        await site.wait_until(lambda: cut.documents.config.version == 6)
        cut.store._pool.address = ("127.0.0.1", 1)
        cut.store._pool.close()
        site.store.restore(copy)
        site.store.put("keyed.op", "config", make_site_config("00000007"))
        await site.wait_until(
            lambda: cut.documents.config.version == 7, timeout_s=3.0
        )


# OWNER: after the store had returned from an older copy, servers got
# fencing tokens that others had had before.
async def test_fencing_tokens_rise_when_the_coordinator_dies_after_a_restore():
    async with open_site("records", "records", "dispatch", "dispatch") as site:
        await site.wait_until_ready()
        copy = site.store.copy()
        restarted = site.machines[0]
        for born in (5000, 6000, 7000):
            restarted.born = born
            await asyncio.sleep(0.5)
        await site.wait_until_ready()
        victim = next(
            machine
            for machine in site.machines
            if machine.node.coordinator.is_active
        )
        site.store.restore(copy)
        await victim.kill()
        killed_at = asyncio.get_running_loop().time()
        renewable = site.held_tokens()
        highest = max(token for _, token in site.accepted_tokens(0.0))
        survivors = [
            machine for machine in site.machines if machine is not victim
        ]
        await site.wait_until(
            lambda: any(
                machine.node.coordinator.is_active for machine in survivors
            )
        )
        await asyncio.sleep(4.0)
        new = site.accepted_tokens(killed_at) - renewable
        assert new
        assert min(token for _, token in new) > highest


# A member whose entry a restored store had lost and one that started
# later never learned of each other.
async def test_members_find_each_other_after_a_restore_of_the_store():
    async with open_site("dispatch", "dispatch") as site:
        await site.wait_until_ready()
        first, lost = site.machines
        copy = site.store.copy()
        copy[MEMBERS] = [row for row in copy[MEMBERS] if row[0] != lost.name]
        site.store.restore(copy)
        await site.wait_until(
            lambda: dict(site.store.topics[MEMBERS]).get(lost.name)
        )
        newcomer = Machine(site, 9, "dispatch")
        site.machines.append(newcomer)
        await newcomer.start_app()
        await newcomer.start()
        await site.wait_until(
            lambda: (
                lost.node.roster.is_alive(newcomer.name)
                and newcomer.node.roster.is_alive(lost.name)
                and newcomer.node.roster.is_alive(first.name)
            )
        )


async def test_withdrawn_member_does_not_register_again():
    async with open_site("dispatch", "dispatch") as site:
        await site.wait_until_ready()
        leaving = site.machines[0]
        await leaving.node.discovery.withdraw()
        site.store.restore(site.store.copy())
        await asyncio.sleep(2.0)
        assert leaving.name not in {
            key for key, value in site.store.topics[MEMBERS][-2:] if value
        }


async def test_keys_are_served_while_store_is_down():
    async with open_site("records", "records") as site:
        await site.wait_until_ready()
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
        await site.wait_until_ready()
        draining_machine = site.machines[0]
        draining_machine.send_heartbeat(draining=True)
        await site.wait_until(
            lambda: draining_machine.node.holder.held_key_count == 0
        )
        other = site.machines[1]
        await site.wait_until(
            lambda: other.node.holder.held_key_count == 65536
        )
        assert other.app.handovers
        answer = await draining_machine.ask("/read/1", key=0)
        assert answer.status == 200
        assert not draining_machine.app.runs


async def test_restarted_target_gets_higher_fence():
    async with open_site("records") as site:
        await site.wait_until_ready()
        machine = site.machines[0]
        before = machine.app.grants[-1][2]
        machine.app.grants.clear()
        machine.born += 500
        machine.send_heartbeat()
        await site.wait_until(lambda: machine.app.grants)
        assert machine.app.grants[-1][2] > before


async def test_shed_request_is_refused_as_not_run():
    async with open_site("dispatch") as site:
        await site.wait_until_ready()
        site.machines[0].app.shed = True
        answer = await site.machines[0].ask("/book/1", method="POST")
        assert answer.status == 503
        assert not site.machines[0].app.runs


async def test_success_without_seal_is_not_passed_on():
    async with open_site("dispatch") as site:
        await site.wait_until_ready()
        site.machines[0].app.omit_seal = True
        answer = await site.machines[0].ask("/book/1", method="POST")
        assert answer.status == 502
        assert len(site.machines[0].app.runs) == 1


async def test_stopped_target_is_refused_as_not_run():
    async with open_site("dispatch") as site:
        await site.wait_until_ready()
        await site.machines[0].stop_app()
        answer = await site.machines[0].ask("/book/1", method="POST")
        assert answer.status == 503


async def test_idle_site_makes_few_store_calls():
    async with open_site("records", "dispatch", "dispatch") as site:
        await site.wait_until_ready()
        before = sum(site.store.calls.values())
        await asyncio.sleep(2.0)
        assert sum(site.store.calls.values()) - before <= 3


async def test_stopping_daemon_refuses_late_requests_as_not_run():
    async with open_site("records", "records") as site:
        await site.wait_until_ready()
        stopping, other = site.machines
        stopping.node.begin_shutdown()
        assert not stopping.node.is_ready
        answer = await stopping.ask("/read/1", key=0)
        assert answer.status == 200
        stopping.node.stop_accepting()
        runs = len(stopping.app.runs) + len(other.app.runs)
        answer = await stopping.ask("/read/1", key=0)
        assert answer.status == 503
        assert len(stopping.app.runs) + len(other.app.runs) == runs


# CONFIG: a daemon that started after a restore took the older
# configuration of the copy and never asked peers for the later one,
# since they knew the documents up to the same offset.
async def test_daemon_started_after_a_restore_learns_the_configuration():
    async with open_site("dispatch", "dispatch") as site:
        await site.wait_until_ready()
        copy = site.store.copy()
        site.store.put("keyed.op", "config", make_site_config("00000006"))
        nodes = [machine.node for machine in site.machines]
        await site.wait_until(
            lambda: all(node.documents.config.version == 6 for node in nodes)
        )
        site.store.restore(copy)
        await site.wait_until(
            lambda: all(node.documents.position[0] == 2 for node in nodes)
        )
        newcomer = Machine(site, 9, "dispatch")
        site.machines.append(newcomer)
        await newcomer.start_app()
        await newcomer.start()
        await site.wait_until(lambda: newcomer.node.is_ready)
        await site.wait_until(
            lambda: newcomer.node.documents.config.version == 6,
            timeout_s=3.0,
        )


# CONFIG: a configuration that operators wrote after a restore, below
# the offset that daemons knew, was in force only when their reads had
# timed out.
async def test_configuration_below_the_known_offset_is_in_force_in_time():
    async with open_site("records", "records", "dispatch") as site:
        await site.wait_until_ready()
        copy = site.store.copy()
        site.store.put("keyed.op", "config", make_site_config("00000004"))
        await site.wait_until(
            lambda: all(
                machine.node.documents.config_version == 4
                for machine in site.machines
            )
        )
        site.store.stop()
        coordinator = next(
            machine
            for machine in site.machines
            if machine.node.coordinator.is_active
        )
        await coordinator.kill()
        await asyncio.sleep(0.5)
        site.store.restore(copy)
        site.store.put("keyed.op", "config", make_site_config("00000005"))
        site.store.down = False
        rest = [item for item in site.machines if item is not coordinator]
        await site.wait_until(
            lambda: all(
                machine.node.documents.config_version == 5 for machine in rest
            ),
            timeout_s=2.0,
        )


# CONFIG: the member that became coordinator kept its read of documents
# with the members' timeout.
async def test_new_coordinator_reads_documents_with_its_own_timeout():
    async with open_site("records", "dispatch") as site:
        await site.wait_until_ready()
        coordinator = next(
            machine
            for machine in site.machines
            if machine.node.coordinator.is_active
        )
        await asyncio.sleep(0.5)
        await coordinator.kill()
        calls = site.store.calls["/api/log-read"]
        await asyncio.sleep(5.5)
        assert site.store.calls["/api/log-read"] - calls >= 2


# LOST: an entry of another writer, with a port out of range, stopped
# the announcements of all daemons that read it.
async def test_odd_entry_among_the_members_does_not_stop_announcements():
    async with open_site("dispatch", "dispatch") as site:
        await site.wait_until_ready()
        values = site.machines[0].node.roster.own.values()
        values[0], values[3] = "odd", [HOST, 99_999]
        site.store.put(MEMBERS, "odd", msgpack.packb(values))
        newcomer = Machine(site, 9, "dispatch")
        site.machines.append(newcomer)
        await newcomer.start_app()
        await newcomer.start()
        await site.wait_until(lambda: newcomer.node.is_ready)
        await asyncio.sleep(4.0)
        assert len(newcomer.node.roster.live()) == 3
        assert all(
            machine.node.roster.is_alive(newcomer.name)
            for machine in site.machines
        )
        for machine in site.machines:
            assert b"component_failed" not in machine.node.metrics.expose()


# GONE, BUDGET: a call that had been in a link's queue for longer than
# its deadline was run, though its caller had left.
async def test_call_that_arrives_after_its_deadline_is_not_run():
    async with open_site("dispatch") as site:
        await site.wait_until_ready()
        (machine,) = site.machines
        forward = PeerCallHandlers(machine.node).handlers()[FORWARD]
        now = machine.node.clock.now()
        outcomes = [
            Outcome.decode(
                await forward(
                    make_call(
                        request_id=f"r{number}",
                        deadline_s=0.9,
                        sender=5,
                        sent_at=now - in_transit_s,
                    ).encode()
                )
            )
            for number, in_transit_s in enumerate((0.0, 1.5))
        ]
    assert outcomes[0].verdict is Verdict.RAN
    assert outcomes[1].verdict is Verdict.NOT_RUN
    assert outcomes[1].reason is Reason.DEADLINE
    assert machine.app.runs == ["r0"]
