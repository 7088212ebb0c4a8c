"""Guards against answers that miss or misorder records of shard replies."""

import random

from mulberrybay_core.shard_merge import (
    RECORD_BYTES,
    ShardReply,
    merge_shard_replies,
    trim_shard_reply,
)


def record(value: int) -> bytes:
    return value.to_bytes(16, "big")


def test_merge_returns_the_greatest_records_in_descending_order() -> None:
    replies = [
        ShardReply("a", record(5) + record(900)),
        ShardReply("b", record(70) + record(901) + record(1)),
    ]

    assert merge_shard_replies(replies, 3) == record(901) + record(
        900
    ) + record(70)


def test_merge_keeps_equal_records() -> None:
    replies = [
        ShardReply("a", record(9)),
        ShardReply("b", record(9) + record(8)),
    ]

    assert merge_shard_replies(replies, 3) == record(9) + record(9) + record(8)


def test_merge_ignores_an_incomplete_record() -> None:
    replies = [
        ShardReply("a", record(9) + b"\xff" * 15),
        ShardReply("b", b"\xff"),
    ]

    assert merge_shard_replies(replies, 10) == record(9)


def test_trimmed_replies_give_the_same_answer_and_hold_no_more() -> None:
    draws = random.Random(1)
    for _ in range(200):
        top_hit_count = draws.randint(1, 12)
        replies = [
            ShardReply(
                str(number),
                b"".join(
                    record(draws.randint(0, 40))
                    for _ in range(draws.randint(0, 30))
                )
                + b"\xff" * draws.choice((0, 0, 15)),
            )
            for number in range(4)
        ]
        trimmed = [trim_shard_reply(x, top_hit_count) for x in replies]

        assert merge_shard_replies(
            trimmed, top_hit_count
        ) == merge_shard_replies(replies, top_hit_count)
        for reply in trimmed:
            assert len(reply.records) < (top_hit_count + 1) * RECORD_BYTES
