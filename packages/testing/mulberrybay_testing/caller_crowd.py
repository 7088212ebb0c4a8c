"""Runs connections of uncontrolled callers in a process of its own.

The process ends by itself after a time, or when it is killed. A connection
that the node closes is opened again.
"""

import argparse
import contextlib
import random
import selectors
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from types import TracebackType
from typing import Final, NamedTuple, Self

from mulberrybay_testing.ports import HOST

# What a caller yields to wait for bytes of an answer.
WAIT: Final = b""
REOPEN_S: Final = 0.2
POLL_PERIOD_S: Final = 0.05
READ_BYTES: Final = 65_536
MAX_LIFE_S: Final = 120.0

# What a connection sends, drawn from a random source.
Pieces = Iterator[bytes]


class CrowdLimits(NamedTuple):
    """The limits that requests are made for.

    Attributes:
        max_header_bytes: The limit on a head.
        max_body_bytes: The limit on a body.
    """

    max_header_bytes: int
    max_body_bytes: int


def _start(method: bytes = b"GET", target: bytes = b"/records/1") -> bytes:
    return b"%s %s HTTP/1.1\r\nHost: a.example\r\n" % (method, target)


def _fill_head(line: bytes, limits: CrowdLimits) -> bytes:
    """Returns as many lines as a legal head may have."""
    # A line counts as its name, its value and 3 bytes.
    line_bytes = len(line) - 1 if b": " in line else len(line)
    return line * ((limits.max_header_bytes - 256) // line_bytes)


def short_lines(limits: CrowdLimits, _: random.Random) -> Pieces:
    """Yields legal heads of many short lines, each after an answer."""
    while True:
        yield _start() + _fill_head(b"a:\r\n", limits) + b"\r\n"
        yield WAIT


def odd_lines(limits: CrowdLimits, draws: random.Random) -> Pieces:
    """Yields legal heads of odd lines, each after an answer."""
    names = (b"x-\xc3", b"A!#$%&'*+-.^_`|~", b"x", b"connection", b"te")
    while True:
        left_bytes = limits.max_header_bytes - 256
        lines = []
        while left_bytes > 32:
            value = draws.choice((b"", b"\t", b"\xff\xfe", b"a, b", b"  c  "))
            line = draws.choice(names[1:]) + b":" + value + b"\r\n"
            lines.append(line)
            left_bytes -= len(line) + 3
        yield _start() + b"".join(lines) + b"\r\n"
        yield WAIT


def offers(limits: CrowdLimits, _: random.Random) -> Pieces:
    """Yields requests with bodies that offer an upgrade."""
    offer = b"Connection: upgrade\r\nUpgrade: h2c\r\n"
    while True:
        head = _start(b"POST") + offer + _fill_head(b"ab:c\r\n", limits)
        body = b"b" * limits.max_body_bytes
        yield head + b"Content-Length: %d\r\n\r\n" % len(body) + body
        yield WAIT


def pipelined(_: CrowdLimits, __: random.Random) -> Pieces:
    """Yields many small requests at a time."""
    while True:
        yield (_start() + b"\r\n") * 16
        yield WAIT


def searches(_: CrowdLimits, __: random.Random) -> Pieces:
    """Yields small requests that nodes send to several servers each."""
    while True:
        yield _start(target=b"/search/x") + b"X-Deadline-Ms: 8000\r\n\r\n"
        yield WAIT


def tiny_chunks(limits: CrowdLimits, _: random.Random) -> Pieces:
    """Yields whole bodies in chunks of a byte."""
    while True:
        yield _start(b"POST") + b"Transfer-Encoding: chunked\r\n\r\n"
        yield b"1\r\nx\r\n" * (limits.max_body_bytes // 8)
        yield b"0\r\n\r\n"
        yield WAIT


def endless_trailers(_: CrowdLimits, __: random.Random) -> Pieces:
    """Yields a chunked body, then trailers that never end."""
    yield _start(b"POST") + b"Transfer-Encoding: chunked\r\n\r\n"
    yield b"5\r\nhello\r\n0\r\n"
    while True:
        yield b"a: b\r\n" * 10_000


def stalled_chunks(limits: CrowdLimits, _: random.Random) -> Pieces:
    """Yields a body of large chunks that stops just short of its end."""
    yield _start(b"POST") + b"Transfer-Encoding: chunked\r\n\r\n"
    size_bytes = limits.max_body_bytes - 1
    yield b"%x\r\n" % size_bytes + b"x" * size_bytes + b"\r\n"
    yield WAIT
    yield WAIT


def silent(_: CrowdLimits, __: random.Random) -> Pieces:
    """Yields nothing."""
    while True:
        yield WAIT


def drawn(limits: CrowdLimits, draws: random.Random) -> Pieces:
    """Yields requests of any shape, cut into pieces of any size."""
    while True:
        data = _draw_request(limits, draws) * draws.choice((1, 1, 1, 2, 8))
        stops = draws.random() < 0.3
        if stops:
            data = data[: -draws.randint(1, min(16, len(data) - 1))]
        piece_bytes = draws.choice((1_000, 16_384, 100_000, len(data)))
        for start in range(0, len(data), piece_bytes):
            yield data[start : start + piece_bytes]
        if stops or draws.random() < 0.8:
            yield WAIT


def _draw_request(limits: CrowdLimits, draws: random.Random) -> bytes:
    method = draws.choice((b"GET", b"POST", b"PUT", b"HEAD", b"DELETE"))
    target = b"/records/" + b"t" * draws.choice((1, 1, 1, 100, 5_000))
    head = _start(method, target)
    if draws.random() < 0.25:
        token = draws.choice((b"h2c", b"websocket", b"TLS/1.0, x/2"))
        head += b"Connection: Upgrade\r\nUpgrade: " + token + b"\r\n"
    if draws.random() < 0.15:
        head += b"Expect: 100-continue\r\n"
    head += _draw_lines(limits.max_header_bytes, draws)
    match draws.randrange(4):
        case 0:
            return head + b"\r\n"
        case 1:
            size_bytes = draws.randint(0, limits.max_body_bytes)
            framing = b"Content-Length: %d\r\n\r\n" % size_bytes
            return head + framing + b"b" * size_bytes
        case _:
            return head + _draw_chunks(limits, draws)


def _draw_lines(max_bytes: int, draws: random.Random) -> bytes:
    """Returns header lines, now and then beyond the limit."""
    share = draws.choice((0.0, 0.0, 0.1, 0.5, 0.95, 1.1))
    lines = []
    left_bytes = int(share * max_bytes) - 256
    value_bytes = draws.choice((0, 0, 1, 20, 1_000))
    while left_bytes > 0:
        name = b"x" if draws.random() < 0.9 else b"Accept-Language"
        line = name + b":" + b"v" * draws.randint(0, value_bytes) + b"\r\n"
        lines.append(line)
        left_bytes -= len(line)
    return b"".join(lines)


def _draw_chunks(limits: CrowdLimits, draws: random.Random) -> bytes:
    size_bytes = draws.choice((1, 2, 5, 100, 10_000))
    # Chunks of a byte are few, so that no piece is much larger than a body.
    body_bytes = min(
        int(limits.max_body_bytes * draws.choice((0.01, 0.5, 0.99))),
        size_bytes * 20_000,
    )
    extension = draws.choice((b"", b"", b";a=b", b";" + b"e" * 200))
    digits = draws.choice((b"%x", b"%x", b"%08x")) % size_bytes
    chunk = digits + extension + b"\r\n" + b"c" * size_bytes + b"\r\n"
    trailers = draws.choice((b"", b"", b"a: b\r\n" * 50, b"a: b\r\n" * 30_000))
    return (
        b"Transfer-Encoding: chunked\r\n\r\n"
        + chunk * (body_bytes // size_bytes)
        + b"0\r\n"
        + trailers
        + b"\r\n"
    )


CROWD_KINDS: Final[dict[str, Callable[..., Pieces]]] = {
    "short lines": short_lines,
    "odd lines": odd_lines,
    "offers": offers,
    "pipelined": pipelined,
    "searches": searches,
    "tiny chunks": tiny_chunks,
    "endless trailers": endless_trailers,
    "stalled chunks": stalled_chunks,
    "silent": silent,
    "drawn": drawn,
}


class _Caller:
    """One connection, which is opened again when the node closes it."""

    def __init__(self, port: int, make_pieces: Callable[[], Pieces]) -> None:
        self._port = port
        self._make_pieces = make_pieces
        self.socket = socket.socket()
        self.open()

    def open(self) -> None:
        """Opens a new connection."""
        self._pieces = self._make_pieces()
        self._left: memoryview | bytes = next(self._pieces, WAIT)
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.socket.connect_ex((HOST, self._port))

    def wanted_events(self) -> int:
        """Returns the events to wait for."""
        if self._left:
            return selectors.EVENT_READ | selectors.EVENT_WRITE
        return selectors.EVENT_READ

    def step(self, events: int) -> bool:
        """Reads and sends; returns whether the connection is open."""
        try:
            if events & selectors.EVENT_READ:
                if not self.socket.recv(READ_BYTES):
                    return False
                if not self._left:
                    self._left = next(self._pieces, WAIT)
            elif self._left:
                left = memoryview(self._left)
                self._left = left[self.socket.send(left) :]
                if not self._left:
                    self._left = next(self._pieces, WAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return True


def run_crowd(
    port: int, kind: str, count: int, seed: int, limits: CrowdLimits
) -> None:
    """Sends on so many connections until the time is over."""

    def make_maker(number: int) -> Callable[[], Pieces]:
        draws = random.Random(f"{seed}-{number}")
        return lambda: CROWD_KINDS[kind](limits, draws)

    ends_at_s = time.monotonic() + MAX_LIFE_S
    closed: list[tuple[float, _Caller]] = []
    with selectors.DefaultSelector() as selector:
        for number in range(count):
            caller = _Caller(port, make_maker(number))
            selector.register(caller.socket, caller.wanted_events(), caller)
        while (now_s := time.monotonic()) < ends_at_s:
            for key, events in selector.select(POLL_PERIOD_S):
                caller = key.data
                if caller.step(events):
                    selector.modify(key.fileobj, caller.wanted_events(), caller)
                else:
                    selector.unregister(key.fileobj)
                    caller.socket.close()
                    closed.append((now_s + REOPEN_S, caller))
            while closed and closed[0][0] <= now_s:
                caller = closed.pop(0)[1]
                caller.open()
                selector.register(caller.socket, caller.wanted_events(), caller)


class CrowdProcess:
    """A process that runs a crowd; a context manager that ends it."""

    def __init__(
        self,
        port: int,
        kind: str,
        count: int,
        limits: CrowdLimits,
        seed: int = 0,
    ) -> None:
        """Describes the crowd; `__enter__` starts it."""
        self._arguments = [port, kind, count, seed, *limits]
        self._process: subprocess.Popen[bytes] | None = None

    def __enter__(self) -> Self:
        self._process = subprocess.Popen(
            [sys.executable, "-m", __spec__.name, *map(str, self._arguments)]
        )
        return self

    def __exit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    @property
    def has_ended(self) -> bool:
        """Whether the process has ended by itself, as after a fault."""
        return self._process is None or self._process.poll() is not None


def main() -> None:
    """Runs the crowd that the arguments describe."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("port", type=int)
    parser.add_argument("kind", choices=CROWD_KINDS)
    for name in ("count", "seed", "max_header_bytes", "max_body_bytes"):
        parser.add_argument(name, type=int)
    options = parser.parse_args()
    limits = CrowdLimits(options.max_header_bytes, options.max_body_bytes)
    with contextlib.suppress(KeyboardInterrupt):
        run_crowd(
            options.port, options.kind, options.count, options.seed, limits
        )


if __name__ == "__main__":
    main()
