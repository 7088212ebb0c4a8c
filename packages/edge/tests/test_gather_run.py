"""Queries over shards: answers in time, true coverage, bounded repeats."""

import logbook
import pytest
from run_fakes import Bench

from mulberrybay_edge.gather_run import GatherRun
from mulberrybay_edge.sending import MAX_SAME_SERVER_SENDS, AttemptOutcome

SHARDS = ("s0", "s1", "s2", "s3")


def record(value: int) -> bytes:
    return value.to_bytes(16, "big")


def start(bench: Bench) -> GatherRun:
    run = GatherRun(bench.tools, bench.job)
    run.start()
    return run


def test_whole_answer_goes_out_with_the_last_part() -> None:
    bench = Bench(shards=SHARDS)
    start(bench)

    for number, shard in enumerate(SHARDS):
        assert bench.answers == []
        bench.sender.of(shard)[0].succeed(record(number), f"sig-{number}")

    assert bench.answer.status == 200
    assert bench.answer.body == record(3) + record(2)
    assert bench.header("Parts") == "sig-0, sig-1, sig-2, sig-3"
    assert bench.header("Missing") == "0"


def test_late_shard_is_sent_to_the_other_replica_once() -> None:
    bench = Bench(shards=SHARDS)
    start(bench)
    for shard in SHARDS[:3]:
        bench.sender.of(shard)[0].succeed(record(1), shard)

    bench.timers.advance(0.1)

    first, second = bench.sender.of("s3")
    assert (first.server_id, second.server_id) == ("s3-a", "s3-b")
    assert second.order.is_repeat
    second.succeed(record(1), "s3")
    assert first.is_cancelled
    assert bench.header("Missing") == "0"


def test_answer_goes_out_at_the_target_if_enough_shards_are_in() -> None:
    bench = Bench(shards=SHARDS, min_coverage=0.75)
    start(bench)
    for shard in SHARDS[:3]:
        bench.sender.of(shard)[0].succeed(record(1), shard)

    bench.timers.advance(0.19)
    assert bench.answers == []
    bench.timers.advance(0.01)

    assert bench.header("Missing") == "1"
    assert all(attempt.is_finished for attempt in bench.sender.of("s3"))


def test_answer_leaves_time_for_its_way_to_the_caller() -> None:
    bench = Bench(shards=SHARDS, min_coverage=0.75)
    far = bench.job.request._replace(travel_s=0.05)
    bench.job = bench.job._replace(request=far)
    start(bench)
    for shard in SHARDS[:3]:
        bench.sender.of(shard)[0].succeed(record(1), shard)

    bench.timers.advance(0.15)

    assert bench.header("Missing") == "1"


def test_too_few_shards_wait_past_the_target_for_one_more() -> None:
    bench = Bench(shards=SHARDS, min_coverage=0.75)
    start(bench)
    for shard in SHARDS[:2]:
        bench.sender.of(shard)[0].succeed(record(1), shard)

    bench.timers.advance(0.5)
    assert bench.answers == []
    bench.sender.of("s2")[0].succeed(record(1), "s2")

    assert bench.header("Missing") == "1"


def test_time_without_enough_shards_ends_with_504() -> None:
    bench = Bench(shards=SHARDS, min_coverage=0.75)
    start(bench)

    bench.timers.advance(2.0)

    assert bench.answer.status == 504


def test_failed_replica_is_replaced_at_once() -> None:
    bench = Bench(shards=SHARDS)
    start(bench)

    bench.sender.of("s0")[0].end(AttemptOutcome.LOST)

    assert [attempt.server_id for attempt in bench.sender.of("s0")] == [
        "s0-a",
        "s0-b",
    ]


def test_server_that_was_not_reached_counts_as_no_repeat() -> None:
    bench = Bench(shards=SHARDS)
    bench.sender.may_repeat = False
    start(bench)

    bench.sender.of("s0")[0].end(AttemptOutcome.NOT_RUN, has_arrived=False)

    second = bench.sender.of("s0")[1]
    assert second.server_id == "s0-b"
    assert not second.order.is_repeat


def test_no_more_servers_than_the_route_allows_and_few_sends() -> None:
    bench = Bench(shards=SHARDS, min_coverage=0.5)
    bench.sender.server_names = "abcd"
    start(bench)

    for _ in range(10):
        for attempt in bench.sender.of("s0"):
            if not attempt.is_finished:
                attempt.end(AttemptOutcome.FAILED)
        bench.timers.advance(0.01)

    assert {a.server_id for a in bench.sender.of("s0")} == {"s0-a", "s0-b"}
    assert len(bench.sender.of("s0")) == 2 + MAX_SAME_SERVER_SENDS


def test_query_without_hope_ends_at_once() -> None:
    bench = Bench(shards=SHARDS, min_coverage=0.9)
    start(bench)

    for _ in range(2 + MAX_SAME_SERVER_SENDS):
        assert bench.answers == []
        bench.sender.of("s0")[-1].end(AttemptOutcome.FAILED)

    assert bench.answer.status == 502
    assert all(attempt.is_finished for attempt in bench.sender.attempts)


def test_too_few_reachable_shards_are_refused_at_once_as_not_run() -> None:
    bench = Bench(shards=SHARDS, min_coverage=0.9)
    bench.sender.lost_services = {"s1"}
    start(bench)

    assert bench.answer.status == 503
    assert bench.sender.attempts == []
    assert 0 < float(bench.header("Retry-After") or 0) <= 2 / 3


def test_shard_without_servers_is_left_out_when_the_rest_is_enough() -> None:
    bench = Bench(shards=SHARDS, min_coverage=0.7)
    bench.sender.lost_services = {"s1"}
    start(bench)

    for shard in ("s0", "s2", "s3"):
        bench.sender.of(shard)[0].succeed(record(1), shard)
    bench.timers.advance(0.2)

    assert bench.header("Missing") == "1"


@pytest.mark.parametrize("signature", ["", "sig-0"])
def test_part_without_a_signature_of_its_own_is_no_part(signature: str) -> None:
    bench = Bench(shards=SHARDS)
    start(bench)
    bench.sender.of("s0")[0].succeed(record(1), "sig-0")

    attempt = bench.sender.of("s1")[0]
    if signature:
        attempt.succeed(record(1), signature)
    else:
        attempt.end(AttemptOutcome.OK, None)

    assert len(bench.sender.of("s1")) == 2
    assert bench.answers == []


def test_caller_that_leaves_ends_the_work() -> None:
    bench = Bench(shards=SHARDS)
    run = start(bench)

    run.cancel()
    bench.timers.advance(3.0)

    assert all(attempt.is_cancelled for attempt in bench.sender.attempts)
    assert bench.answers == []


def test_shard_whose_servers_are_full_is_sent_when_there_is_room() -> None:
    bench = Bench(shards=SHARDS)
    bench.sender.full_services = {"s0"}
    start(bench)
    assert bench.sender.of("s0") == []

    bench.sender.full_services = set()
    bench.timers.advance(0.02)

    assert len(bench.sender.of("s0")) == 1


def test_line_says_why_a_missing_shard_was_not_sent_again() -> None:
    bench = Bench(shards=SHARDS)
    bench.sender.may_repeat = False
    with logbook.TestHandler().applicationbound() as handler:
        start(bench)
        for shard in SHARDS[:3]:
            bench.sender.of(shard)[0].succeed(record(1), shard)
        bench.timers.advance(0.3)

    (line,) = handler.records
    assert line.message == "partial"
    assert line.extra["missing"] == [
        "s3: s3-a (the limit on repeats is reached)"
    ]
