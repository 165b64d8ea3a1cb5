from __future__ import annotations

from contextlib import asynccontextmanager

import anyio
import pytest

from burdockgap.clock import BootClock
from burdockgap.config.parse import parse_document
from burdockgap.fold.folds import Folds
from burdockgap.http.caller_gone import CallerGone
from burdockgap.metrics import Metrics
from burdockgap.router.attempt_history import AttemptHistory
from burdockgap.router.chooser import Chooser
from burdockgap.router.replay_body import ReplayBody
from burdockgap.router.route_reply import RouteReply
from burdockgap.router.route_request import RouteRequest
from burdockgap.router.router import Router
from burdockgap.router.server_table import ServerTable
from burdockgap.verdict import Reason, Refusal, Verdict
from tests.builders import make_session

LOST = Refusal(Verdict.MAY_HAVE_RUN, Reason.CONNECTION_LOST, "lost")
SHED = Refusal(Verdict.NOT_RUN, Reason.TARGET_SHED, "shed")
DOWN = Refusal(Verdict.NOT_RUN, Reason.UNREACHABLE, "down")
PROFILE = """
[services.dispatch]
profile = "p"
[profiles.p]
attempts = 3
hedge_after_ms = {hedge}
retry_budget = 0
"""
SERVERS = (1, 2, 3)


class FakeDispatcher:
    """Returns the listed outcomes, one per attempt."""

    def __init__(self, outcomes) -> None:
        self.outcomes = list(outcomes)
        self.tried = []
        self.cancelled = 0

    @asynccontextmanager
    async def send(self, entry, req, _stats, _deadline):
        self.tried.append(entry.session_id)
        outcome = self.outcomes.pop(0) if self.outcomes else 0.0
        if isinstance(outcome, Refusal):
            raise outcome
        try:
            await anyio.sleep(outcome)
            yield RouteReply(
                status=200,
                headers=[],
                body=req.body.parts(),
                owner=entry.name,
                owner_address="",
            )
        except anyio.get_cancelled_exc_class():
            self.cancelled += 1
            raise


async def parts_of(body):
    if body:
        yield body


def make_request(
    *,
    idempotent,
    hedge=0,
    body=b"b",
    whole=True,
    timeout_s=3.0,
    request_id="",
):
    profile = parse_document(PROFILE.format(hedge=hedge)).unwrap()
    replay = ReplayBody(parts_of(body))
    replay.whole = whole
    return RouteRequest(
        request_id=request_id or "r",
        resendable=bool(request_id),
        service="dispatch",
        method="POST",
        path="/",
        headers=[],
        body=replay,
        key_hash=None,
        idempotent=idempotent,
        deadline=BootClock().now() + timeout_s,
        fingerprint=1,
        profile=profile.profile_of("dispatch"),
    )


def route(dispatcher, req, servers=SERVERS):
    clock = BootClock()
    folds = Folds()
    for session_id in servers:
        folds.control.sessions[session_id] = make_session(
            session_id=session_id, service="dispatch"
        )
    table = ServerTable(clock)
    router = Router(
        folds=folds,
        dispatcher=dispatcher,
        table=table,
        chooser=Chooser(table=table, data_centre="dc1"),
        clock=clock,
        metrics=Metrics(),
    )

    async def run():
        async with router.route(req) as reply:
            return b"".join([part async for part in reply.body])

    return anyio.run(run)


def test_lost_attempt_of_non_idempotent_is_not_retried():
    dispatcher = FakeDispatcher([LOST])
    with pytest.raises(Refusal) as caught:
        route(dispatcher, make_request(idempotent=False))
    assert caught.value.verdict is Verdict.MAY_HAVE_RUN
    assert len(dispatcher.tried) == 1


def test_lost_attempt_of_idempotent_is_retried_elsewhere():
    dispatcher = FakeDispatcher([LOST, LOST])
    assert route(dispatcher, make_request(idempotent=True)) == b"b"
    assert len(set(dispatcher.tried)) == 3


def test_attempts_of_idempotent_are_limited():
    dispatcher = FakeDispatcher([LOST] * 5)
    with pytest.raises(Refusal):
        route(dispatcher, make_request(idempotent=True))
    assert len(dispatcher.tried) == 3


def test_not_run_attempt_of_non_idempotent_is_retried():
    dispatcher = FakeDispatcher([DOWN, SHED])
    assert route(dispatcher, make_request(idempotent=False)) == b"b"
    assert len(dispatcher.tried) == 3


def test_attempt_that_was_too_late_for_one_gate_is_retried():
    """The deadline of an attempt is earlier than the request's."""
    late = Refusal(Verdict.NOT_RUN, Reason.DEADLINE, "late")
    dispatcher = FakeDispatcher([late])
    assert route(dispatcher, make_request(idempotent=True)) == b"b"
    assert len(set(dispatcher.tried)) == 2


def test_verdict_covers_all_attempts():
    dispatcher = FakeDispatcher([LOST, SHED, SHED])
    with pytest.raises(Refusal) as caught:
        route(dispatcher, make_request(idempotent=True))
    assert caught.value.verdict is Verdict.MAY_HAVE_RUN


def test_long_body_is_not_retried():
    dispatcher = FakeDispatcher([DOWN])
    req = make_request(idempotent=False, body=b"x" * 100_000)

    async def read_all():
        async for _ in req.body.parts():
            pass

    anyio.run(read_all)
    with pytest.raises(Refusal) as caught:
        route(dispatcher, req)
    assert caught.value.verdict is Verdict.NOT_RUN
    assert len(dispatcher.tried) == 1


def test_slow_attempt_is_hedged_and_cancelled():
    dispatcher = FakeDispatcher([2.0, 0.0])
    req = make_request(idempotent=True, hedge=20)
    assert route(dispatcher, req) == b"b"
    assert len(set(dispatcher.tried)) == 2
    assert dispatcher.cancelled == 1


@pytest.mark.parametrize(
    ("idempotent", "whole"),
    [
        pytest.param(False, True, id="non-idempotent"),
        pytest.param(True, False, id="body-still-arriving"),
    ],
)
def test_attempt_is_not_hedged(idempotent, whole):
    dispatcher = FakeDispatcher([0.2])
    req = make_request(idempotent=idempotent, hedge=20, whole=whole)
    assert route(dispatcher, req) == b"b"
    assert len(dispatcher.tried) == 1


def test_hedge_refused_waits_for_first():
    dispatcher = FakeDispatcher([0.2, SHED])
    req = make_request(idempotent=True, hedge=20)
    assert route(dispatcher, req) == b"b"
    assert len(dispatcher.tried) == 2


def test_hedge_running_at_deadline_may_have_run():
    class Delayed(FakeDispatcher):
        """Refuses the first attempt once the second one runs."""

        @asynccontextmanager
        async def send(self, entry, req, stats, deadline):
            if not self.tried:
                self.tried.append(entry.session_id)
                await anyio.sleep(0.1)
                raise DOWN
            async with super().send(entry, req, stats, deadline) as reply:
                yield reply

    req = make_request(idempotent=True, hedge=20, timeout_s=0.3)
    with pytest.raises(Refusal) as caught:
        route(Delayed([2.0]), req)
    assert caught.value.verdict is Verdict.MAY_HAVE_RUN


def test_single_server_is_not_hedged():
    dispatcher = FakeDispatcher([0.2])
    req = make_request(idempotent=True, hedge=20)
    assert route(dispatcher, req, servers=(1,)) == b"b"
    assert len(dispatcher.tried) == 1


class SlowBody:
    """A caller's body whose parts arrive slowly."""

    def __init__(self, parts, fails=False):
        self.parts = list(parts)
        self.fails = fails

    def __aiter__(self):
        return self

    async def __anext__(self):
        await anyio.sleep(0.05)
        if self.parts:
            return self.parts.pop(0)
        if self.fails:
            raise CallerGone
        raise StopAsyncIteration


class UploadingDispatcher(FakeDispatcher):
    """Refuses the first attempt while its body is still arriving."""

    def __init__(self, first):
        super().__init__([])
        self.first = first

    @asynccontextmanager
    async def send(self, entry, req, stats, deadline):
        if not self.tried:
            self.tried.append(entry.session_id)
            with anyio.move_on_after(0.12):
                async for _ in req.body.parts():
                    pass
            raise self.first
        async with super().send(entry, req, stats, deadline) as reply:
            yield reply


def test_attempt_that_ends_during_the_upload_keeps_the_body():
    req = make_request(idempotent=False)
    req.body = ReplayBody(SlowBody([b"a", b"b", b"c", b"d"]))
    assert route(UploadingDispatcher(DOWN), req) == b"abcd"


def test_body_that_failed_is_not_sent_as_whole():
    req = make_request(idempotent=True)
    req.body = ReplayBody(SlowBody([b"a"], fails=True))

    class Broken(FakeDispatcher):
        @asynccontextmanager
        async def send(self, entry, req, _stats, _deadline):
            self.tried.append(entry.session_id)
            try:
                async for _ in req.body.parts():
                    pass
            except CallerGone:
                raise LOST from None
            yield

    dispatcher = Broken([])
    with pytest.raises(Refusal):
        route(dispatcher, req)
    assert len(dispatcher.tried) == 1


def test_resends_through_any_router_reach_the_same_gate():
    servers_used = set()
    for number in range(20):
        tried = set()
        for _ in range(4):
            dispatcher = FakeDispatcher([])
            name = f"booking-{number}"
            route(dispatcher, make_request(idempotent=False, request_id=name))
            tried.update(dispatcher.tried)
        assert len(tried) == 1
        servers_used |= tried
    assert servers_used == set(SERVERS)


def test_overloaded_rendezvous_server_is_not_replaced():
    """Otherwise a resend could run on the first server as well."""
    dispatcher = FakeDispatcher([SHED])
    with pytest.raises(Refusal) as caught:
        route(dispatcher, make_request(idempotent=False, request_id="b"))
    assert caught.value.verdict is Verdict.NOT_RUN
    assert len(dispatcher.tried) == 1


def test_unreachable_rendezvous_server_is_replaced():
    dispatcher = FakeDispatcher([DOWN])
    req = make_request(idempotent=False, request_id="b")
    assert route(dispatcher, req) == b"b"
    assert len(set(dispatcher.tried)) == 2


def test_key_goes_to_the_successor_while_its_owner_is_unreachable():
    clock = BootClock()
    table = ServerTable(clock)
    owner, successor = (make_session(session_id=n) for n in (1, 2))
    router = Router(
        folds=Folds(),
        dispatcher=FakeDispatcher([]),
        table=table,
        chooser=Chooser(table=table, data_centre="dc1"),
        clock=clock,
        metrics=Metrics(),
    )
    req = make_request(idempotent=False)
    req.key_hash = 1
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(
            "burdockgap.router.router.keyed_candidates",
            lambda *_args: [owner, successor],
        )
        assert router._choose(req, AttemptHistory()) is owner
        table.stats(owner).record_unreachable()
        assert router._choose(req, AttemptHistory()) is successor


class OwnerCutOff:
    """
    The owner can't be reached; its successor names it as the owner.

    :ivar owner_heals: whether the owner answers from its second try.
    :ivar takes_over_at: clock time from which the successor answers.
    """

    def __init__(self, owner, successor) -> None:
        self.owner = owner
        self.successor = successor
        self.takes_over_at = float("inf")
        self.owner_heals = False
        self.tried = []
        self.clock = BootClock()
        self.table = ServerTable(self.clock)

    @asynccontextmanager
    async def send(self, entry, req, stats, _deadline):
        first_time = entry not in self.tried
        self.tried.append(entry)
        if entry is self.owner and (first_time or not self.owner_heals):
            await anyio.sleep(0.2)
            stats.record_unreachable()
            raise DOWN
        if entry is self.successor and self.clock.now() < self.takes_over_at:
            raise Refusal(
                Verdict.NOT_RUN,
                Reason.NOT_OWNER,
                "not the owner",
                owner=self.owner.peer_address,
            )
        yield RouteReply(
            status=200,
            headers=[],
            body=req.body.parts(),
            owner=entry.name,
            owner_address="",
        )


def route_keyed(dispatcher, req, *, also=None):
    """Route a request for a key; return the owner that answered."""
    router = Router(
        folds=Folds(),
        dispatcher=dispatcher,
        table=dispatcher.table,
        chooser=Chooser(table=dispatcher.table, data_centre="dc1"),
        clock=dispatcher.clock,
        metrics=Metrics(),
    )
    req.key_hash = 1

    async def run():
        async with anyio.create_task_group() as tasks:
            if also is not None:
                tasks.start_soon(also)
            async with router.route(req) as reply:
                return reply.owner

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(
            "burdockgap.router.router.keyed_candidates",
            lambda *_args: [dispatcher.owner, dispatcher.successor],
        )
        return anyio.run(run)


def owner_and_successor():
    return (
        make_session(session_id=number, peer_address=f"127.0.0.1:{number}")
        for number in (1, 2)
    )


def test_unreachable_owner_is_not_tried_again_at_once():
    """
    A successor that waits for its proof still names the old owner.

    Each try there costs a connection's timeout, and the request could
    reach its deadline in one although the successor has taken over.
    """
    dispatcher = OwnerCutOff(*owner_and_successor())
    dispatcher.takes_over_at = dispatcher.clock.now() + 0.45
    req = make_request(idempotent=False, timeout_s=0.65)
    assert route_keyed(dispatcher, req) == dispatcher.successor.name
    assert dispatcher.tried.count(dispatcher.owner) == 1


def test_unreachable_owner_is_tried_again_after_some_time():
    dispatcher = OwnerCutOff(*owner_and_successor())
    dispatcher.owner_heals = True
    req = make_request(idempotent=False)
    assert route_keyed(dispatcher, req) == dispatcher.owner.name


def test_owner_that_answers_others_is_tried_again_at_once():
    dispatcher = OwnerCutOff(*owner_and_successor())
    dispatcher.owner_heals = True

    async def answer_another():
        await anyio.sleep(0.3)
        stats = dispatcher.table.stats(dispatcher.owner)
        stats.record_answer(stats.begin())

    req = make_request(idempotent=False, timeout_s=0.6)
    assert (
        route_keyed(dispatcher, req, also=answer_another)
        == dispatcher.owner.name
    )
