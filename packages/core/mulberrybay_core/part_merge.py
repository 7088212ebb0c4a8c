"""Merges the parts of a query over shards: the greatest records of all."""

from collections.abc import Iterable
from typing import Final, NamedTuple

RECORD_BYTES: Final = 16


class Part(NamedTuple):
    """A backend server's whole reply for one shard.

    Attributes:
        signature: Proves which reply the records came from.
        records: Records of RECORD_BYTES in no order; a shorter rest is none.
    """

    signature: str
    records: bytes


def merge_parts(parts: Iterable[Part], top_hit_count: int) -> bytes:
    """Returns the greatest records of all parts, greatest first.

    Args:
        parts: The parts; equal records of several all count.
        top_hit_count: How many records to return at most.
    """
    records = [
        part.records[start : start + RECORD_BYTES]
        for part in parts
        for start in range(
            0, len(part.records) - RECORD_BYTES + 1, RECORD_BYTES
        )
    ]
    records.sort(reverse=True)
    return b"".join(records[:top_hit_count])
