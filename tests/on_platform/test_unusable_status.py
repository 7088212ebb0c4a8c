"""Callers don't wait for servers whose reply has an unusable status."""

import contextlib
import socket
import threading

import pytest
from deployment import Deployment

from mulberrybay_testing.ports import HOST
from mulberrybay_testing.status_lines import UNUSABLE_STATUS_LINES
from mulberrybay_testing.waiting import wait_until


class _StatusServer:
    """Answers whatever arrives with one status line, without a body."""

    def __init__(self, line: bytes) -> None:
        self._reply = line + b"\r\nContent-Length: 0\r\n\r\n"
        self._listener = socket.create_server((HOST, 0), backlog=64)
        self.port = self._listener.getsockname()[1]
        self.request_count = 0

    def __enter__(self) -> "_StatusServer":
        threading.Thread(target=self._accept, daemon=True).start()
        return self

    def __exit__(self, *_: object) -> None:
        self._listener.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                threading.Thread(
                    target=self._answer, args=(connection,), daemon=True
                ).start()

    def _answer(self, connection: socket.socket) -> None:
        with contextlib.suppress(OSError), connection:
            while connection.recv(65536):
                self.request_count += 1
                connection.sendall(self._reply)


@pytest.mark.parametrize("line", UNUSABLE_STATUS_LINES)
def test_caller_gets_502_and_a_query_the_other_shards(
    deployment: Deployment, line: bytes
) -> None:
    """It got 504 at its deadline, or the status of the server."""
    (node,) = deployment.start_nodes(1)
    with _StatusServer(line) as server:
        for service in ("bookings", "records", "shard-0"):
            for backend in deployment.backends[service]:
                address = f"{HOST}:{server.port}"
                entry = backend.entry(address=address, sequence=2)
                deployment.put("servers", backend.server_id, entry)
        for path in ("/bookings/1", "/records/1"):
            wait_until(
                lambda path=path: node.send_request(path).status != 200,  # type: ignore[misc]
                5.0,
                "the entries are known",
            )
        booking = node.send_request("/bookings/2", method="POST")
        record = node.send_request("/records/2")
        search = node.send_request("/search/2")

    assert [booking.status, record.status] == [502, 502]
    assert (search.status, search.headers["x-missing-parts"]) == (200, "1")
