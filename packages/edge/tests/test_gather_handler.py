"""Queries over shards: answers in time, true coverage, bounded repeats."""

import logbook
import pytest
from run_fakes import RequestHarness

from mulberrybay_edge.gather_handler import GatherHandler
from mulberrybay_edge.sending import MAX_EXTRA_SEND_COUNT, AttemptOutcome

SHARDS = ("s0", "s1", "s2", "s3")


def make_record(value: int) -> bytes:
    return value.to_bytes(16, "big")


def start_handler(harness: RequestHarness) -> GatherHandler:
    handler = GatherHandler(harness.context, harness.job)
    handler.start()
    return handler


def test_whole_answer_goes_out_with_the_last_part() -> None:
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


def test_late_shard_is_sent_to_the_other_replica_once() -> None:
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


def test_answer_goes_out_at_the_target_if_enough_shards_are_in() -> None:
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


def test_answer_leaves_time_for_its_way_to_the_caller() -> None:
    harness = RequestHarness(shards=SHARDS, min_coverage=0.75)
    far = harness.job.request._replace(travel_s=0.05)
    harness.job = harness.job._replace(request=far)
    start_handler(harness)
    for shard in SHARDS[:3]:
        harness.sender.attempts_at(shard)[0].succeed(make_record(1), shard)

    harness.timers.advance(0.15)

    assert harness.header("Missing") == "1"


def test_too_few_shards_wait_past_the_target_for_one_more() -> None:
    harness = RequestHarness(shards=SHARDS, min_coverage=0.75)
    start_handler(harness)
    for shard in SHARDS[:2]:
        harness.sender.attempts_at(shard)[0].succeed(make_record(1), shard)

    harness.timers.advance(0.5)
    assert harness.answers == []
    harness.sender.attempts_at("s2")[0].succeed(make_record(1), "s2")

    assert harness.header("Missing") == "1"


def test_time_without_enough_shards_ends_with_504() -> None:
    harness = RequestHarness(shards=SHARDS, min_coverage=0.75)
    start_handler(harness)

    harness.timers.advance(2.0)

    assert harness.answer.status == 504


def test_failed_replica_is_replaced_at_once() -> None:
    harness = RequestHarness(shards=SHARDS)
    start_handler(harness)

    harness.sender.attempts_at("s0")[0].end(AttemptOutcome.LOST)

    assert [
        attempt.server_id for attempt in harness.sender.attempts_at("s0")
    ] == [
        "s0-a",
        "s0-b",
    ]


def test_server_that_was_not_reached_counts_as_no_repeat() -> None:
    harness = RequestHarness(shards=SHARDS)
    harness.sender.has_retry_budget = False
    start_handler(harness)

    harness.sender.attempts_at("s0")[0].end(
        AttemptOutcome.NOT_RUN, has_arrived=False
    )

    second = harness.sender.attempts_at("s0")[1]
    assert second.server_id == "s0-b"
    assert not second.spec.is_retry


def test_no_more_servers_than_the_route_allows_and_few_sends() -> None:
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


def test_query_without_hope_ends_at_once() -> None:
    harness = RequestHarness(shards=SHARDS, min_coverage=0.9)
    start_handler(harness)

    for _ in range(2 + MAX_EXTRA_SEND_COUNT):
        assert harness.answers == []
        harness.sender.attempts_at("s0")[-1].end(AttemptOutcome.FAILED)

    assert harness.answer.status == 502
    assert all(attempt.is_finished for attempt in harness.sender.attempts)


def test_too_few_reachable_shards_are_refused_at_once_as_not_run() -> None:
    harness = RequestHarness(shards=SHARDS, min_coverage=0.9)
    harness.sender.empty_services = {"s1"}
    start_handler(harness)

    assert harness.answer.status == 503
    assert harness.sender.attempts == []
    assert 0 < float(harness.header("Retry-After") or 0) <= 2 / 3


def test_shard_without_servers_is_left_out_when_the_rest_is_enough() -> None:
    harness = RequestHarness(shards=SHARDS, min_coverage=0.7)
    harness.sender.empty_services = {"s1"}
    start_handler(harness)

    for shard in ("s0", "s2", "s3"):
        harness.sender.attempts_at(shard)[0].succeed(make_record(1), shard)
    harness.timers.advance(0.2)

    assert harness.header("Missing") == "1"


@pytest.mark.parametrize("signature", ["", "sig-0"])
def test_part_without_a_signature_of_its_own_is_no_part(signature: str) -> None:
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


def test_caller_that_leaves_ends_the_work() -> None:
    harness = RequestHarness(shards=SHARDS)
    handler = start_handler(harness)

    handler.cancel()
    harness.timers.advance(3.0)

    assert all(attempt.is_cancelled for attempt in harness.sender.attempts)
    assert harness.answers == []


def test_shard_whose_servers_are_full_is_sent_when_there_is_room() -> None:
    harness = RequestHarness(shards=SHARDS)
    harness.sender.full_services = {"s0"}
    start_handler(harness)
    assert harness.sender.attempts_at("s0") == []

    harness.sender.full_services = set()
    harness.timers.advance(0.02)

    assert len(harness.sender.attempts_at("s0")) == 1


def test_line_says_why_a_missing_shard_was_not_sent_again() -> None:
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
