"""Tests of where a reply ends.

A reply ends by its length or with its connection; a reply to HEAD ends with its
headers. A wrong end would truncate a body or leave bytes for the next reply.
"""

import pytest

from mulberrybay_runtime.http_exchange import SingleReplyParser

HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
UNFRAMED = b"HTTP/1.1 200 OK\r\nX: y\r\n\r\n"


@pytest.mark.parametrize(
    ("data", "expects_body", "body"),
    [
        (HEAD + b"body", True, b"body"),
        (HEAD + b"bo", True, None),
        (HEAD, True, None),
        (HEAD, False, b""),
        (UNFRAMED, True, None),
        (UNFRAMED, False, b""),
        (b"HTTP/1.1 100 Continue\r\n\r\n", False, None),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + HEAD, False, b""),
        (b"HTTP/1.1 204 No Content\r\n\r\n", True, b""),
    ],
)
def test_reply_is_complete_with_its_last_byte(
    data: bytes, expects_body: bool, body: bytes | None
) -> None:
    parser = SingleReplyParser(expects_body=expects_body)
    for index in range(len(data)):
        assert parser.reply is None
        parser.feed(data[index : index + 1])

    assert (parser.reply.body if parser.reply else None) == body
    assert not parser.has_extra_bytes


def test_body_after_reply_to_head_is_extra_bytes() -> None:
    parser = SingleReplyParser(expects_body=False)
    reply = parser.feed(HEAD + b"body")

    assert reply is not None
    assert reply.body == b""
    assert parser.has_extra_bytes


@pytest.mark.parametrize(
    ("data", "body"), [(UNFRAMED + b"bo", b"bo"), (HEAD + b"bo", None)]
)
def test_connection_end_completes_a_reply_without_length(
    data: bytes, body: bytes | None
) -> None:
    parser = SingleReplyParser()
    parser.feed(data)
    reply = parser.end()
    assert (reply.body if reply else None) == body


REPLIES = (
    b"HTTP/1.1 200 OK\r\nX-Stamp: s\r\nContent-Length: 5\r\n\r\nhello",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Stamp: s\r\n\r\n"
    b"2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nX-Stamp: s\r\nConnection: close\r\n\r\nhello",
    b"HTTP/1.1 100 Continue\r\n\r\n"
    b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Stamp: s\r\n\r\nhello",
)


@pytest.mark.parametrize("data", REPLIES)
def test_reply_that_ends_within_its_head_is_not_complete(data: bytes) -> None:
    for count in range(data.rindex(b"\r\nX-Stamp: s") + 12):
        parser = SingleReplyParser()
        assert parser.feed(data[:count]) is None
        assert parser.end() is None


@pytest.mark.parametrize("data", [REPLIES[0], REPLIES[1], REPLIES[3]])
def test_framed_reply_that_ends_early_is_not_complete(data: bytes) -> None:
    for count in range(len(data)):
        parser = SingleReplyParser()
        assert parser.feed(data[:count]) is None
        assert parser.end() is None
