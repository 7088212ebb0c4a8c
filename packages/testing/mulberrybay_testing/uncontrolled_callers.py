"""Callers that send legal but exhausting bytes to a node."""

import contextlib
import pathlib
import re
import selectors
import socket
import struct
import time
from collections.abc import Callable, Iterator
from typing import Final, NamedTuple, Self

from mulberrybay_nodes.frames import MAX_FRAME_BYTES
from mulberrybay_testing.ports import HOST

# The settings of nodes that meet these callers: half of what the smallest machine
# has, and few descriptors.
MEMORY_MB: Final = 80
MAX_DESCRIPTORS: Final = 400
SETTINGS: Final = (
    f"memory_mb = {MEMORY_MB}\nmax_descriptors = {MAX_DESCRIPTORS}\n"
)
# The limits of the configuration that these callers are made for.
MAX_HEADER_BYTES: Final = 65_536
MAX_BODY_BYTES: Final = 262_144
LINE_COUNT: Final = 15_000
BLOCK_BYTES: Final = 65_536
# What one caller sends at most, so that a run ends.
MAX_SENT_BYTES: Final = 8 * 1024 * 1024
# Callers stop sending after this time, or when no byte is taken for so long.
MAX_SENDING_S: Final = 15.0
MAX_STALL_S: Final = 3.0
OBSERVATION_PERIOD_S: Final = 0.1

_START: Final = b"POST /records/1 HTTP/1.1\r\nHost: a.example\r\n"
_CHUNKED: Final = _START + b"Transfer-Encoding: chunked\r\n\r\n"
_ODD_LINES: Final = b"a:\r\n" * LINE_COUNT
_SMALL: Final = b"GET /records/1 HTTP/1.1\r\nHost: a.example\r\n\r\n"

Pieces = Iterator[bytes]


def endless_trailers() -> Pieces:
    """Yields a chunked body, then trailers that never end."""
    yield _CHUNKED + b"5\r\nhello\r\n0\r\n"
    while True:
        yield b"a: b\r\n" * (BLOCK_BYTES // 6)


def one_byte_chunks() -> Pieces:
    """Yields a body of one-byte chunks that stops just short of its end."""
    yield _CHUNKED
    for _ in range(MAX_BODY_BYTES // 8192):
        yield b"1\r\nx\r\n" * 8191


def pipelined_odd_lines() -> Pieces:
    """Yields 30 requests whose heads are very many lines."""
    for _ in range(30):
        yield b"GET /records/1 HTTP/1.1\r\nHost: a.example\r\n"
        yield _ODD_LINES + b"\r\n"


def endless_head() -> Pieces:
    """Yields a head that never ends."""
    yield b"GET /records/1 HTTP/1.1\r\nHost: a.example\r\n"
    while True:
        yield b"a:\r\n" * (BLOCK_BYTES // 4)


def one_large_chunk() -> Pieces:
    """Yields a body of one chunk that stops just short of its end."""
    yield _CHUNKED + b"%x\r\n" % MAX_BODY_BYTES
    for _ in range(MAX_BODY_BYTES // BLOCK_BYTES - 1):
        yield b"x" * BLOCK_BYTES
    yield b"x" * (BLOCK_BYTES - 1)


def unread_answers() -> Pieces:
    """Yields requests; the caller reads no answer."""
    while True:
        yield _SMALL * 16


def nothing() -> Pieces:
    """Yields no byte."""
    yield from ()


def single_bytes() -> Pieces:
    """Yields a head in pieces of one byte."""
    for number in _SMALL[:-2]:
        yield bytes([number])


def long_frame() -> Pieces:
    """Yields a frame as nodes send them that stops short of its end."""
    yield struct.pack("<I", MAX_FRAME_BYTES)
    for _ in range(MAX_FRAME_BYTES // BLOCK_BYTES - 1):
        yield b"x" * BLOCK_BYTES


def single_bytes_of_a_frame() -> Pieces:
    """Yields a short frame in pieces of one byte."""
    for number in struct.pack("<I", 100) + b"x" * 99:
        yield bytes([number])


def peak_memory_mb(process_id: int) -> float:
    """Returns the most memory that a process has had, in MB."""
    text = pathlib.Path(f"/proc/{process_id}/status").read_text("ascii")
    match = re.search(r"^VmHWM:\s+(\d+) kB", text, re.M)
    assert match is not None
    return int(match[1]) / 1024


class CallerKind(NamedTuple):
    """Callers that send the same bytes.

    Attributes:
        pieces: Makes the bytes of one connection.
        connection_count: The number of connections.
        period_s: The time between two pieces.
    """

    pieces: Callable[[], Pieces]
    connection_count: int
    period_s: float = 0.0


KINDS: Final = {
    "endless trailers": CallerKind(endless_trailers, 60),
    "one-byte chunks": CallerKind(one_byte_chunks, 60),
    "pipelined odd lines": CallerKind(pipelined_odd_lines, 60),
    "endless head": CallerKind(endless_head, 60),
    "one large chunk": CallerKind(one_large_chunk, 240),
    "unread answers": CallerKind(unread_answers, 60),
}
SILENT_KINDS: Final = {
    "nothing": CallerKind(nothing, 600),
    "single bytes": CallerKind(single_bytes, 600, 0.1),
}
# For the port on which nodes listen to each other.
PEER_KINDS: Final = {
    "long frames": CallerKind(long_frame, 60),
    "nothing": SILENT_KINDS["nothing"],
    "single bytes": CallerKind(single_bytes_of_a_frame, 600, 0.1),
}


class _Caller:
    """One connection and what is left to send on it."""

    def __init__(self, port: int, kind: CallerKind) -> None:
        self._pieces = kind.pieces()
        self._period_s = kind.period_s
        self._due_s = 0.0
        self._left = b""
        self._sent_bytes = 0
        self.is_finished = False
        self.socket = socket.socket()
        self.socket.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            self.socket.connect((HOST, port))

    def send(self, now_s: float) -> int:
        """Sends what the socket takes; returns the number of bytes."""
        if now_s < self._due_s:
            return 0
        self._left = self._left or next(self._pieces, b"")
        if not self._left or self._sent_bytes >= MAX_SENT_BYTES:
            self.is_finished = True
            return 0
        try:
            count = self.socket.send(self._left)
        except BlockingIOError:
            return 0
        except OSError:
            self.is_finished = True
            return 0
        self._left = self._left[count:]
        self._sent_bytes += count
        self._due_s = now_s + self._period_s
        return count


class UncontrolledCallers:
    """Opens connections and sends; a context manager that closes them."""

    def __init__(self, port: int, kinds: list[CallerKind]) -> None:
        self._callers = [
            _Caller(port, kind)
            for kind in kinds
            for _ in range(kind.connection_count)
        ]
        self._is_stopped = False

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        for caller in self._callers:
            caller.socket.close()

    def stop(self) -> None:
        """Makes `send` return soon; for other threads."""
        self._is_stopped = True

    def send(self, observe: Callable[[], None]) -> None:
        """Sends until nothing more is taken, or for a time.

        Args:
            observe: Called about ten times a second, until no byte was sent for
                some time.
        """
        started_s = last_sent_s = time.monotonic()
        observed_s = 0.0
        with selectors.DefaultSelector() as selector:
            for caller in self._callers:
                selector.register(caller.socket, selectors.EVENT_WRITE, caller)
            while not self._is_stopped:
                now_s = time.monotonic()
                if now_s - observed_s > OBSERVATION_PERIOD_S:
                    observe()
                    observed_s = now_s
                if now_s - started_s > MAX_SENDING_S:
                    return
                if now_s - last_sent_s > MAX_STALL_S:
                    return
                for key, _ in selector.select(OBSERVATION_PERIOD_S):
                    if key.data.send(now_s):
                        last_sent_s = now_s
                    if key.data.is_finished:
                        selector.unregister(key.fileobj)
