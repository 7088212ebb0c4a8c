"""Backend servers whose bytes never end take neither memory nor time."""

import contextlib
import itertools
import pathlib
import re
import socket
import threading
import time
from collections.abc import Iterable, Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Final

import pytest
from deployment import Deployment, RunningNode

from mulberrybay_testing.ports import HOST

# The users' platform ends a process that takes more.
MAX_MEMORY_MB: Final = 300
DEADLINE_MS: Final = 1500
CALL_COUNT: Final = 16
HEAD: Final = b"HTTP/1.1 200 OK\r\n"
BLOCK: Final = b"x" * 65536
# Too slow to be noticed by its size.
TRICKLE_PERIOD_S: Final = 0.05


def endless(first: bytes, block: bytes) -> Iterable[bytes]:
    return itertools.chain([first], itertools.repeat(block))


def trickle() -> Iterator[bytes]:
    yield HEAD + b"\r\n"
    while True:
        time.sleep(TRICKLE_PERIOD_S)
        yield b"x"


SOURCES = {
    "a head of many lines": lambda: endless(HEAD, b"A: " + BLOCK + b"\r\n"),
    "a head of one line": lambda: endless(HEAD + b"A: ", BLOCK),
    "a body": lambda: endless(HEAD + b"\r\n", BLOCK),
    "a body in chunks": lambda: endless(
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        b"10000\r\n" + BLOCK + b"\r\n",
    ),
    "no answer at all": lambda: endless(b"", BLOCK),
    "a slow body": trickle,
}


class _EndlessServer:
    """Sends bytes on each connection until the peer closes it."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._listener = socket.create_server((HOST, 0), backlog=64)
        self.port = self._listener.getsockname()[1]
        self.open_count = 0

    def __enter__(self) -> "_EndlessServer":
        threading.Thread(target=self._accept, daemon=True).start()
        return self

    def __exit__(self, *_: object) -> None:
        self._listener.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                threading.Thread(
                    target=self._send, args=(connection,), daemon=True
                ).start()

    def _send(self, connection: socket.socket) -> None:
        self.open_count += 1
        with contextlib.suppress(OSError), connection:
            if connection.recv(65536):
                for data in SOURCES[self._name]():
                    connection.sendall(data)
        self.open_count -= 1


def peak_memory_mb(node: RunningNode) -> float:
    text = pathlib.Path(f"/proc/{node.process.pid}/status").read_text("ascii")
    match = re.search(r"^VmHWM:\s+(\d+) kB", text, re.M)
    assert match is not None
    return int(match[1]) / 1024


@pytest.mark.parametrize("name", [*SOURCES])
def test_bytes_without_end_are_bounded_in_memory_and_time(
    deployment: Deployment, name: str
) -> None:
    (node,) = deployment.start_nodes(1)
    with _EndlessServer(name) as server:
        for backend in deployment.backends["records"]:
            address = f"{HOST}:{server.port}"
            entry = backend.entry(address=address, sequence=2)
            deployment.put("servers", backend.server_id, entry)
        time.sleep(1.0)

        def call(number: int) -> tuple[int, float]:
            started_at_s = time.monotonic()
            answer = node.send_request(
                f"/records/{number}", deadline_ms=DEADLINE_MS
            )
            return answer.status, time.monotonic() - started_at_s

        with ThreadPoolExecutor(CALL_COUNT) as pool:
            results = [*pool.map(call, range(CALL_COUNT))]
        assert node.send_request("/search/x").status == 200
        assert server.open_count <= 1 or name == "a slow body"

    assert {status for status, _ in results} <= {502, 503, 504}
    assert max(took_s for _, took_s in results) < DEADLINE_MS / 1000 + 0.5
    assert peak_memory_mb(node) < MAX_MEMORY_MB
