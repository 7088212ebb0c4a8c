"""Forwarded requests: true refusals, and retries only where allowed."""

import logbook
import pytest
from request_fakes import RequestHarness

from mulberrybay_core.routing import RouteKind
from mulberrybay_edge.forward_handler import ForwardHandler
from mulberrybay_edge.sending import MAX_EXTRA_SEND_COUNT, AttemptOutcome
from mulberrybay_runtime.http_exchange import HttpReply

IDEMPOTENT = RouteKind.IDEMPOTENT
NON_IDEMPOTENT = RouteKind.NON_IDEMPOTENT
MAX_SEND_COUNT = 2 + MAX_EXTRA_SEND_COUNT


def start_handler(harness: RequestHarness) -> ForwardHandler:
    handler = ForwardHandler(harness.context, harness.job, "one")
    handler.start()
    return handler


def make_failure(status: int = 500) -> HttpReply:
    return HttpReply(status, {"signature": "sig-x"}, b"broken", True)


@pytest.mark.parametrize("kind", [IDEMPOTENT, NON_IDEMPOTENT])
def test_reply_is_passed_on_unchanged(kind: RouteKind) -> None:
    """Guards against a changed status or body and against leaked headers."""
    harness = RequestHarness(kind=kind)
    start_handler(harness)
    headers = {"signature": "sig-1", "load": "1,0,2", "connection": "close"}
    reply = HttpReply(201, headers, b"whole body", True)

    harness.sender.attempts[0].end(AttemptOutcome.OK, reply)

    assert (harness.answer.status, harness.answer.body) == (201, b"whole body")
    assert dict(harness.answer.headers) == {"Id": "id-1", "signature": "sig-1"}


@pytest.mark.parametrize(
    ("kind", "outcome", "attempt_count", "status"),
    [
        (IDEMPOTENT, AttemptOutcome.LOST, MAX_SEND_COUNT, 502),
        (IDEMPOTENT, AttemptOutcome.NOT_RUN, MAX_SEND_COUNT, 503),
        (NON_IDEMPOTENT, AttemptOutcome.LOST, 1, 502),
        (NON_IDEMPOTENT, AttemptOutcome.NOT_RUN, MAX_SEND_COUNT, 503),
    ],
)
def test_retries_and_answer_depend_on_kind_and_outcome(
    kind: RouteKind, outcome: AttemptOutcome, attempt_count: int, status: int
) -> None:
    """Guards against unsafe retries and untrue refusals.

    A non-idempotent request that may have run must not be retried, and no
    request that may have run is answered as "not run".
    """
    harness = RequestHarness(kind=kind)
    start_handler(harness)

    for number in range(attempt_count):
        assert harness.answers == []
        harness.sender.attempts[number].end(outcome)

    assert harness.answer.status == status
    assert len(harness.sender.attempts) == attempt_count
    assert len({a.server_id for a in harness.sender.attempts}) <= 2
    assert (harness.header("Retry-After") is not None) == (status == 503)


def test_non_idempotent_request_that_may_have_run_is_never_refused() -> None:
    """A lost reply after a "not run" must not be answered as "not run"."""
    harness = RequestHarness(kind=NON_IDEMPOTENT)
    start_handler(harness)

    harness.sender.attempts[0].end(AttemptOutcome.NOT_RUN)
    harness.sender.attempts[1].end(AttemptOutcome.LOST)

    assert harness.answer.status == 502


def test_non_idempotent_request_is_never_hedged() -> None:
    """A second attempt to a late request could run it twice."""
    harness = RequestHarness(kind=NON_IDEMPOTENT)
    start_handler(harness)

    harness.timers.advance(1.5)

    assert len(harness.sender.attempts) == 1
    harness.timers.advance(1.0)
    assert harness.answer.status == 504


def test_idempotent_request_is_hedged_when_it_is_late() -> None:
    """A paused server must not delay an idempotent request."""
    harness = RequestHarness()
    start_handler(harness)

    harness.timers.advance(0.1)

    first, second = harness.sender.attempts
    second.succeed()
    assert first.is_cancelled
    assert harness.answer.status == 200


def test_error_reply_of_server_is_passed_on_unchanged() -> None:
    """A server's error reply must not be replaced by one of the node."""
    harness = RequestHarness(kind=NON_IDEMPOTENT)
    start_handler(harness)

    harness.sender.attempts[0].end(AttemptOutcome.FAILED, make_failure())

    assert harness.answer.status == 500
    assert harness.answer.body == b"broken"
    assert harness.header("signature") == "sig-x"


@pytest.mark.parametrize("kind", [IDEMPOTENT, NON_IDEMPOTENT])
@pytest.mark.parametrize("status", [408, 429, 503])
def test_refusing_status_of_a_server_that_may_have_run_it_is_not_passed_on(
    kind: RouteKind, status: int
) -> None:
    """Callers repeat what they are told has not run."""
    harness = RequestHarness(kind=kind)
    start_handler(harness)

    for attempt in harness.sender.attempts:
        attempt.end(AttemptOutcome.FAILED, make_failure(status))

    assert harness.answer.status == 502
    assert harness.header("signature") is None
    assert harness.header("Retry-After") is None


def test_service_without_servers_is_refused_at_once() -> None:
    """A request must not wait for a service that has no server."""
    harness = RequestHarness()
    harness.sender.empty_services = {"one"}
    start_handler(harness)

    assert harness.answer.status == 503
    assert 0 < float(harness.header("Retry-After") or 0) <= 2 / 3


def test_request_waits_briefly_for_full_servers_then_is_refused() -> None:
    """A request must neither fail at once nor wait too long for capacity."""
    harness = RequestHarness()
    harness.sender.full_services = {"one"}
    start_handler(harness)

    harness.timers.advance(0.03)
    assert harness.answers == []
    harness.timers.advance(0.05)

    assert harness.answer.status == 503


def test_capacity_that_becomes_free_in_time_is_used() -> None:
    """A waiting request must be sent once a server has capacity again."""
    harness = RequestHarness()
    harness.sender.full_services = {"one"}
    start_handler(harness)

    harness.timers.advance(0.02)
    harness.sender.full_services = set()
    harness.timers.advance(0.015)
    harness.sender.attempts[0].succeed()

    assert harness.answer.status == 200


def test_unreached_server_is_replaced_also_if_non_idempotent() -> None:
    """A request that did not reach its server is safe to send to another."""
    harness = RequestHarness(kind=NON_IDEMPOTENT)
    start_handler(harness)

    harness.sender.attempts[0].end(AttemptOutcome.NOT_RUN, has_arrived=False)

    first, second = harness.sender.attempts
    assert first.server_id != second.server_id
    second.succeed()
    assert harness.answer.status == 200


def test_deadline_of_the_caller_ends_the_request_before_the_timeout() -> None:
    """A caller's deadline before the timeout of the route must be met."""
    harness = RequestHarness(deadline_s=0.3)
    start_handler(harness)

    harness.timers.advance(0.3)

    assert harness.answer.status == 504
    assert all(attempt.is_cancelled for attempt in harness.sender.attempts)


def test_disconnected_caller_cancels_the_attempts() -> None:
    """Attempts for a disconnected caller would waste capacity."""
    harness = RequestHarness()
    handler = start_handler(harness)

    handler.cancel()
    harness.timers.advance(3.0)

    assert harness.sender.attempts[0].is_cancelled
    assert harness.answers == []


def test_line_says_why_a_request_was_not_sent_again() -> None:
    """Operators must see that the retry budget prevented a retry."""
    harness = RequestHarness()
    harness.sender.has_retry_budget = False
    with logbook.TestHandler().applicationbound() as handler:
        ForwardHandler(harness.context, harness.job, "one").start()
        harness.sender.attempts[0].end(AttemptOutcome.LOST)
        harness.timers.advance(3.0)

    (line,) = handler.records
    assert line.message == "failed"
    assert line.extra["not_sent_again"] == "the limit on repeats is reached"


def test_request_for_paused_servers_is_sent_when_the_pause_ends() -> None:
    """A short pause must not cost the caller its answer."""
    harness = RequestHarness()
    harness.sender.paused_until_s = {"one": harness.timers.now_s + 0.5}
    start_handler(harness)

    harness.timers.advance(0.49)
    assert harness.answers == harness.sender.attempts == []
    harness.timers.advance(0.1)
    harness.sender.attempts[0].succeed()

    assert harness.answer.status == 200


def test_request_that_a_pause_outlasts_is_refused_at_once() -> None:
    """The caller must not wait for a server that can't answer in time."""
    harness = RequestHarness()
    harness.sender.paused_until_s = {"one": harness.timers.now_s + 1.99}
    start_handler(harness)

    assert harness.answer.status == 503
    # Callers wait for a third of their time at most.
    assert float(harness.header("Retry-After") or 0) == pytest.approx(0.6)


def test_refusal_names_the_end_of_a_short_pause() -> None:
    harness = RequestHarness(deadline_s=0.6)
    harness.sender.paused_until_s = {"one": harness.timers.now_s + 0.59}
    start_handler(harness)

    assert harness.answer.status == 503
    assert float(harness.header("Retry-After") or 0) == pytest.approx(0.18)


def test_run_that_may_have_happened_is_not_refused_for_a_pause() -> None:
    """Servers that pause after a lost reply don't make a run "not run"."""
    harness = RequestHarness(kind=NON_IDEMPOTENT)
    start_handler(harness)
    harness.sender.paused_until_s = {"one": harness.timers.now_s + 9}

    harness.sender.attempts[0].end(AttemptOutcome.LOST)

    assert harness.answer.status == 502
    assert len(harness.sender.attempts) == 1


@pytest.mark.parametrize("kind", [IDEMPOTENT, NON_IDEMPOTENT])
def test_request_that_no_server_got_in_time_is_refused_as_not_run(
    kind: RouteKind,
) -> None:
    """Connections that are still being opened have carried nothing."""
    harness = RequestHarness(kind=kind, deadline_s=0.3)
    harness.sender.is_connecting = True
    start_handler(harness)

    harness.timers.advance(0.3)

    assert harness.answer.status == 503
    assert all(attempt.is_cancelled for attempt in harness.sender.attempts)


def test_request_beyond_the_limits_of_all_servers_is_refused_at_once() -> None:
    harness = RequestHarness()
    harness.sender.limited_until_s = {"one": harness.timers.now_s + 0.5}
    start_handler(harness)

    assert harness.answer.status == 503
    assert float(harness.header("Retry-After") or 0) >= 0.5


def test_request_waits_for_a_limit_as_long_as_for_a_full_server() -> None:
    harness = RequestHarness()
    harness.sender.limited_until_s = {"one": harness.timers.now_s + 0.03}
    start_handler(harness)
    assert harness.answers == []

    harness.timers.advance(0.035)

    assert len(harness.sender.attempts) == 1


@pytest.mark.parametrize(
    ("kind", "is_connecting", "status"),
    [
        (IDEMPOTENT, False, 502),
        (IDEMPOTENT, True, 503),
        (NON_IDEMPOTENT, False, None),
    ],
)
def test_request_of_a_node_that_lost_all_servers_ends_if_that_is_safe(
    kind: RouteKind, is_connecting: bool, status: int | None
) -> None:
    harness = RequestHarness(kind=kind)
    harness.sender.is_connecting = is_connecting
    start_handler(harness)

    harness.sender.is_cut_off = True
    harness.timers.advance(0.3)

    assert [answer.status for answer in harness.answers] == (
        [] if status is None else [status]
    )


@pytest.mark.parametrize("status", [413, 431])
@pytest.mark.parametrize("other_status", [None, 0, 500, 503])
@pytest.mark.parametrize("other_number", [0, 1])
def test_servers_refusal_is_passed_on_only_if_no_other_one_may_have_run_it(
    status: int, other_status: int | None, other_number: int
) -> None:
    """These statuses tell callers that the request has not run."""
    harness = RequestHarness(kind=IDEMPOTENT)
    start_handler(harness)
    for number in range(MAX_SEND_COUNT):
        attempt = harness.sender.attempts[-1]
        if other_status is None or number != other_number:
            attempt.end(AttemptOutcome.FAILED, make_failure(status))
        elif other_status:
            attempt.end(AttemptOutcome.FAILED, make_failure(other_status))
        else:
            attempt.end(AttemptOutcome.LOST)

    expected = status if other_status is None else 502
    assert harness.answer.status == expected
