"""Callers that nobody controls, as a process of their own.

Each of many connections sends one request of legal size after the other, whose
head is very many short lines, and waits for the answer to each.
"""

import selectors
import socket
import sys
import time
from collections import Counter
from typing import Final

HOST: Final = "127.0.0.1"
# Less than `max_header_bytes` of the config.
HEAD_BYTES: Final = 16_000
LINE: Final = b"a:\r\n"
DEADLINE_MS: Final = 8000
REPORT_PERIOD_S: Final = 5.0
# How long to wait before a connection that was ended is opened again.
REOPEN_S: Final = 0.2


def make_request(path: str) -> bytes:
    """Returns a request of legal size."""
    start = (
        f"GET {path} HTTP/1.1\r\nHost: a.example\r\n"
        f"X-Request-Id: uncontrolled\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n"
    ).encode()
    return start + LINE * ((HEAD_BYTES - len(start)) // len(LINE)) + b"\r\n"


class Caller:
    """One connection."""

    def __init__(self, port: int, request: bytes) -> None:
        self._port = port
        self._request = request
        self._left = request
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.socket.connect_ex((HOST, port))

    def again(self) -> "Caller":
        """Returns a new connection in place of this one."""
        self.socket.close()
        return Caller(self._port, self._request)

    def step(self, events: int, counts: Counter[str]) -> int:
        """Sends or reads; returns the events to wait for, 0 at the end."""
        try:
            if events & selectors.EVENT_WRITE:
                count = self.socket.send(self._left)
                self._left = self._left[count:]
                if self._left:
                    return selectors.EVENT_WRITE
                return selectors.EVENT_READ
            data = self.socket.recv(65536)
        except OSError as error:
            counts[type(error).__name__] += 1
            return 0
        counts[data[9:12].decode("latin-1") or "closed"] += 1
        if not data or b"connection: close" in data.lower():
            return 0
        self._left = self._request
        return selectors.EVENT_WRITE


def main() -> None:
    """Sends until the process is ended."""
    path, count = sys.argv[1], int(sys.argv[2])
    ports = [int(text) for text in sys.argv[3:]]
    request = make_request(path)
    counts: Counter[str] = Counter()
    reopened: list[tuple[float, Caller]] = []
    report_at_s = time.monotonic() + REPORT_PERIOD_S
    with selectors.DefaultSelector() as selector:
        for port in ports:
            for _ in range(count):
                caller = Caller(port, request)
                selector.register(caller.socket, selectors.EVENT_WRITE, caller)
        while True:
            for key, events in selector.select(0.05):
                wanted = key.data.step(events, counts)
                if wanted:
                    selector.modify(key.fileobj, wanted, key.data)
                else:
                    selector.unregister(key.fileobj)
                    due_s = time.monotonic() + REOPEN_S
                    reopened.append((due_s, key.data))
            now_s = time.monotonic()
            while reopened and reopened[0][0] <= now_s:
                caller = reopened.pop(0)[1].again()
                selector.register(caller.socket, selectors.EVENT_WRITE, caller)
            if now_s >= report_at_s:
                report_at_s = now_s + REPORT_PERIOD_S
                print(dict(counts), flush=True)


if __name__ == "__main__":
    main()
