"""Connections of callers whose bytes can't be parsed."""

import re
import socket
import struct
from typing import Any

import pytest
from request_fakes import NAMES

from mulberrybay_core.addresses import Address
from mulberrybay_core.caller_messages import CallerAnswer, CallerRequest
from mulberrybay_core.callers.memory import HeldKind
from mulberrybay_core.overload.answer_reserve import AnswerReserve
from mulberrybay_runtime.callers import connection as caller_connection
from mulberrybay_runtime.callers import server as caller_server
from mulberrybay_runtime.callers import timing as connection_timing
from mulberrybay_runtime.callers.server import CallerServer
from mulberrybay_runtime.clock import read_clock_s
from mulberrybay_runtime.streams import Stream, StreamPoller, Streams
from mulberrybay_testing.waiting import wait_until

REQUEST = b"GET /x HTTP/1.1\r\nHost: a.example\r\nId: id-1\r\n\r\n"


class _Stream:
    """Records what is sent to the caller."""

    peer = Address("127.0.0.1", 1)
    unsent = b""
    is_paused = False

    def __init__(self) -> None:
        self.sent = b""
        self.is_half_closed = False
        self.is_closed = False
        self.arrival_bounds = (0.0, 0.0)
        self.unsent = b""
        self.peer = Address("192.0.2.1", 1)
        self.on_sent: Any = None

    def round_trip_s(self) -> float:
        return 0.0

    def arrival_bounds_s(self) -> tuple[float, float]:
        return self.arrival_bounds

    def send(self, data: bytes) -> bool:
        self.sent += data
        return True

    def close(self) -> None:
        self.is_closed = True

    def unread_bytes(self) -> int:
        return 0

    def half_close_when_sent(self) -> None:
        self.is_half_closed = True

    def pause_reading(self) -> None:
        self.is_paused = True

    def resume_reading(self) -> None:
        self.is_paused = False


class _Timers:
    def call_every(self, period_s: float, callback: object) -> None:
        pass


class _Service:
    """Keeps the reply functions of requests that were submitted."""

    def __init__(self) -> None:
        self.replies: list[Any] = []
        self.requests: list[CallerRequest] = []
        self.cancelled: list[CallerRequest] = []
        self.error: Exception | None = None

    def submit(self, request: CallerRequest, reply: Any) -> object:  # noqa: ANN401
        if self.error is not None:
            raise self.error
        self.requests.append(request)
        self.replies.append(reply)
        return lambda: self.cancelled.append(request)


def test_bytes_that_can_not_be_parsed_get_one_error_answer() -> None:
    """They may arrive in many pieces while a request is in progress."""
    service, stream = _Service(), _Stream()
    server = CallerServer(NAMES, service, None, _Timers())
    connection = server._accept(stream)
    connection.on_data(stream, REQUEST)
    for _ in range(40):
        connection.on_data(stream, b"\x00nonsense\r\n\r\n")

    service.replies[0](CallerAnswer(200, (), b"own"))

    assert stream.sent.count(b"HTTP/1.1 200 ") == 1
    assert stream.sent.count(b"HTTP/1.1 400 ") == 1
    assert len(connection._pending) == 0
    assert stream.is_half_closed
    assert len(service.replies) == 1


def test_queue_does_not_grow_with_pieces_that_can_not_be_parsed() -> None:
    service, stream = _Service(), _Stream()
    server = CallerServer(NAMES, service, None, _Timers())
    connection = server._accept(stream)
    connection.on_data(stream, REQUEST)

    for _ in range(40):
        connection.on_data(stream, b"\x00nonsense\r\n\r\n")

    assert len(connection._pending) == 1


def test_fault_while_a_request_is_started_gives_one_answer_and_no_other() -> (
    None
):
    service, stream = _Service(), _Stream()
    server = CallerServer(NAMES, service, None, _Timers())
    connection = server._accept(stream)
    service.error = OSError("no address")
    connection.on_data(stream, REQUEST)
    service.error = None
    connection.on_data(stream, REQUEST)
    service.replies[0](CallerAnswer(200, (), b"own"))

    assert stream.sent.count(b"HTTP/1.1 502 ") == 1
    assert stream.sent.count(b"HTTP/1.1 200 ") == 1
    assert stream.sent.count(b"HTTP/1.1 ") == 2
    assert not stream.is_half_closed


OFFERS = (
    b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
    b"HTTP2-Settings: AAMAAABk\r\n",
    b"Connection: keep-alive, upgrade\r\nUpgrade: websocket\r\n",
    b"Upgrade: TLS/1.0, x/2\r\nConnection: Upgrade\r\n",
)
BODIES = (
    (b"Content-Length: 5\r\n\r\nhello", b"hello"),
    (
        b"Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
        b"hello",
    ),
    (b"Content-Length: 0\r\n\r\n", b""),
    (b"\r\n", b""),
)


@pytest.mark.parametrize("offer", OFFERS)
@pytest.mark.parametrize(("framed", "body"), BODIES)
def test_request_that_offers_an_upgrade_is_served_with_its_whole_body(
    offer: bytes, framed: bytes, body: bytes
) -> None:
    head = b"POST /x HTTP/1.1\r\nHost: a.example\r\nId: id-1\r\n"
    data = head + offer + framed + REQUEST
    for split in range(1, len(data)):
        service, stream = _Service(), _Stream()
        server = CallerServer(NAMES, service, None, _Timers())
        connection = server._accept(stream)
        connection.on_data(stream, data[:split])
        connection.on_data(stream, data[split:])
        service.replies[0](CallerAnswer(200, (), b"own"))
        service.replies[1](CallerAnswer(200, (), b"own"))

        first, second = service.requests
        assert (first.method, first.target, first.body) == ("POST", "/x", body)
        assert (second.method, second.body) == ("GET", b"")
        names = {name.lower() for name, _ in first.headers}
        assert not names & {"upgrade", "connection", "http2-settings"}
        assert stream.sent.count(b"HTTP/1.1 ") == 2
        assert not stream.is_half_closed


def test_tunnel_is_refused_before_anything_is_passed_on() -> None:
    service, stream = _Service(), _Stream()
    server = CallerServer(NAMES, service, None, _Timers())
    connection = server._accept(stream)

    connection.on_data(
        stream, b"CONNECT a.example:80 HTTP/1.1\r\nHost: a.example\r\n\r\nxx"
    )

    assert stream.sent.startswith(b"HTTP/1.1 400 ")
    assert service.requests == []
    assert stream.is_half_closed


def test_large_body_that_comes_with_the_end_of_the_head_is_not_counted_as_head() -> (
    None
):
    service, stream = _Service(), _Stream()
    server = CallerServer(NAMES, service, None, _Timers())
    cookie = b"Cookie: " + b"c" * 2000 + b"\r\n"
    body = b"b" * 40_000
    head = b"POST /x HTTP/1.1\r\nHost: a.example\r\n" + cookie
    data = head + b"Content-Length: 40000\r\n\r\n" + body
    for split in (10, 1400, len(head) + 4, len(head) + 30):
        connection = server._accept(stream)
        connection.on_data(stream, data[:split])
        connection.on_data(stream, data[split:])

    assert [request.body for request in service.requests] == [body] * 4
    assert stream.sent == b""


@pytest.mark.parametrize("piece_bytes", [1, 1000, 100_000])
@pytest.mark.parametrize("is_complete", [True, False])
def test_head_beyond_the_limit_is_refused_however_it_comes(
    piece_bytes: int, is_complete: bool
) -> None:
    service, stream = _Service(), _Stream()
    server = CallerServer(NAMES, service, None, _Timers())
    connection = server._accept(stream)
    size = server.limits.max_header_bytes + 1
    data = b"GET /x HTTP/1.1\r\nHost: a.example\r\nCookie: " + b"c" * size
    data += b"\r\n\r\n" * is_complete
    for start in range(0, len(data), piece_bytes):
        connection.on_data(stream, data[start : start + piece_bytes])

    assert stream.sent.startswith(b"HTTP/1.1 431 ")
    assert stream.sent.count(b"HTTP/1.1 ") == 1
    assert service.requests == []


def test_time_before_a_request_is_read_counts_as_network_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A busy node reads requests late, while their callers already wait."""
    clock_s = 1.0
    for module in (caller_connection, connection_timing):
        monkeypatch.setattr(module, "read_clock_s", lambda: clock_s)
    service, stream = _Service(), _Stream()
    server = CallerServer(NAMES, service, None, _Timers())
    stream.arrival_bounds = (0.98, 0.99)
    connection = server._accept(stream)

    # The first request came with the connection, which was accepted at 1.0.
    clock_s, stream.arrival_bounds = 1.02, (0.995, 1.01)
    connection.on_data(stream, REQUEST)
    service.replies[0](CallerAnswer(200))
    clock_s, stream.arrival_bounds = 2.01, (2.0, 2.0)
    connection.on_data(stream, REQUEST)

    times_s = [request.network_time_s for request in service.requests]
    assert times_s == pytest.approx([0.03, 0.01])


def test_time_in_which_a_connection_takes_no_bytes_is_reserved(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An answer whose end is sent after the target is late."""
    clock_s = 1.0
    for module in (caller_connection, connection_timing):
        monkeypatch.setattr(module, "read_clock_s", lambda: clock_s)
    service, stream = _Service(), _Stream()
    server = CallerServer(NAMES, service, None, _Timers())
    server.answer_reserve = AnswerReserve()
    server._accept(stream).on_data(stream, REQUEST)
    stream.unsent = b"end of the answer"

    service.replies[0](CallerAnswer(200))
    clock_s, stream.unsent = 1.006, b""
    stream.sent_callback()

    assert server.answer_reserve.parts_s(clock_s)["unsent"] == pytest.approx(
        0.006
    )


def connect() -> tuple[CallerServer, _Service, _Stream, Any]:
    """Returns a server, its service, and a connection with its stream."""
    service, stream = _Service(), _Stream()
    server = CallerServer(NAMES, service, None, _Timers())
    return server, service, stream, server._accept(stream)


CHUNKED = (
    b"POST /x HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n"
)


def test_slow_body_inside_the_limits_is_not_cut_off_by_the_header_timeout() -> (
    None
):
    server, service, stream, connection = connect()
    connection.on_data(stream, CHUNKED + b"6\r\n")
    started_s = connection.last_active_at_s
    connection.sweep(started_s + server.limits.header_timeout_s + 1)
    connection.on_data(stream, b"hello.\r\n0\r\n\r\n")
    assert stream.sent == b""
    assert [request.body for request in service.requests] == [b"hello."]


@pytest.mark.parametrize(
    ("data", "timeout"),
    [
        (CHUNKED[:-2], "header_timeout_s"),
        (CHUNKED + b"6\r\nhell", "idle_timeout_s"),
    ],
)
def test_request_that_does_not_arrive_is_refused_as_not_run(
    data: bytes, timeout: str
) -> None:
    server, _, stream, connection = connect()
    connection.on_data(stream, data)
    limit_s = getattr(server.limits, timeout)
    connection.sweep(connection.last_active_at_s + limit_s - 0.5)
    assert stream.sent == b""
    connection.sweep(connection.last_active_at_s + limit_s + 1)
    assert stream.sent.startswith(b"HTTP/1.1 408 ")


def test_trailers_are_bounded_with_the_head_and_then_dropped() -> None:
    server, service, stream, connection = connect()
    body = b"5\r\nhello\r\n0\r\n"
    connection.on_data(stream, CHUNKED + body + b"Host: b\r\nX: 1\r\n\r\n")
    (request,) = service.requests
    assert request.headers == (("Host", "a.example"),)
    service.replies[0](CallerAnswer(200))
    connection.on_data(stream, CHUNKED + body)
    for _ in range(server.limits.max_header_bytes // 4):
        connection.on_data(stream, b"a: b\r\n")
    assert stream.sent.count(b"HTTP/1.1 431 ") == 1
    assert connection.account.held_bytes == 0


def test_requests_inside_the_limits_are_served_however_pipelined() -> None:
    """The end of a body was counted as the head of the next request."""
    server, service, stream, connection = connect()
    body = b"b" * 262_144
    cookie = b"Cookie: " + b"c" * 16_000 + b"\r\n"
    head = b"POST /x HTTP/1.1\r\nHost: a.example\r\n" + cookie
    data = (head + b"Content-Length: 262144\r\n\r\n" + body) * 32
    for start in range(0, len(data), 32_768):
        while stream.is_paused:
            service.replies.pop()(CallerAnswer(200))
        connection.on_data(stream, data[start : start + 32_768])
        held_bytes = server.resources.memory.held_bytes
        assert held_bytes < server.resources.memory.budget_bytes / 8
    while service.replies:
        service.replies.pop()(CallerAnswer(200))
    assert stream.sent.count(b"HTTP/1.1 200 ") == 32
    assert {request.body for request in service.requests} == {body}
    assert server.resources.memory.held_bytes == 0


def test_request_is_refused_for_memory_only_before_it_is_forwarded() -> None:
    server, service, stream, connection = connect()
    connection.on_data(stream, REQUEST)
    memory = server.resources.memory
    other = memory.open("10.0.0.1", lambda: None, float("inf"))
    other.hold(HeldKind.INPUT, memory.budget_bytes)
    service.replies[0](CallerAnswer(200))
    connection.on_data(stream, REQUEST)
    assert stream.sent.startswith(b"HTTP/1.1 200 ")
    assert stream.sent.count(b"HTTP/1.1 503 ") == 1
    assert b"Retry-After" in stream.sent
    other.hold(HeldKind.INPUT, 0)
    connection.on_data(stream, REQUEST)
    assert len(service.requests) == 2


@pytest.mark.parametrize("is_refusing", [False, True])
def test_requests_that_were_read_are_all_answered_during_a_stop(
    is_refusing: bool,
) -> None:
    service, stream = _Service(), _Stream()
    server = CallerServer(NAMES, service, None, _Timers())
    connection = server._accept(stream)
    connection.on_data(stream, 3 * REQUEST)

    server.is_stopping = True
    server.is_refusing = is_refusing
    for reply in service.replies:
        assert not stream.is_half_closed
        reply(CallerAnswer(200, (), b"own"))

    second = b"503" if is_refusing else b"200"
    statuses = re.findall(rb"HTTP/1.1 (\d+) ", stream.sent)
    assert statuses == [b"200", second, second]
    assert stream.sent.count(b"Connection: close") == 1
    assert stream.is_half_closed


def test_node_does_not_stop_while_an_answer_is_being_sent() -> None:
    service, stream = _Service(), _Stream()
    server = CallerServer(NAMES, service, None, _Timers())
    connection = server._accept(stream)
    connection.on_data(stream, REQUEST)
    server.is_stopping = True
    stream.unsent = b"rest of the answer"
    service.replies[0](CallerAnswer(200, (), b"own"))

    assert server.busy_count == 1
    server.close_idle()
    assert server.connection_count == 1

    stream.unsent = b""
    connection._on_sent()
    assert server.busy_count == 0


@pytest.mark.parametrize("is_reset", [False, True])
def test_caller_that_leaves_while_it_is_not_read_has_its_request_cancelled(
    is_reset: bool,
) -> None:
    """The poller watches no socket that is neither read nor written."""
    service, streams = _Service(), Streams(StreamPoller())
    server = CallerServer(NAMES, service, None, _Timers())
    with socket.create_server(("127.0.0.1", 0)) as listener, streams:
        caller = socket.create_connection(listener.getsockname())
        accepted, peer = listener.accept()
        stream = Stream(streams, accepted, Address(*peer), None)
        connection = stream.observer = server._accept(stream)
        connection.on_data(stream, REQUEST)
        large = CHUNKED + b"11000\r\n" + b"b" * 0x11000 + b"\r\n0\r\n\r\n"
        connection.on_data(stream, large)
        connection.sweep(read_clock_s())
        assert stream.is_paused
        assert service.cancelled == []

        if is_reset:
            option = struct.pack("ii", 1, 0)
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
        caller.close()

        def has_cancelled() -> bool:
            connection.sweep(read_clock_s())
            return service.cancelled == service.requests[:1]

        wait_until(has_cancelled, 5.0, "the request is cancelled")
    assert len(service.requests) == 1
    assert server.connection_count == 0


def test_head_at_the_limit_is_served_however_it_comes() -> None:
    """The limit counts the target, and each line with 3 bytes for its end."""
    server, service, stream, connection = connect()
    lines = b"".join(b"X-%03d: v\r\n" % number for number in range(200))
    counted_bytes = len("/x") + len("Host") + len("a.example") + 3 + 200 * 9
    rest_bytes = server.limits.max_header_bytes - counted_bytes
    filler = b"Y: " + b"y" * (rest_bytes - len("Y") - 3) + b"\r\n"
    head = b"GET /x HTTP/1.1\r\nHost: a.example\r\n" + lines + filler + b"\r\n"
    for start in range(0, len(head), 1_000):
        connection.on_data(stream, head[start : start + 1_000])
    connection.on_data(stream, head[:-1])
    service.replies[0](CallerAnswer(200))
    connection.on_data(stream, head[-1:])

    assert stream.sent.count(b"HTTP/1.1 ") == 1
    assert len(service.requests) == 2
    service.replies[1](CallerAnswer(200))
    connection.on_data(stream, head.replace(b"Y: ", b"YY: ")[:-1])
    connection.on_data(stream, b"\n")
    assert stream.sent.count(b"HTTP/1.1 431 ") == 1


def test_body_that_is_announced_beyond_the_limit_is_refused_before_it_comes() -> (
    None
):
    server, service, stream, connection = connect()
    size_bytes = server.limits.max_body_bytes + 1
    connection.on_data(
        stream,
        b"POST /x HTTP/1.1\r\nHost: a.example\r\nExpect: 100-continue\r\n"
        b"Content-Length: %d\r\n\r\n" % size_bytes,
    )
    assert stream.sent.startswith(b"HTTP/1.1 413 ")
    assert service.requests == []


def test_connections_without_progress_give_way_to_a_new_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Heads that are never completed turned everybody away."""
    clock_s = 100.0
    for module in (caller_connection, caller_server):
        monkeypatch.setattr(module, "read_clock_s", lambda: clock_s)
    service = _Service()
    server = CallerServer(NAMES, service, None, _Timers(), None, 2)
    streams = [_Stream() for _ in range(4)]
    for stream, data in zip(streams, (REQUEST, REQUEST[:-2]), strict=False):
        server._accept(stream).on_data(stream, data)

    assert server._accept(streams[2]) is None
    clock_s += 2.0
    connection = server._accept(streams[3])

    assert connection is not None
    assert [stream.is_closed for stream in streams[:2]] == [False, True]
    connection.on_data(streams[3], REQUEST)
    assert len(service.requests) == 2
