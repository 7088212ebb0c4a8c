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
