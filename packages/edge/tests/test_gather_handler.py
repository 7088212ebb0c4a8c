"""Queries over shards: timely answers, true coverage, bounded retries."""

import logbook
import pytest
from request_fakes import RequestHarness

from mulberrybay_edge.gather_handler import GatherHandler
from mulberrybay_edge.sending import MAX_EXTRA_SEND_COUNT, AttemptOutcome

SHARDS = ("s0", "s1", "s2", "s3")


def make_record(value: int) -> bytes:
    return value.to_bytes(16, "big")


def start_handler(harness: RequestHarness) -> GatherHandler:
    handler = GatherHandler(harness.context, harness.job)
    handler.start()
    return handler


def test_complete_answer_is_sent_with_the_last_shard_reply() -> None:
    """An answer must not be sent early, nor wait once all shards replied."""
    harness = RequestHarness(shards=SHARDS)
    start_handler(harness)

    for number, shard in enumerate(SHARDS):
        assert harness.answers == []
        harness.sender.attempts_at(shard)[0].succeed(
            make_record(number), f"sig-{number}"
        )

    assert harness.answer.status == 200
    assert harness.answer.body == make_record(3) + make_record(2)
    assert harness.header("Parts") == "sig-0, sig-1, sig-2, sig-3"
    assert harness.header("Missing") == "0"


def test_late_shard_is_hedged_at_the_other_replica_once() -> None:
    """A paused replica must not make its shard missing."""
    harness = RequestHarness(shards=SHARDS)
    start_handler(harness)
    for shard in SHARDS[:3]:
        harness.sender.attempts_at(shard)[0].succeed(make_record(1), shard)

    harness.timers.advance(0.1)

    first, second = harness.sender.attempts_at("s3")
    assert (first.server_id, second.server_id) == ("s3-a", "s3-b")
    assert second.spec.is_retry
    second.succeed(make_record(1), "s3")
    assert first.is_cancelled
    assert harness.header("Missing") == "0"


def test_answer_is_sent_at_the_target_if_enough_shards_replied() -> None:
    """A late shard must not delay the answer beyond the target latency."""
    harness = RequestHarness(shards=SHARDS, min_coverage=0.75)
    start_handler(harness)
    for shard in SHARDS[:3]:
        harness.sender.attempts_at(shard)[0].succeed(make_record(1), shard)

    harness.timers.advance(0.19)
    assert harness.answers == []
    harness.timers.advance(0.01)

    assert harness.header("Missing") == "1"
    assert all(
        attempt.is_finished for attempt in harness.sender.attempts_at("s3")
    )


@pytest.mark.parametrize(("replied_count", "status"), [(2, 502), (3, 200)])
def test_query_gets_what_shards_replied_before_its_node_exits(
    replied_count: int, status: int
) -> None:
    harness = RequestHarness(shards=SHARDS, min_coverage=0.75)
    handler = start_handler(harness)
    for shard in SHARDS[:replied_count]:
        harness.sender.attempts_at(shard)[0].succeed(make_record(1), shard)

    handler.give_up()

    assert harness.answer.status == status


def test_answer_leaves_network_time_to_the_caller() -> None:
    """An answer sent only at the target reaches a distant caller too late."""
    harness = RequestHarness(shards=SHARDS, min_coverage=0.75)
    far = harness.job.request._replace(network_time_s=0.05)
    harness.job = harness.job._replace(request=far)
    start_handler(harness)
    for shard in SHARDS[:3]:
        harness.sender.attempts_at(shard)[0].succeed(make_record(1), shard)

    harness.timers.advance(0.15)

    assert harness.header("Missing") == "1"


def test_query_with_too_few_shards_waits_beyond_the_target() -> None:
    """Coverage below the minimum must not be answered at the target."""
    harness = RequestHarness(shards=SHARDS, min_coverage=0.75)
    start_handler(harness)
    for shard in SHARDS[:2]:
        harness.sender.attempts_at(shard)[0].succeed(make_record(1), shard)

    harness.timers.advance(0.5)
    assert harness.answers == []
    harness.sender.attempts_at("s2")[0].succeed(make_record(1), "s2")

    assert harness.header("Missing") == "1"


def test_timeout_without_enough_shards_is_answered_504() -> None:
    """A query without any reply must end before its timeout."""
    harness = RequestHarness(shards=SHARDS, min_coverage=0.75)
    start_handler(harness)

    harness.timers.advance(2.0)

    assert harness.answer.status == 504


def test_failed_replica_is_replaced_at_once() -> None:
    """A retry must not wait for the hedge delay."""
    harness = RequestHarness(shards=SHARDS)
    start_handler(harness)

    harness.sender.attempts_at("s0")[0].end(AttemptOutcome.LOST)

    assert [
        attempt.server_id for attempt in harness.sender.attempts_at("s0")
    ] == [
        "s0-a",
        "s0-b",
    ]


def test_attempt_after_unreached_server_is_no_retry() -> None:
    """A request that did not reach its server must not use the retry budget."""
    harness = RequestHarness(shards=SHARDS)
    harness.sender.has_retry_budget = False
    start_handler(harness)

    harness.sender.attempts_at("s0")[0].end(
        AttemptOutcome.NOT_RUN, has_arrived=False
    )

    second = harness.sender.attempts_at("s0")[1]
    assert second.server_id == "s0-b"
    assert not second.spec.is_retry


def test_servers_and_attempts_per_shard_are_limited() -> None:
    """A failing shard must not be tried without limit."""
    harness = RequestHarness(shards=SHARDS, min_coverage=0.5)
    harness.sender.replica_names = "abcd"
    start_handler(harness)

    for _ in range(10):
        for attempt in harness.sender.attempts_at("s0"):
            if not attempt.is_finished:
                attempt.end(AttemptOutcome.FAILED)
        harness.timers.advance(0.01)

    assert {a.server_id for a in harness.sender.attempts_at("s0")} == {
        "s0-a",
        "s0-b",
    }
    assert len(harness.sender.attempts_at("s0")) == 2 + MAX_EXTRA_SEND_COUNT


def test_query_that_cannot_reach_coverage_ends_at_once() -> None:
    """A query that can only fail must not wait for its timeout."""
    harness = RequestHarness(shards=SHARDS, min_coverage=0.9)
    start_handler(harness)

    for _ in range(2 + MAX_EXTRA_SEND_COUNT):
        assert harness.answers == []
        harness.sender.attempts_at("s0")[-1].end(AttemptOutcome.FAILED)

    assert harness.answer.status == 502
    assert all(attempt.is_finished for attempt in harness.sender.attempts)


def test_too_few_reachable_shards_are_refused_at_once_as_not_run() -> None:
    """A query that can only fail must not be sent to any server."""
    harness = RequestHarness(shards=SHARDS, min_coverage=0.9)
    harness.sender.empty_services = {"s1"}
    start_handler(harness)

    assert harness.answer.status == 503
    assert harness.sender.attempts == []
    assert 0 < float(harness.header("Retry-After") or 0) <= 2 / 3


def test_shard_without_servers_is_missing_if_the_rest_suffices() -> None:
    """One shard without a server must not fail the query."""
    harness = RequestHarness(shards=SHARDS, min_coverage=0.7)
    harness.sender.empty_services = {"s1"}
    start_handler(harness)

    for shard in ("s0", "s2", "s3"):
        harness.sender.attempts_at(shard)[0].succeed(make_record(1), shard)
    harness.timers.advance(0.2)

    assert harness.header("Missing") == "1"


@pytest.mark.parametrize("signature", ["", "sig-0"])
def test_shard_reply_without_unique_signature_is_not_accepted(
    signature: str,
) -> None:
    """Guards against coverage that is stated too high.

    A reply without a signature or with that of another shard must not count.
    """
    harness = RequestHarness(shards=SHARDS)
    start_handler(harness)
    harness.sender.attempts_at("s0")[0].succeed(make_record(1), "sig-0")

    attempt = harness.sender.attempts_at("s1")[0]
    if signature:
        attempt.succeed(make_record(1), signature)
    else:
        attempt.end(AttemptOutcome.OK, None)

    assert len(harness.sender.attempts_at("s1")) == 2
    assert harness.answers == []


def test_disconnected_caller_cancels_the_attempts() -> None:
    """Attempts for a disconnected caller would waste capacity."""
    harness = RequestHarness(shards=SHARDS)
    handler = start_handler(harness)

    handler.cancel()
    harness.timers.advance(3.0)

    assert all(attempt.is_cancelled for attempt in harness.sender.attempts)
    assert harness.answers == []


def test_shard_with_full_servers_is_sent_once_capacity_is_free() -> None:
    """A shard whose servers were full at first must not stay missing."""
    harness = RequestHarness(shards=SHARDS)
    harness.sender.full_services = {"s0"}
    start_handler(harness)
    assert harness.sender.attempts_at("s0") == []

    harness.sender.full_services = set()
    harness.timers.advance(0.02)

    assert len(harness.sender.attempts_at("s0")) == 1


def test_line_says_why_a_missing_shard_was_not_sent_again() -> None:
    """Operators must see that the retry budget prevented a retry."""
    harness = RequestHarness(shards=SHARDS)
    harness.sender.has_retry_budget = False
    with logbook.TestHandler().applicationbound() as handler:
        start_handler(harness)
        for shard in SHARDS[:3]:
            harness.sender.attempts_at(shard)[0].succeed(make_record(1), shard)
        harness.timers.advance(0.3)

    (line,) = handler.records
    assert line.message == "partial"
    assert line.extra["missing"] == [
        "s3: s3-a (the limit on repeats is reached)"
    ]


def reply_from(harness: RequestHarness, *shards: str) -> None:
    for shard in shards:
        harness.sender.attempts_at(shard)[0].succeed(make_record(1), shard)


def test_paused_shard_is_asked_when_its_pause_ends_in_time() -> None:
    harness = RequestHarness(shards=SHARDS, min_coverage=0.7)
    harness.sender.paused_until_s = {"s1": harness.timers.now_s + 0.05}
    start_handler(harness)

    reply_from(harness, "s0", "s2", "s3")
    assert harness.answers == []
    harness.timers.advance(0.08)
    reply_from(harness, "s1")

    assert harness.header("Missing") == "0"


def test_answer_does_not_wait_for_a_shard_paused_beyond_the_target() -> None:
    """With enough shards in, waiting can't improve the answer."""
    harness = RequestHarness(shards=SHARDS, min_coverage=0.7)
    harness.sender.paused_until_s = {"s1": harness.timers.now_s + 0.5}
    start_handler(harness)

    reply_from(harness, "s0", "s2", "s3")

    assert harness.header("Missing") == "1"


def test_needed_shard_is_waited_for_beyond_the_target() -> None:
    harness = RequestHarness(shards=SHARDS, min_coverage=0.9)
    harness.sender.paused_until_s = {"s1": harness.timers.now_s + 0.5}
    start_handler(harness)

    reply_from(harness, "s0", "s2", "s3")
    harness.timers.advance(0.52)
    reply_from(harness, "s1")

    assert (harness.answer.status, harness.header("Missing")) == (200, "0")


def test_query_that_a_pause_outlasts_is_refused_before_it_is_sent() -> None:
    """No shard must work on a query that can only fail."""
    harness = RequestHarness(shards=SHARDS, min_coverage=0.9)
    harness.sender.paused_until_s = {"s1": harness.timers.now_s + 1.99}
    start_handler(harness)

    assert harness.answer.status == 503
    assert harness.sender.attempts == []


def test_query_that_no_server_got_in_time_is_refused_as_not_run() -> None:
    harness = RequestHarness(shards=SHARDS, min_coverage=0.9, deadline_s=0.1)
    harness.sender.is_connecting = True
    start_handler(harness)

    harness.timers.advance(0.1)

    assert harness.answer.status == 503
    assert all(attempt.is_cancelled for attempt in harness.sender.attempts)


def test_query_beyond_the_limits_of_too_many_shards_uses_up_no_other() -> None:
    harness = RequestHarness(shards=SHARDS, min_coverage=0.75)
    until_s = harness.timers.now_s + 0.2
    harness.sender.limited_until_s = {"s1": until_s, "s2": until_s}
    start_handler(harness)

    assert harness.answer.status == 503
    assert harness.sender.attempts == []


def test_answer_does_not_wait_for_a_shard_whose_limits_are_used_up() -> None:
    harness = RequestHarness(shards=SHARDS, min_coverage=0.75)
    harness.sender.limited_until_s = {"s1": harness.timers.now_s + 5}
    start_handler(harness)

    for number, shard in enumerate(("s0", "s2", "s3")):
        harness.sender.attempts_at(shard)[0].succeed(
            make_record(number), f"sig-{number}"
        )

    assert harness.answer.status == 200
    assert harness.header("Missing") == "1"


def test_query_of_a_node_that_lost_all_servers_ends_before_its_deadline() -> (
    None
):
    harness = RequestHarness(shards=SHARDS)
    start_handler(harness)

    harness.sender.is_cut_off = True
    harness.timers.advance(0.3)

    assert harness.answer.status == 502
