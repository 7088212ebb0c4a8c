"""Guards against servers whose bytes never end, in a head or in a body."""

import gc
import itertools
import tracemalloc
from collections.abc import Callable, Iterator

import httptools
import pytest

from mulberrybay_runtime.http_exchange import (
    MAX_HEAD_BYTES,
    MAX_REPLY_BYTES,
    ReplyParser,
    ReplyTooLargeError,
    SingleReplyParser,
)

BLOCK = b"x" * 16384
STATUS = b"HTTP/1.1 200 OK\r\n"


def headers() -> Iterator[bytes]:
    yield STATUS
    for number in itertools.count():
        yield f"Header-{number}: {'v' * 1000}\r\n".encode()


def one_header() -> Iterator[bytes]:
    yield STATUS + b"Header: "
    yield from itertools.repeat(BLOCK)


def header_name() -> Iterator[bytes]:
    yield STATUS
    yield from itertools.repeat(BLOCK)


def interim_replies() -> Iterator[bytes]:
    yield from itertools.repeat(b"HTTP/1.1 102 Processing\r\n\r\n" * 100)


def trailers() -> Iterator[bytes]:
    yield STATUS + b"Transfer-Encoding: chunked\r\n\r\n0\r\n"
    for number in itertools.count():
        yield f"Trailer-{number}: {'v' * 1000}\r\n".encode()


def chunk_extension() -> Iterator[bytes]:
    yield STATUS + b"Transfer-Encoding: chunked\r\n\r\n5;a="
    yield from itertools.repeat(BLOCK)


def body_until_close() -> Iterator[bytes]:
    yield STATUS + b"\r\n"
    yield from itertools.repeat(BLOCK)


def chunks() -> Iterator[bytes]:
    yield STATUS + b"Transfer-Encoding: chunked\r\n\r\n"
    yield from itertools.repeat(b"4000\r\n" + BLOCK + b"\r\n")


PARSERS = [ReplyParser, SingleReplyParser]
HEADS = [
    *itertools.product(PARSERS, [headers, one_header, header_name]),
    # For the other parser, each interim reply is a reply of its own.
    (SingleReplyParser, interim_replies),
]
BODIES = [trailers, chunk_extension, body_until_close, chunks]


def bytes_until_refused(
    parser: ReplyParser | SingleReplyParser, source: Iterator[bytes]
) -> int:
    count = 0
    with pytest.raises((ReplyTooLargeError, httptools.HttpParserError)):
        for data in source:
            count += len(data)
            assert count < 4 * MAX_REPLY_BYTES
            parser.feed(data)
    return count


@pytest.mark.parametrize(("parser_type", "make_source"), HEADS)
def test_head_without_end_is_refused_early(
    parser_type: type[ReplyParser | SingleReplyParser],
    make_source: Callable[[], Iterator[bytes]],
) -> None:
    count = bytes_until_refused(parser_type(), make_source())

    assert count <= MAX_HEAD_BYTES + len(BLOCK)


@pytest.mark.parametrize("parser_type", PARSERS)
@pytest.mark.parametrize("make_source", BODIES)
def test_body_without_end_is_refused(
    parser_type: type[ReplyParser | SingleReplyParser],
    make_source: Callable[[], Iterator[bytes]],
) -> None:
    count = bytes_until_refused(parser_type(), make_source())

    assert count <= 2 * MAX_REPLY_BYTES + 2 * len(BLOCK)


@pytest.mark.parametrize("parser_type", PARSERS)
def test_large_reply_with_small_chunks_is_read(
    parser_type: type[ReplyParser | SingleReplyParser],
) -> None:
    parser = parser_type()
    parser.feed(STATUS + b"Transfer-Encoding: chunked\r\n\r\n")
    for _ in range(MAX_REPLY_BYTES // 64):
        parser.feed(b"20\r\n" + BLOCK[:32] + b"\r\n")

    assert parser.feed(b"0\r\n\r\n")


def test_reply_that_is_given_up_is_freed_at_once() -> None:
    gc.disable()
    tracemalloc.start()
    try:
        for _ in range(8):
            parser = SingleReplyParser()
            bytes_until_refused(parser, body_until_close())
            parser.discard()
        size, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
        gc.enable()

    assert size < MAX_REPLY_BYTES
