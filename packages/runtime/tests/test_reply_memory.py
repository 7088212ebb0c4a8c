"""What a reply is said to take in memory is what it takes."""

import tracemalloc
from collections.abc import Callable, Iterator
from typing import Final

import pytest

from mulberrybay_runtime.http_exchange import SingleReplyParser

STATUS: Final = b"HTTP/1.1 200 OK\r\n"
# The objects of one reply that don't depend on its size.
FIXED_BYTES: Final = 32 * 1024


def tiny_chunks() -> Iterator[bytes]:
    yield STATUS + b"Transfer-Encoding: chunked\r\n\r\n"
    for _ in range(100):
        yield b"2\r\nxy\r\n" * 1_000


def short_lines() -> Iterator[bytes]:
    yield STATUS
    for number in range(8):
        lines = (b"%x:\r\n" % (1_000 * number + line) for line in range(1_000))
        yield b"".join(lines)


def large_pieces() -> Iterator[bytes]:
    yield STATUS + b"Content-Length: 4000000\r\n\r\n"
    for _ in range(39):
        yield b"x" * 100_000


@pytest.mark.parametrize("source", [tiny_chunks, short_lines, large_pieces])
def test_incomplete_reply_takes_no_more_than_it_says(
    source: Callable[[], Iterator[bytes]],
) -> None:
    """Chunks of two bytes took 57 bytes of memory each and counted as 7."""
    parser = SingleReplyParser()
    tracemalloc.start()
    try:
        for data in source():
            parser.feed(data)
            del data
        size_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()

    assert size_bytes <= parser.held_bytes + FIXED_BYTES
