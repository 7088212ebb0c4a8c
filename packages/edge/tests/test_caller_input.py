"""Bytes of callers, split and spoiled in any way."""

from collections.abc import Iterator
from typing import Any

from hypothesis import given, settings, strategies
from request_fakes import NAMES

from mulberrybay_core.addresses import Address
from mulberrybay_core.caller_messages import CallerAnswer, CallerRequest
from mulberrybay_runtime.callers.server import CallerServer
from mulberrybay_runtime.http_exchange import ReplyParser

PARTS = (
    b"GET /x HTTP/1.1\r\n",
    b"POST /y HTTP/1.1\r\n",
    b"HEAD /z HTTP/1.0\r\n",
    b"CONNECT a:1 HTTP/1.1\r\n",
    b"Host: a.example\r\n",
    b"Id: id-1\r\n",
    b"Deadline: nan\r\n",
    b"Deadline: 1e400\r\n",
    b"Deadline: -5\r\n",
    b"Content-Length: 3\r\n",
    b"Content-Length: " + b"9" * 30 + b"\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Expect: 100-continue\r\n",
    b"Connection: upgrade\r\nUpgrade: h2c\r\n",
    b"Connection: close\r\n",
    b"X: \xff\xfe\r\n",
    b"\r\n",
    b"abc",
    b"3\r\nabc\r\n0\r\n\r\n",
    b"ffffffffffffffffff\r\n",
    b"\x00\r\n",
)
parts = strategies.sampled_from(PARTS)
pieces = strategies.lists(
    strategies.one_of(parts, parts, strategies.binary(max_size=8)), max_size=24
)
cuts = strategies.lists(strategies.integers(0, 400), max_size=6)
EXAMPLES = settings(
    max_examples=300, deadline=None, derandomize=True, database=None
)


class _Stream:
    """Records what is sent to the caller."""

    peer = Address("127.0.0.1", 1)
    unsent = b""
    is_paused = False

    def __init__(self) -> None:
        self.sent = b""
        self.is_half_closed = False

    def round_trip_s(self) -> float:
        return 0.0

    def arrival_bounds_s(self) -> tuple[float, float]:
        return 0.0, 0.0

    def send(self, data: bytes) -> bool:
        assert not self.is_half_closed
        self.sent += data
        return True

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
    """Answers with the body of the request, at once or when it is told."""

    def __init__(self, *, is_late: bool) -> None:
        self._is_late = is_late
        self.count = 0
        self.pending: list[tuple[CallerRequest, Any]] = []

    def submit(self, request: CallerRequest, reply: Any) -> object:  # noqa: ANN401
        assert request.deadline_s is None or 0 <= request.deadline_s < 1e6
        self.count += 1
        self.pending.append((request, reply))
        if not self._is_late:
            self.answer_all()
        return lambda: None

    def answer_all(self) -> None:
        while self.pending:
            request, reply = self.pending.pop(0)
            body = b"" if request.method == "HEAD" else request.body
            reply(CallerAnswer(200, (), body))


def split(data: bytes, at: list[int]) -> Iterator[bytes]:
    """Yields the data in pieces that end at some positions."""
    start = 0
    for end in [*sorted(position % (len(data) + 1) for position in at), None]:
        if data[start:end]:
            yield data[start:end]
        start = len(data) if end is None else end


def play(
    data: bytes, at: list[int], *, is_late: bool
) -> tuple[_Service, bytes]:
    """Returns the service and what the caller got."""
    service, stream = _Service(is_late=is_late), _Stream()
    server = CallerServer(NAMES, service, None, _Timers())  # type: ignore[arg-type]
    connection = server._accept(stream)  # type: ignore[arg-type]
    for piece in split(data, at):
        connection.on_data(stream, piece)  # type: ignore[arg-type]
        assert len(connection._pending) <= 64
    service.answer_all()
    return service, stream.sent


@EXAMPLES
@given(parts=pieces, at=cuts, is_late=strategies.booleans())
def test_any_bytes_of_a_caller_give_whole_answers_and_one_for_each_request(
    parts: list[bytes], at: list[int], is_late: bool
) -> None:
    service, sent = play(b"".join(parts), at, is_late=is_late)

    answers = [
        reply.status
        for reply in ReplyParser().feed(sent)
        if reply.status >= 200
    ]
    assert answers.count(200) == service.count
    # At most one refusal, which ends the connection.
    assert len(answers) - service.count <= 1
    assert 200 not in answers[service.count :]


@EXAMPLES
@given(
    bodies=strategies.lists(strategies.binary(max_size=40), max_size=8),
    is_chunked=strategies.booleans(),
    at=cuts,
    is_late=strategies.booleans(),
)
def test_requests_that_come_together_are_answered_in_order_however_split(
    bodies: list[bytes], is_chunked: bool, at: list[int], is_late: bool
) -> None:
    data = b""
    for body in bodies:
        data += b"POST /y HTTP/1.1\r\nHost: a.example\r\nId: id-1\r\n"
        if is_chunked:
            data += b"Transfer-Encoding: chunked\r\n\r\n"
            data += b"%x\r\n%s\r\n" % (len(body), body) if body else b""
            data += b"0\r\n\r\n"
        else:
            data += b"Content-Length: %d\r\n\r\n%s" % (len(body), body)

    _, sent = play(data, at, is_late=is_late)

    replies = ReplyParser().feed(sent)
    assert [reply.body for reply in replies] == bodies
