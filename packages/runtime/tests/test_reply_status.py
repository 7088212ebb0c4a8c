"""A reply whose status can't be used is unreadable, however it arrives."""

import httptools
import pytest

from mulberrybay_runtime.http_exchange import ReplyParser, SingleReplyParser
from mulberrybay_testing.status_lines import (
    UNUSABLE_STATUS_LINES,
    USABLE_STATUS_LINES,
)

END = b"\r\nContent-Length: 2\r\n\r\nok"
PARSERS = [ReplyParser, SingleReplyParser]


@pytest.mark.parametrize("parser_type", PARSERS)
@pytest.mark.parametrize("piece_bytes", [1, 1000])
@pytest.mark.parametrize("line", UNUSABLE_STATUS_LINES)
def test_unusable_status_ends_in_an_error(
    parser_type: type[ReplyParser | SingleReplyParser],
    piece_bytes: int,
    line: bytes,
) -> None:
    """It was taken for an interim reply, or for the answer."""
    parser, data = parser_type(), line + END
    with pytest.raises(httptools.HttpParserError):
        for start in range(0, len(data), piece_bytes):
            assert not parser.feed(data[start : start + piece_bytes])


@pytest.mark.parametrize("piece_bytes", [1, 1000])
@pytest.mark.parametrize("line", [*USABLE_STATUS_LINES, b"HTTP/1.1 599 x"])
def test_usable_status_gives_one_reply(piece_bytes: int, line: bytes) -> None:
    """Clients of the store took an interim reply for the answer."""
    data = line + END
    pieces = [
        data[start : start + piece_bytes]
        for start in range(0, len(data), piece_bytes)
    ]
    parser, single = ReplyParser(), SingleReplyParser()
    replies = [reply for piece in pieces for reply in parser.feed(piece)]
    (last,) = [reply for piece in pieces if (reply := single.feed(piece))]
    assert [reply.body for reply in replies] == [last.body] == [b"ok"]
    assert last.status in (200, 599)
