"""Bytes of backend servers, split and spoiled in any way."""

from typing import Any

import pytest
from hypothesis import given, settings, strategies
from test_server_connections import ADDRESS, _Streams

from mulberrybay_edge.exchange import (
    Exchange,
    ExchangeOutcome,
    ExchangeResult,
)
from mulberrybay_edge.server_connections import ServerConnections
from mulberrybay_runtime.timers import Timers
from mulberrybay_testing.status_lines import UNUSABLE_STATUS_LINES

PARTS = (
    b"HTTP/1.1 200 OK\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"HTTP/1.1 999 \r\n",
    b"HTTP/0.9 200\r\n",
    b"Content-Length: 3\r\n",
    b"Content-Length: " + b"9" * 30 + b"\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Content-Encoding: gzip\r\n",
    b"Connection: upgrade\r\nUpgrade: h2c\r\n",
    b"Connection: close\r\n",
    b"Keep-Alive: timeout=" + b"9" * 40 + b"\r\n",
    b"Id: \xff\r\n",
    b"Id: id-2\r\n",
    b"\r\n",
    b"abc",
    b"3\r\nabc\r\n0\r\n\r\n",
    b"ffffffffffffffffff\r\n",
)
parts = strategies.sampled_from(PARTS)
pieces = strategies.lists(
    strategies.one_of(parts, parts, strategies.binary(max_size=8)), max_size=16
)
EXAMPLES = settings(
    max_examples=300, deadline=None, derandomize=True, database=None
)


class _Caller:
    """Sends one request after the other to a server."""

    def __init__(self) -> None:
        self.streams: Any = _Streams()
        self.connections = ServerConnections(self.streams, Timers())

    def send(self, *, expects_body: bool) -> list[ExchangeResult]:
        results: list[ExchangeResult] = []
        exchange = Exchange(
            lambda _: b"request",
            lambda reply: reply.headers.get("id", "id-1") == "id-1",
            results.append,
            expects_body=expects_body,
            request_id="id-1",
        )
        self.connections.start("i-1", ADDRESS, exchange)
        return results


@EXAMPLES
@given(
    parts=pieces,
    is_split=strategies.booleans(),
    expects_body=strategies.booleans(),
    reason=strategies.sampled_from(["the peer closed the connection", "reset"]),
)
def test_any_bytes_of_a_server_end_one_request_once_and_spoil_no_other(
    parts: list[bytes], is_split: bool, expects_body: bool, reason: str
) -> None:
    caller = _Caller()
    results = caller.send(expects_body=expects_body)
    (stream,) = caller.streams.dialled
    stream.connect()
    for part in parts if is_split else [b"".join(parts)]:
        if stream.is_open:
            stream.receive(part)
    later = caller.send(expects_body=True)

    if stream.is_open:
        stream.receive(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    stream.end(reason)

    assert len(results) == 1
    # The later one is on this connection only if the first ended as it should.
    if later:
        assert results[0].outcome is ExchangeOutcome.REPLY
    assert caller.connections.buffered_bytes == 0
    replies = [result.reply for result in later if result.reply is not None]
    assert all(reply.body == b"ok" for reply in replies)


@pytest.mark.parametrize("line", UNUSABLE_STATUS_LINES)
def test_reply_of_a_server_or_node_with_unusable_status_is_malformed(
    line: bytes,
) -> None:
    """Requests handed to another node use the same connections."""
    caller = _Caller()
    (results, (stream,)) = (
        caller.send(expects_body=True),
        caller.streams.dialled,
    )
    stream.connect()
    stream.receive(line + b"\r\nContent-Length: 2\r\n\r\nok")
    assert [result.outcome for result in results] == [ExchangeOutcome.MALFORMED]
    assert not stream.is_open
