"""Merges the shard replies of a query into the greatest records of all."""

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
    records = [
        reply.records[start : start + RECORD_BYTES]
        for reply in replies
        for start in range(
            0, len(reply.records) - RECORD_BYTES + 1, RECORD_BYTES
        )
    ]
    records.sort(reverse=True)
    return b"".join(records[:top_hit_count])
