"""Guards against answers that miss or misorder records of shard replies."""

from mulberrybay_core.shard_merge import ShardReply, merge_shard_replies


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
