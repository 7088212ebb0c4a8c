"""Tests of the fault-injecting proxy as a real process."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import pytest

from mulberrybay_testing.control_client import (
    post_control,
)
from mulberrybay_testing.ports import free_port
from mulberrybay_testing.processes import Processes
from mulberrybay_testing.standin_calls import (
    CALL_TIMEOUT_S,
    Backend,
    call,
)


class Proxied(NamedTuple):
    """A backend server behind a proxy."""

    port: int
    control_port: int

    def set(self, **settings: object) -> None:
        post_control(self.control_port, {"all": True, "set": settings})

    def health_status(self, timeout_s: float = CALL_TIMEOUT_S) -> int:
        reply = call(self.port, "GET", "/v1/health", timeout_s=timeout_s)
        return reply.status


@pytest.fixture
def proxied(
    processes: Processes,
    start_backend: Callable[..., Backend],
    tmp_path: Path,
) -> Proxied:
    backend = start_backend()
    port, control_port = free_port(), free_port()
    target = ("--listen", port, "--target", f"127.0.0.1:{backend.port}")
    control = ("--control-port", control_port, "--log", tmp_path / "p.jsonl")
    processes.start_module(
        "tcp_proxy", "tcp_proxy", *target, *control
    ).wait_ready()
    return Proxied(port, control_port)


def test_silent_affects_only_open_connections(proxied: Proxied) -> None:
    request = b"GET /v1/health HTTP/1.1\r\n\r\n"
    address = ("127.0.0.1", proxied.port)
    with socket.create_connection(address) as connection:
        connection.sendall(request)
        assert connection.recv(1000).startswith(b"HTTP/1.1 200")
        proxied.set(silent=True)
        connection.settimeout(0.2)
        connection.sendall(request)
        with pytest.raises(TimeoutError):
            connection.recv(1000)
        assert proxied.health_status() == 200


def _read_raw_reply(port: int) -> bytes:
    with socket.create_connection(("127.0.0.1", port)) as connection:
        connection.settimeout(CALL_TIMEOUT_S)
        connection.sendall(b"GET /v1/health HTTP/1.1\r\n\r\n")
        with connection.makefile("rb") as answer:
            return answer.read()


def test_proxy_cuts_delays_and_discards(proxied: Proxied) -> None:
    proxied.set(cut=True)
    with pytest.raises(ConnectionError):
        proxied.health_status()
    proxied.set(cut=False, cut_after_bytes=20)
    assert _read_raw_reply(proxied.port) == b"HTTP/1.1 200 OK\r\nCon"
    proxied.set(cut_after_bytes=None, one_way="from_target")
    with pytest.raises(TimeoutError):
        proxied.health_status(timeout_s=0.2)
    proxied.set(one_way=None, delay_ms=50)
    started_s = time.monotonic()
    assert proxied.health_status() == 200
    assert time.monotonic() - started_s >= 0.1
