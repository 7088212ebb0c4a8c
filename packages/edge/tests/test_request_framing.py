"""Requests of any shape, cut anywhere, are run as they were sent or refused."""

import random
from typing import Any, Final, NamedTuple

import pytest
from request_fakes import NAMES

from mulberrybay_core.addresses import Address
from mulberrybay_core.caller_messages import CallerAnswer, CallerRequest
from mulberrybay_core.routing import CallerLimits
from mulberrybay_runtime.callers.server import CallerServer

LIMITS: Final = CallerLimits(max_header_bytes=1024, max_body_bytes=512)
# A limit counts these for each line.
LINE_END_BYTES: Final = 3
INNER: Final = b"POST /inner HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
OFFERS: Final = (
    b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n",
    b"Upgrade: websocket\r\nConnection: keep-alive, upgrade\r\n",
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
    """Answers each request at once."""

    def __init__(self) -> None:
        self.requests: list[CallerRequest] = []

    def submit(self, request: CallerRequest, reply: Any) -> None:  # noqa: ANN401
        self.requests.append(request)
        reply(CallerAnswer(200, (), b"own"))


class _Sent(NamedTuple):
    """A request as a caller sends it.

    Attributes:
        data: Its bytes.
        target: Its target.
        body: Its body.
        counted_bytes: What the limit on heads counts.
    """

    data: bytes
    target: str
    body: bytes
    counted_bytes: int

    @property
    def is_allowed(self) -> bool:
        return self.counted_bytes <= LIMITS.max_header_bytes


def _count_lines(lines: bytes) -> int:
    total = 0
    for line in lines.split(b"\r\n")[:-1]:
        name, _, value = line.partition(b":")
        total += len(name) + len(value.strip()) + LINE_END_BYTES
    return total


def _draw_request(number: int, draws: random.Random) -> _Sent:
    target = f"/{number}/" + "t" * draws.choice((0, 0, 30, 900, 1100))
    lines = [b"Host: a.example\r\n"]
    if draws.random() < 0.6:
        lines.append(draws.choice(OFFERS))
    room_bytes = LIMITS.max_header_bytes - len(target) - 150
    filler = draws.choice((b"ab:c\r\n", b"a:\r\n", b"Name: some value\r\n"))
    share = draws.choice((0.0, 0.1, 0.9, 1.0, 1.3, 2.0))
    count = int(share * max(0, room_bytes)) // _count_lines(filler)
    lines.append(filler * count)
    body = draws.choice((b"", b"hello", INNER, 2 * INNER))
    rest = b""
    trailers = b""
    if not body:
        framing = draws.choice((b"", b"Content-Length: 0\r\n"))
    elif draws.random() < 0.5:
        framing, rest = b"Content-Length: %d\r\n" % len(body), body
    else:
        framing = b"Transfer-Encoding: chunked\r\n"
        size_bytes = draws.choice((7, len(body)))
        chunks = [
            body[start : start + size_bytes]
            for start in range(0, len(body), size_bytes)
        ]
        trailers = draws.choice((b"", b"Length: 9\r\n", b"Host: b\r\n"))
        rest = b"".join(b"%x\r\n%b\r\n" % (len(x), x) for x in chunks)
        rest += b"0\r\n" + trailers + b"\r\n"
    lines.append(framing)
    draws.shuffle(lines)
    head = b"".join(lines)
    counted_bytes = len(target) + _count_lines(head) + _count_lines(trailers)
    start = f"POST {target} HTTP/1.1\r\n".encode()
    return _Sent(start + head + b"\r\n" + rest, target, body, counted_bytes)


def _cut(data: bytes, draws: random.Random) -> list[bytes]:
    """Returns the bytes in pieces, now and then of one byte each."""
    size_bytes = draws.choice((1, 10, 300, 2_000, len(data)))
    pieces = []
    while data:
        count = draws.randint(1, size_bytes)
        pieces.append(data[:count])
        data = data[count:]
    return pieces


@pytest.mark.parametrize("seed", range(300))
def test_requests_are_run_as_sent_up_to_the_first_that_is_refused(
    seed: int,
) -> None:
    """A head over the limit with an offer ran without its later lines."""
    draws = random.Random(seed)
    service, stream = _Service(), _Stream()
    server = CallerServer(NAMES, service, None, _Timers())
    server.limits = LIMITS
    connection = server._accept(stream)
    sent = [_draw_request(number, draws) for number in range(4)]
    for piece in _cut(b"".join(x.data for x in sent), draws):
        connection.on_data(stream, piece)

    allowed = []
    for request in sent:
        if not request.is_allowed:
            break
        allowed.append((request.target, request.body))
    run = [(request.target, request.body) for request in service.requests]
    assert run == allowed
    assert stream.sent.count(b"HTTP/1.1 200 ") == len(allowed)
    is_refused = len(allowed) < len(sent)
    assert stream.sent.count(b"HTTP/1.1 431 ") == is_refused
    assert stream.is_half_closed == is_refused
