"""The server for callers and operators gives one answer for one request."""

import socket
import time
from collections.abc import Iterator
from typing import Final

import pytest
from http_program import HttpProgram

from mulberrybay_runtime.http_server import HttpRequest, HttpResponse, Respond
from mulberrybay_testing.ports import HOST

SILENCE_S: Final = 0.3
GOOD: Final = b"GET /good HTTP/1.1\r\nHost: a\r\n\r\n"
FAULTS: Final = {
    "/value": ValueError,
    "/lookup": LookupError,
    "/type": TypeError,
    "/attribute": AttributeError,
}


class _Application:
    """Fails while a request is started, or answers it."""

    def on_request(self, request: HttpRequest, respond: Respond) -> None:
        fault = FAULTS.get(request.path)
        if fault is not None:
            raise fault("a fault of this node")
        if request.path == "/answered":
            respond(HttpResponse(200, b"{}"))
            raise ValueError("a fault after the answer")
        respond(HttpResponse(200, b"{}"))

    def should_close(self) -> bool:
        return False


class _Program(HttpProgram):
    def __init__(self) -> None:
        super().__init__(_Application())

    def exchange(self, data: bytes) -> bytes:
        """Returns all that comes back until nothing more does."""
        received = b""
        with socket.create_connection((HOST, self.port), 5.0) as caller:
            caller.sendall(data)
            caller.settimeout(SILENCE_S)
            while True:
                try:
                    part = caller.recv(65536)
                except TimeoutError:
                    return received
                if not part:
                    return received
                received += part


@pytest.fixture
def program() -> Iterator[_Program]:
    with _Program() as program:
        yield program


@pytest.mark.parametrize("path", [*FAULTS, "/answered"])
def test_fault_while_a_request_is_started_gives_one_answer(
    program: _Program, path: str
) -> None:
    received = program.exchange(
        b"GET %s HTTP/1.1\r\nHost: a\r\n\r\n" % path.encode()
    )

    assert received.count(b"HTTP/1.1 ") == 1
    assert program.server.pending_count == 0
    assert program.exchange(GOOD).startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize(
    "head",
    [
        b"Content-Length: 5, 5",
        b"Content-Length: +5",
        b"Content-Length: -5",
        b"Content-Length: 5.0",
        b"Content-Length: " + b"9" * 5000,
        b"Content-Length: \xd9\xa5",
        b"Content-Length: 5\r\nContent-Length: 6",
        b"Transfer-Encoding: Chunked",
        b"Transfer-Encoding: gzip, chunked\r\nContent-Length: x",
        b"Transfer-Encoding: chunked\r\nContent-Length: 3",
        b"Host",
        b": a",
        b"A\x00: b",
        b"Cookie: \xff=\xfe; a",
        b"Upgrade: h2c\r\nConnection: Upgrade\r\nContent-Length: 5",
        b"Expect: 100-continue\r\nContent-Length: 5",
    ],
)
def test_any_head_gives_one_answer_at_most_and_leaves_nothing_pending(
    program: _Program, head: bytes
) -> None:
    data = b"POST /good HTTP/1.1\r\n" + head + b"\r\n\r\nhello"
    received = program.exchange(data)

    assert received.replace(b"HTTP/1.1 100", b"").count(b"HTTP/1.1 ") <= 1
    ends_at_s = time.monotonic() + 1.0
    while program.server.pending_count and time.monotonic() < ends_at_s:
        time.sleep(0.01)
    assert program.server.pending_count == 0
    assert program.exchange(GOOD).startswith(b"HTTP/1.1 200")
