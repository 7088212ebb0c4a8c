"""How a node resumes what it holds back, and refuses what would be late."""

from collections.abc import Callable
from typing import Any

import pytest
from request_fakes import RequestHarness
from test_dispatcher import DispatchSetup, finish

from mulberrybay_core.overload.admission import ServerRoom, Urgency
from mulberrybay_core.tenants.keys import Tenant
from mulberrybay_edge.gather_handler import GatherHandler
from mulberrybay_edge.send_order import SendOrder, priority_label
from mulberrybay_edge.sending import (
    AttemptSpec,
    ResultHandler,
    SendRefusal,
    TriedServers,
)

FULL = ServerRoom(300.0, 2, 0.03)
SHARDS = ("one", "two", "three", "four")


def make_spec(
    harness: RequestHarness, urgency: Urgency, resume: Callable[[], None]
) -> AttemptSpec:
    job = harness.job
    return AttemptSpec(
        job.template, "one", job.history, 200.0, TriedServers(2),
        is_retry=False, is_retryable=True, urgency=urgency, resume=resume,
    )  # fmt: skip


def test_requests_are_resumed_in_order_until_one_has_no_room() -> None:
    """A resumed request that must wait again would be resumed for ever."""
    harness, order = RequestHarness(), SendOrder()
    resumed: list[float] = []
    for _ in range(20):
        order.record_request("one", Urgency(0, 0.0, 0.0, 0.0), 100.0)
    specs: dict[float, AttemptSpec] = {}
    for due_at_s in (103.0, 101.0, 102.0):

        def resume(due_at_s: float = due_at_s) -> None:
            resumed.append(due_at_s)
            if len(resumed) < 2:
                order.withdraw("one", specs[due_at_s].tried)

        urgency = Urgency(1, due_at_s, 0.03, 100.1)
        spec = specs[due_at_s] = make_spec(harness, urgency, resume)
        assert order.must_wait(spec, [FULL], 100.0)
        order.add(spec, 100.0)

    order.resume("one")

    assert resumed == [101.0, 102.0]
    assert order.waiting_count() == 2
    assert order.oldest_since_s() == 100.0


@pytest.mark.parametrize("is_cancelled", [False, True])
def test_request_is_resumed_as_soon_as_another_ends(
    monkeypatch: pytest.MonkeyPatch, is_cancelled: bool
) -> None:
    """At the next check of a timer, the slot would have been idle."""
    setup, harness = (
        DispatchSetup(monkeypatch, server_count=1),
        RequestHarness(),
    )
    setup.send()
    finish(setup.connections.started[0][0], {"load": "1,0,2,100"})
    running: list[Any] = [setup.send() for _ in range(20)]
    now_s = setup.timers.now_s
    for _ in range(20):
        setup.dispatcher.record_request(
            "records", Urgency(0, now_s, 0.01, now_s)
        )
    resumed: list[float] = []
    urgency = Urgency(1, now_s + 0.1, 0.05, now_s + 0.02)
    spec = make_spec(
        harness, urgency, lambda: resumed.append(setup.timers.now_s)
    )._replace(service="records")
    held = setup.dispatcher.send(spec, setup.results.append)
    assert held is SendRefusal.HELD
    assert not resumed

    if is_cancelled:
        running[0].cancel()
    else:
        finish(setup.connections.started[1][0], {"load": "2,9,2,100"})

    assert resumed == [now_s]


def make_query(late_count: int) -> tuple[RequestHarness, GatherHandler]:
    """Returns a query of which some shards can't reply by the deadline."""
    harness = RequestHarness(shards=SHARDS, min_coverage=0.5)
    harness.sender.has_order = True
    harness.sender.waits_s = dict.fromkeys(SHARDS[:late_count], 3.0)
    return harness, GatherHandler(harness.context, harness.job)


def test_query_that_cannot_be_in_time_is_refused_before_it_is_sent() -> None:
    """Sent, it would use servers for nothing, and 503 would be no promise."""
    harness, handler = make_query(late_count=3)

    handler.start()

    assert harness.answer.status == 503
    assert not harness.sender.attempts
    assert 0 < float(harness.header("Retry-After") or 0) <= 2.0 / 3


@pytest.mark.parametrize(
    ("late_count", "may_be_refused"), [(2, True), (3, False)]
)
def test_query_is_sent_if_enough_shards_reply_or_its_class_would_starve(
    late_count: int, may_be_refused: bool
) -> None:
    harness, handler = make_query(late_count)
    harness.sender.may_be_refused = may_be_refused

    handler.start()

    assert not harness.answers
    assert len(harness.sender.attempts) == len(SHARDS)


def test_held_query_is_sent_in_time_if_no_reply_ever_resumes_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The servers that it waits for may hang."""
    harness, handler = make_query(late_count=0)
    sender, send = harness.sender, harness.sender.send

    def hold(spec: AttemptSpec, on_result: ResultHandler) -> object:
        assert spec.urgency is not None
        if harness.timers.now_s < spec.urgency.hold_until_s:
            return SendRefusal.HELD
        return send(spec, on_result)

    monkeypatch.setattr(sender, "send", hold)
    handler.start()
    assert not sender.attempts

    harness.timers.advance(0.1 * harness.route.target_latency_s)

    assert len(sender.attempts) == len(SHARDS)


@pytest.mark.parametrize(("own", "expected"), [(None, 2), (0, 0), (5, 5)])
def test_priority_of_the_tenant_goes_before_that_of_the_route(
    own: int | None, expected: int
) -> None:
    job = RequestHarness().job
    access: Any = type("Access", (), {"tenant": Tenant("t", (), own)})()
    route = job.route._replace(priority=2)
    job = job._replace(access=access, route=route)

    assert job.urgency().priority == expected


def test_labels_of_classes_are_bounded() -> None:
    assert len({priority_label(number) for number in range(1000)}) == 4
