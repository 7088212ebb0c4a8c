"""Tests of the stand-ins as real processes."""

from __future__ import annotations

import contextlib
import http.client
import json
import socket
import sys
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

import pytest

from mulberrybay_testing.backend_model import expected_hits
from mulberrybay_testing.control_client import (
    ControlError,
    get_control,
    post_control,
)
from mulberrybay_testing.event_log import Event, read_events
from mulberrybay_testing.ports import free_port
from mulberrybay_testing.processes import Processes

_TIMEOUT_S = 5.0


class Reply(NamedTuple):
    """A parsed HTTP reply."""

    status: int
    headers: dict[str, str]
    document: Any


class Backend(NamedTuple):
    """A running backend server."""

    port: int
    control_port: int
    log: Path

    def events(self, name: str) -> list[Event]:
        return [item for item in read_events(self.log) if item["event"] == name]


@pytest.fixture
def processes(tmp_path: Path) -> Iterator[Processes]:
    with Processes(tmp_path / "output") as owner:
        yield owner


def _start(processes: Processes, module: str, *arguments: object) -> None:
    argv = [sys.executable, "-m", f"mulberrybay_testing.{module}"]
    processes.start(module, [*argv, *map(str, arguments)]).wait_ready()


@pytest.fixture
def platform(processes: Processes, tmp_path: Path) -> int:
    port = free_port()
    log = tmp_path / "platform.jsonl"
    _start(processes, "platform_standin", "--port", port, "--log", log)
    return port


@pytest.fixture
def start_backend(
    processes: Processes, tmp_path: Path
) -> Callable[..., Backend]:
    def start(**overrides: object) -> Backend:
        spec = {
            "vm_id": "b1",
            "host": "127.0.0.1",
            "port": free_port(),
            "service": "field-search",
            "failure_domain": "d1",
            "slot_count": 3,
            "connection_cap": 30,
            "service_time_ms": 5,
            **overrides,
        }
        spec_path = tmp_path / "spec.json"
        spec_path.write_text(json.dumps([spec]))
        backend = Backend(spec["port"], free_port(), tmp_path / "b.jsonl")
        options = ("--spec", spec_path, "--log", backend.log)
        control = ("--control-port", backend.control_port)
        _start(processes, "backend_standin", *options, *control)
        return backend

    return start


def _call(
    port: int,
    method: str,
    path: str,
    body: str = "",
    headers: dict[str, str] | None = None,
    *,
    timeout_s: float = _TIMEOUT_S,
) -> Reply:
    connection = http.client.HTTPConnection(
        "127.0.0.1", port, timeout=timeout_s
    )
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        text = response.read()
        found = {key.lower(): value for key, value in response.getheaders()}
        return Reply(response.status, found, json.loads(text) if text else None)
    finally:
        connection.close()


def _search(port: int, request_id: str, **headers: str) -> Reply:
    names = {key.replace("_", "-"): value for key, value in headers.items()}
    return _call(
        port,
        "POST",
        "/v1/search",
        "query",
        {"X-Request-Id": request_id, "X-Shard": "4", **names},
    )


def _in_thread(function: Callable[[], object]) -> threading.Thread:
    thread = threading.Thread(target=function, daemon=True)
    thread.start()
    return thread


def _wait_until(condition: Callable[[], bool]) -> None:
    ends_at_s = time.monotonic() + _TIMEOUT_S
    while not condition():
        assert time.monotonic() < ends_at_s, "condition did not come true"
        time.sleep(0.01)


_PATH = "/v1/objects/classes/lookup"


def test_conditional_updates(platform: int) -> None:
    created = _call(platform, "PUT", _PATH, "1", {"If-None-Match": "*"})
    assert (created.status, created.document) == (201, {"version": 1})
    again = _call(platform, "PUT", _PATH, "2", {"If-None-Match": "*"})
    assert (again.status, again.document) == (412, {"version": 1})
    updated = _call(platform, "PUT", _PATH, "3", {"If-Match": '"1"'})
    assert (updated.status, updated.document) == (200, {"version": 2})
    stale = _call(platform, "DELETE", _PATH, "", {"If-Match": '"1"'})
    assert (stale.status, stale.document) == (412, {"version": 2})
    assert _call(platform, "PUT", _PATH, "4").status == 428
    read = _call(platform, "GET", _PATH)
    assert read.headers["etag"] == '"2"'
    assert read.document["value"] == 3
    large = json.dumps("x" * 1024 * 1024)
    too_large = _call(platform, "PUT", _PATH, large, {"If-Match": '"2"'})
    assert too_large.status == 413
    gone = _call(platform, "DELETE", _PATH, "", {"If-Match": '"2"'})
    assert gone.status == 204
    absent = _call(platform, "PUT", _PATH, "5", {"If-Match": '"2"'})
    assert (absent.status, absent.document) == (412, {"version": 0})


def test_watch_answers_on_change_and_on_timeout(platform: int) -> None:
    path = "/v1/watch/classes?after=0&timeout_s="
    empty = _call(platform, "GET", path + "0.05")
    assert empty.document == {"items": [], "version": 0}
    replies: list[Reply] = []
    waiter = _in_thread(
        lambda: replies.append(_call(platform, "GET", path + "4"))
    )
    _wait_until(lambda: get_control(platform)["calls"].get("watch") == 2)
    _call(platform, "PUT", "/v1/objects/other/x", "0", {"If-None-Match": "*"})
    _call(platform, "PUT", _PATH, "1", {"If-None-Match": "*"})
    waiter.join(2)
    assert [item["version"] for item in replies[0].document["items"]] == [2]


def test_lost_answer_takes_effect_and_lost_request_does_not(
    platform: int, tmp_path: Path
) -> None:
    order = {"kind": "classes", "count": 1}
    post_control(platform, {"lose_requests": order, "lose_answers": order})
    for _ in range(2):
        with pytest.raises(http.client.RemoteDisconnected):
            _call(platform, "PUT", _PATH, "1", {"If-None-Match": "*"})
    retried = _call(platform, "PUT", _PATH, "1", {"If-None-Match": "*"})
    assert retried.status == 412
    calls = [
        (item["status"], item["answer_lost"], item["version"])
        for item in read_events(tmp_path / "platform.jsonl")
        if item["event"] == "call"
    ]
    assert calls == [(0, False, 0), (201, True, 1), (412, False, 0)]


def test_outages_and_lagging_vm_list(platform: int) -> None:
    waiter_errors: list[object] = []

    def wait_for_change() -> None:
        try:
            _call(platform, "GET", "/v1/watch/classes?after=0&timeout_s=9")
        except ConnectionError as error:
            waiter_errors.append(error)

    waiter = _in_thread(wait_for_change)
    _wait_until(lambda: get_control(platform)["calls"].get("watch") == 1)
    post_control(platform, {"outage": "refuse"})
    waiter.join(2)
    assert len(waiter_errors) == 1
    with pytest.raises((http.client.RemoteDisconnected, ConnectionError)):
        _call(platform, "GET", "/v1/vms")
    post_control(platform, {"outage": "unavailable"})
    refused = _call(platform, "GET", "/v1/vms")
    assert refused.status == 503
    assert "retry-after" in refused.headers
    post_control(platform, {"outage": "silent"})
    with pytest.raises(TimeoutError):
        _call(platform, "GET", "/v1/vms", timeout_s=0.2)
    vms = [{"vm_id": "e1", "state": "live"}]
    post_control(platform, {"outage": None, "vm_list_lag_s": 0.5, "vms": vms})
    assert _call(platform, "GET", "/v1/vms").document == {"vms": []}
    _wait_until(
        lambda: _call(platform, "GET", "/v1/vms").document == {"vms": vms}
    )


def test_search_tells_its_snapshot(
    start_backend: Callable[..., Backend],
) -> None:
    backend = start_backend(index_versions=[7, 8])
    reply = _search(backend.port, "r1", X_Index_Version="7")
    assert reply.status == 200
    assert reply.document["hits"] == expected_hits(7, "4", b"query")
    assert reply.headers["x-request-id"] == "r1"
    assert reply.headers["x-index-version"] == "7"
    assert reply.headers["x-shard"] == "4"
    missing = _search(backend.port, "r2", X_Index_Version="6")
    assert missing.status == 409
    assert missing.headers["x-index-versions"] == "7,8"


def test_leaving_server_says_so_and_runs_are_not_deduplicated(
    start_backend: Callable[..., Backend],
) -> None:
    backend = start_backend()
    settings = {"leaving": True}
    post_control(
        backend.control_port, {"failure_domain": "d1", "set": settings}
    )
    headers = {"X-Request-Id": "r1", "Idempotency-Key": "k1"}
    replies = [
        _call(backend.port, "POST", "/v1/run", "{}", headers) for _ in range(2)
    ]
    assert [reply.headers["x-leaving"] for reply in replies] == ["1", "1"]
    assert replies[0].document != replies[1].document
    keys = [item["idempotency_key"] for item in backend.events("effect")]
    assert keys == ["k1", "k1"]
    health = _call(backend.port, "GET", "/v1/health")
    assert health.document == {"status": "live"}
    with pytest.raises(ControlError):
        post_control(backend.control_port, {"all": True, "set": {"typo": 1}})


def test_overfed_cold_server_collapses(
    start_backend: Callable[..., Backend],
) -> None:
    backend = start_backend(cold=True, warm_up_requests=4)
    threads = [
        _in_thread(lambda index=index: _search(backend.port, f"r{index}"))
        for index in range(2)
    ]
    for thread in threads:
        thread.join(_TIMEOUT_S)
    overfed = backend.events("overfed")
    assert [(item["outstanding"], item["bearable"]) for item in overfed] == [
        (2, 1)
    ]
    started_s = time.monotonic()
    _search(backend.port, "r3")
    assert time.monotonic() - started_s > 0.05


def test_server_fed_one_by_one_warms_up(
    start_backend: Callable[..., Backend],
) -> None:
    backend = start_backend(cold=True, warm_up_requests=4)
    for index in range(4):
        assert _search(backend.port, f"r{index}").status == 200
    counters = get_control(backend.control_port)["b1"]
    assert counters["warmth"] == 1
    assert counters["overfed"] == 0


def test_connection_above_cap_is_closed(
    start_backend: Callable[..., Backend],
) -> None:
    backend = start_backend(connection_cap=1)
    address = ("127.0.0.1", backend.port)
    with (
        socket.create_connection(address) as first,
        socket.create_connection(address) as second,
    ):
        first.settimeout(0.1)
        second.settimeout(_TIMEOUT_S)
        with contextlib.suppress(ConnectionResetError):
            assert second.recv(1) == b""
        with pytest.raises(TimeoutError):
            first.recv(1)
    assert len(backend.events("connection_over_cap")) == 1


def test_cancellation_frees_the_slot(
    start_backend: Callable[..., Backend],
) -> None:
    backend = start_backend(slot_count=1, service_time_ms=10_000)
    replies: list[Reply] = []
    working = _in_thread(lambda: replies.append(_search(backend.port, "r1")))
    _wait_until(lambda: _in_flight(backend) == 1)
    expired = _search(backend.port, "r2", X_Deadline_Ms="50")
    assert (expired.status, expired.headers["x-not-run"]) == (408, "1")
    path = "/v1/requests/r1"
    assert _call(backend.port, "DELETE", path).status == 204
    assert _call(backend.port, "DELETE", path).status == 404
    working.join(2)
    assert replies[0].status == 499
    assert "x-not-run" not in replies[0].headers
    stopped = _search(backend.port, "r3", X_Deadline_Ms="50")
    assert stopped.status == 408
    assert "x-not-run" not in stopped.headers


def _in_flight(backend: Backend) -> int:
    count = get_control(backend.control_port)["b1"]["in_flight"]
    assert isinstance(count, int)
    return count


def test_closed_connection_cancels_its_request(
    start_backend: Callable[..., Backend],
) -> None:
    backend = start_backend(slot_count=1, service_time_ms=10_000)
    with socket.create_connection(("127.0.0.1", backend.port)) as connection:
        connection.sendall(
            b"POST /v1/run HTTP/1.1\r\nX-Request-Id: r1\r\n"
            b"Content-Length: 2\r\n\r\n{}"
        )
        _wait_until(lambda: _in_flight(backend) == 1)
    _wait_until(lambda: _in_flight(backend) == 0)
    assert [item["cause"] for item in backend.events("cancelled")] == [
        "connection_closed"
    ]
    assert backend.events("effect") == []


def test_full_server_sheds(start_backend: Callable[..., Backend]) -> None:
    backend = start_backend(slot_count=1, service_time_ms=10_000)
    threads = [
        _in_thread(lambda index=index: _search(backend.port, f"r{index}"))
        for index in range(3)
    ]
    _wait_until(lambda: _in_flight(backend) == 3)
    shed = _search(backend.port, "r4")
    assert (shed.status, shed.headers["x-not-run"]) == (503, "1")
    for index in range(3):
        _call(backend.port, "DELETE", f"/v1/requests/r{index}")
    for thread in threads:
        thread.join(_TIMEOUT_S)


def test_swapped_replies_carry_the_other_request_id(
    start_backend: Callable[..., Backend],
) -> None:
    backend = start_backend()
    post_control(
        backend.control_port, {"all": True, "set": {"reply_fault": "swap"}}
    )
    received: dict[str, str] = {}

    def search(request_id: str) -> None:
        reply = _search(backend.port, request_id)
        received[request_id] = reply.headers["x-request-id"]

    threads = [
        _in_thread(lambda name=name: search(name)) for name in ("r1", "r2")
    ]
    for thread in threads:
        thread.join(_TIMEOUT_S)
    assert received == {"r1": "r2", "r2": "r1"}


class Proxied(NamedTuple):
    """A backend server behind a proxy."""

    port: int
    control_port: int

    def set(self, **settings: object) -> None:
        post_control(self.control_port, {"all": True, "set": settings})

    def health_status(self, timeout_s: float = _TIMEOUT_S) -> int:
        reply = _call(self.port, "GET", "/v1/health", timeout_s=timeout_s)
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
    _start(processes, "tcp_proxy", *target, *control)
    return Proxied(port, control_port)


def test_proxy_silences_open_connections_only(proxied: Proxied) -> None:
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


def _raw_answer(port: int) -> bytes:
    with socket.create_connection(("127.0.0.1", port)) as connection:
        connection.settimeout(_TIMEOUT_S)
        connection.sendall(b"GET /v1/health HTTP/1.1\r\n\r\n")
        with connection.makefile("rb") as answer:
            return answer.read()


def test_proxy_cuts_delays_and_swallows(proxied: Proxied) -> None:
    proxied.set(cut=True)
    with pytest.raises(ConnectionError):
        proxied.health_status()
    proxied.set(cut=False, cut_after_bytes=20)
    assert _raw_answer(proxied.port) == b"HTTP/1.1 200 OK\r\nCon"
    proxied.set(cut_after_bytes=None, one_way="from_target")
    with pytest.raises(TimeoutError):
        proxied.health_status(timeout_s=0.2)
    proxied.set(one_way=None, delay_ms=50)
    started_s = time.monotonic()
    assert proxied.health_status() == 200
    assert time.monotonic() - started_s >= 0.1
