"""Requests to one backend server: true refusals, repeats by kind only."""

import logbook
import pytest
from run_fakes import Bench

from mulberrybay_core.routing import RouteKind
from mulberrybay_edge.forward_run import ForwardRun
from mulberrybay_edge.sending import MAX_SAME_SERVER_SENDS, AttemptOutcome
from mulberrybay_runtime.http_exchange import HttpReply

IDEMPOTENT = RouteKind.IDEMPOTENT
NON_IDEMPOTENT = RouteKind.NON_IDEMPOTENT
MAX_SENDS = 2 + MAX_SAME_SERVER_SENDS


def start(bench: Bench) -> ForwardRun:
    run = ForwardRun(bench.tools, bench.job, "one")
    run.start()
    return run


def failure(status: int = 500) -> HttpReply:
    return HttpReply(status, {"signature": "sig-x"}, b"broken", True)


@pytest.mark.parametrize("kind", [IDEMPOTENT, NON_IDEMPOTENT])
def test_reply_is_passed_on_whole(kind: RouteKind) -> None:
    bench = Bench(kind=kind)
    start(bench)
    headers = {"signature": "sig-1", "load": "1,0,2", "connection": "close"}
    reply = HttpReply(201, headers, b"whole body", True)

    bench.sender.attempts[0].end(AttemptOutcome.OK, reply)

    assert (bench.answer.status, bench.answer.body) == (201, b"whole body")
    assert dict(bench.answer.headers) == {"Id": "id-1", "signature": "sig-1"}


@pytest.mark.parametrize(
    ("kind", "outcome", "attempt_count", "status"),
    [
        (IDEMPOTENT, AttemptOutcome.LOST, MAX_SENDS, 502),
        (IDEMPOTENT, AttemptOutcome.NOT_RUN, MAX_SENDS, 503),
        (NON_IDEMPOTENT, AttemptOutcome.LOST, 1, 502),
        (NON_IDEMPOTENT, AttemptOutcome.NOT_RUN, MAX_SENDS, 503),
    ],
)
def test_failures_are_repeated_by_kind_and_answered_truly(
    kind: RouteKind, outcome: AttemptOutcome, attempt_count: int, status: int
) -> None:
    bench = Bench(kind=kind)
    start(bench)

    for number in range(attempt_count):
        assert bench.answers == []
        bench.sender.attempts[number].end(outcome)

    assert bench.answer.status == status
    assert len(bench.sender.attempts) == attempt_count
    assert len({a.server_id for a in bench.sender.attempts}) <= 2
    assert (bench.header("Retry-After") is not None) == (status == 503)


def test_non_idempotent_request_that_may_have_run_is_never_refused() -> None:
    bench = Bench(kind=NON_IDEMPOTENT)
    start(bench)

    bench.sender.attempts[0].end(AttemptOutcome.NOT_RUN)
    bench.sender.attempts[1].end(AttemptOutcome.LOST)

    assert bench.answer.status == 502


def test_non_idempotent_request_is_never_hedged() -> None:
    bench = Bench(kind=NON_IDEMPOTENT)
    start(bench)

    bench.timers.advance(1.5)

    assert len(bench.sender.attempts) == 1
    bench.timers.advance(1.0)
    assert bench.answer.status == 504


def test_idempotent_request_is_hedged_when_it_is_late() -> None:
    bench = Bench()
    start(bench)

    bench.timers.advance(0.1)

    first, second = bench.sender.attempts
    second.succeed()
    assert first.is_cancelled
    assert bench.answer.status == 200


def test_servers_own_failure_is_passed_on_unchanged() -> None:
    bench = Bench(kind=NON_IDEMPOTENT)
    start(bench)

    bench.sender.attempts[0].end(AttemptOutcome.FAILED, failure())

    assert bench.answer.status == 500
    assert bench.answer.body == b"broken"
    assert bench.header("signature") == "sig-x"


def test_service_without_servers_is_refused_at_once() -> None:
    bench = Bench()
    bench.sender.lost_services = {"one"}
    start(bench)

    assert bench.answer.status == 503
    assert 0 < float(bench.header("Retry-After") or 0) <= 2 / 3


def test_full_servers_are_waited_for_shortly_then_refused() -> None:
    bench = Bench()
    bench.sender.full_services = {"one"}
    start(bench)

    bench.timers.advance(0.03)
    assert bench.answers == []
    bench.timers.advance(0.05)

    assert bench.answer.status == 503


def test_room_that_comes_in_time_is_used() -> None:
    bench = Bench()
    bench.sender.full_services = {"one"}
    start(bench)

    bench.timers.advance(0.02)
    bench.sender.full_services = set()
    bench.timers.advance(0.015)
    bench.sender.attempts[0].succeed()

    assert bench.answer.status == 200


def test_server_that_was_not_reached_is_replaced_for_every_kind() -> None:
    bench = Bench(kind=NON_IDEMPOTENT)
    start(bench)

    bench.sender.attempts[0].end(AttemptOutcome.NOT_RUN, has_arrived=False)

    first, second = bench.sender.attempts
    assert first.server_id != second.server_id
    second.succeed()
    assert bench.answer.status == 200


def test_deadline_of_the_caller_ends_the_request_before_the_timeout() -> None:
    bench = Bench(deadline_s=0.3)
    start(bench)

    bench.timers.advance(0.3)

    assert bench.answer.status == 504
    assert all(attempt.is_cancelled for attempt in bench.sender.attempts)


def test_caller_that_leaves_ends_the_work() -> None:
    bench = Bench()
    run = start(bench)

    run.cancel()
    bench.timers.advance(3.0)

    assert bench.sender.attempts[0].is_cancelled
    assert bench.answers == []


def test_line_says_why_a_request_was_not_sent_again() -> None:
    bench = Bench()
    bench.sender.may_repeat = False
    with logbook.TestHandler().applicationbound() as handler:
        ForwardRun(bench.tools, bench.job, "one").start()
        bench.sender.attempts[0].end(AttemptOutcome.LOST)
        bench.timers.advance(3.0)

    (line,) = handler.records
    assert line.message == "failed"
    assert line.extra["not_sent_again"] == "the limit on repeats is reached"
