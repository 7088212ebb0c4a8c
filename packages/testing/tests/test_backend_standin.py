"""Tests of the backend server stand-in as a real process."""

from __future__ import annotations

import contextlib
import socket
import time
from collections.abc import Callable

import pytest

from mulberrybay_testing.backend_model import expected_hits
from mulberrybay_testing.control_client import (
    ControlError,
    get_control,
    post_control,
)
from mulberrybay_testing.standin_calls import (
    CALL_TIMEOUT_S,
    Backend,
    Reply,
    call,
    search,
    start_thread,
)
from mulberrybay_testing.waiting import wait_until


def test_search_reply_names_its_snapshot(
    start_backend: Callable[..., Backend],
) -> None:
    backend = start_backend(index_versions=[7, 8])
    reply = search(backend.port, "r1", X_Index_Version="7")
    assert reply.status == 200
    assert reply.document["hits"] == expected_hits(7, "4", b"query")
    assert reply.headers["x-request-id"] == "r1"
    assert reply.headers["x-index-version"] == "7"
    assert reply.headers["x-shard"] == "4"
    missing = search(backend.port, "r2", X_Index_Version="6")
    assert missing.status == 409
    assert missing.headers["x-index-versions"] == "7,8"


def test_leaving_is_reported_and_runs_are_not_deduplicated(
    start_backend: Callable[..., Backend],
) -> None:
    backend = start_backend()
    settings = {"leaving": True}
    post_control(
        backend.control_port, {"failure_domain": "d1", "set": settings}
    )
    headers = {"X-Request-Id": "r1", "Idempotency-Key": "k1"}
    replies = [
        call(backend.port, "POST", "/v1/run", "{}", headers) for _ in range(2)
    ]
    assert [reply.headers["x-leaving"] for reply in replies] == ["1", "1"]
    assert replies[0].document != replies[1].document
    keys = [item["idempotency_key"] for item in backend.events("effect")]
    assert keys == ["k1", "k1"]
    health = call(backend.port, "GET", "/v1/health")
    assert health.document == {"status": "live"}
    with pytest.raises(ControlError):
        post_control(backend.control_port, {"all": True, "set": {"typo": 1}})


def test_overloaded_cold_server_slows_down(
    start_backend: Callable[..., Backend],
) -> None:
    backend = start_backend(cold=True, warm_up_requests=4)
    threads = [
        start_thread(lambda index=index: search(backend.port, f"r{index}"))
        for index in range(2)
    ]
    for thread in threads:
        thread.join(CALL_TIMEOUT_S)
    overload_events = backend.events("overfed")
    assert [
        (item["outstanding"], item["bearable"]) for item in overload_events
    ] == [(2, 1)]
    started_s = time.monotonic()
    search(backend.port, "r3")
    assert time.monotonic() - started_s > 0.05


def test_sequential_requests_warm_a_server_up(
    start_backend: Callable[..., Backend],
) -> None:
    backend = start_backend(cold=True, warm_up_requests=4)
    for index in range(4):
        assert search(backend.port, f"r{index}").status == 200
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
        second.settimeout(CALL_TIMEOUT_S)
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
    search_thread = start_thread(
        lambda: replies.append(search(backend.port, "r1"))
    )
    wait_until(
        lambda: backend.in_flight() == 1, CALL_TIMEOUT_S, "in_flight() == 1"
    )
    expired_in_queue = search(backend.port, "r2", X_Deadline_Ms="50")
    assert (expired_in_queue.status, expired_in_queue.headers["x-not-run"]) == (
        408,
        "1",
    )
    path = "/v1/requests/r1"
    assert call(backend.port, "DELETE", path).status == 204
    assert call(backend.port, "DELETE", path).status == 404
    search_thread.join(2)
    assert replies[0].status == 499
    assert "x-not-run" not in replies[0].headers
    expired_in_service = search(backend.port, "r3", X_Deadline_Ms="50")
    assert expired_in_service.status == 408
    assert "x-not-run" not in expired_in_service.headers


def test_closed_connection_cancels_its_request(
    start_backend: Callable[..., Backend],
) -> None:
    backend = start_backend(slot_count=1, service_time_ms=10_000)
    with socket.create_connection(("127.0.0.1", backend.port)) as connection:
        connection.sendall(
            b"POST /v1/run HTTP/1.1\r\nX-Request-Id: r1\r\n"
            b"Content-Length: 2\r\n\r\n{}"
        )
        wait_until(
            lambda: backend.in_flight() == 1,
            CALL_TIMEOUT_S,
            "in_flight() == 1",
        )
    wait_until(
        lambda: backend.in_flight() == 0, CALL_TIMEOUT_S, "in_flight() == 0"
    )
    assert [item["cause"] for item in backend.events("cancelled")] == [
        "connection_closed"
    ]
    assert backend.events("effect") == []


def test_full_server_sheds(start_backend: Callable[..., Backend]) -> None:
    backend = start_backend(slot_count=1, service_time_ms=10_000)
    threads = [
        start_thread(lambda index=index: search(backend.port, f"r{index}"))
        for index in range(3)
    ]
    wait_until(
        lambda: backend.in_flight() == 3, CALL_TIMEOUT_S, "in_flight() == 3"
    )
    shed = search(backend.port, "r4")
    assert (shed.status, shed.headers["x-not-run"]) == (503, "1")
    for index in range(3):
        call(backend.port, "DELETE", f"/v1/requests/r{index}")
    for thread in threads:
        thread.join(CALL_TIMEOUT_S)


def test_swapped_replies_carry_the_other_request_id(
    start_backend: Callable[..., Backend],
) -> None:
    backend = start_backend()
    post_control(
        backend.control_port, {"all": True, "set": {"reply_fault": "swap"}}
    )
    received: dict[str, str] = {}

    def record_reply(request_id: str) -> None:
        reply = search(backend.port, request_id)
        received[request_id] = reply.headers["x-request-id"]

    threads = [
        start_thread(lambda name=name: record_reply(name))
        for name in ("r1", "r2")
    ]
    for thread in threads:
        thread.join(CALL_TIMEOUT_S)
    assert received == {"r1": "r2", "r2": "r1"}
