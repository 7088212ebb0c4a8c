"""Merges the shard replies of a query into the greatest records of all."""

import heapq
from collections.abc import Iterable
from typing import Final, NamedTuple

RECORD_BYTES: Final = 16


class ShardReply(NamedTuple):
    """A backend server's complete reply for one shard.

    Attributes:
        signature: Proves which reply the records come from.
        records: Concatenated records of RECORD_BYTES each, in any order. An
            incomplete record at the end is ignored.
    """

    signature: str
    records: bytes


def merge_shard_replies(
    replies: Iterable[ShardReply], top_hit_count: int
) -> bytes:
    """Returns the greatest records of all shard replies, greatest first.

    Args:
        replies: The shard replies. Equal records are all kept, also across
            replies.
        top_hit_count: The maximum number of records to return.
    """
    records = (
        reply.records[start : start + RECORD_BYTES]
        for reply in replies
        for start in range(
            0, len(reply.records) - RECORD_BYTES + 1, RECORD_BYTES
        )
    )
    return b"".join(heapq.nlargest(top_hit_count, records))


def trim_shard_reply(reply: ShardReply, top_hit_count: int) -> ShardReply:
    """Returns a reply without the records that no answer can contain.

    Args:
        reply: The shard reply.
        top_hit_count: The maximum number of records of an answer.
    """
    if len(reply.records) <= top_hit_count * RECORD_BYTES:
        return reply
    return reply._replace(records=merge_shard_replies([reply], top_hit_count))
