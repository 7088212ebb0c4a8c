"""Answers that callers get from nodes, with platform stand-ins."""

import http.client
import socket

import pytest
from deployment import SHARDS, Deployment

from mulberrybay_testing.http_server import Delivery
from mulberrybay_testing.ports import HOST
from mulberrybay_testing.waiting import wait_until


def shard_stamps(headers: dict[str, str]) -> list[str]:
    text = headers.get("x-part-stamps", "")
    return [stamp.strip() for stamp in text.split(",") if stamp.strip()]


def test_search_covers_all_shards_and_record_comes_from_one_server(
    deployment: Deployment,
) -> None:
    (node,) = deployment.start_nodes(1)

    search = node.send_request("/search/x?q=1", request_id="id-a")
    record = node.send_request("/records/7", request_id="id-b")
    missing = node.send_request("/nowhere/7")

    assert search.status == 200
    stamps = shard_stamps(search.headers)
    assert len(set(stamps)) == len(SHARDS)
    assert all(stamp.endswith(".id-a") for stamp in stamps)
    assert search.headers["x-missing-parts"] == "0"
    assert len(search.body) == 3 * 16
    assert (record.status, record.body) == (200, b"records /records/7")
    assert record.headers["x-request-id"] == "id-b"
    assert record.headers["x-server-stamp"].endswith(".id-b")
    assert missing.status == 404


def test_slow_replica_is_hedged_and_unreachable_one_is_replaced(
    deployment: Deployment,
) -> None:
    (node,) = deployment.start_nodes(1)
    deployment.backends["shard-0"][0].delay_s = 5.0
    deployment.stop_listening(deployment.backends["shard-1"][0])

    for number in range(10):
        answer = node.send_request("/search/x", request_id=f"id-{number}")
        assert answer.status == 200
        assert answer.headers["x-missing-parts"] == "0"


@pytest.mark.parametrize(
    "delivery", [Delivery.UNFRAMED, Delivery.TWICE, Delivery.WHOLE]
)
def test_complete_reply_in_any_framing_is_passed_on(
    deployment: Deployment, delivery: Delivery
) -> None:
    (node,) = deployment.start_nodes(1)
    for backend in deployment.backends["records"]:
        backend.delivery = delivery

    for number in range(6):
        answer = node.send_request(
            f"/records/{number}", request_id=f"id-{number}"
        )
        assert answer.status == 200
        assert answer.body == f"records /records/{number}".encode()


@pytest.mark.parametrize("path", ["/records/1", "/search/x", "/nowhere/1"])
def test_answer_to_head_has_content_length_and_no_body(
    deployment: Deployment, path: str
) -> None:
    (node,) = deployment.start_nodes(1)
    connection = http.client.HTTPConnection(HOST, node.callers_port, timeout=5)
    headers = {"Host": "a.example", "X-Request-Id": "id-1"}

    for _ in range(3):
        connection.request("HEAD", path, None, headers)
        reply = connection.getresponse()
        assert reply.status == (404 if path == "/nowhere/1" else 200)
        assert reply.read() == b""
        if path == "/records/1":
            assert reply.length == 0
            length = reply.getheader("content-length")
            assert length == str(len(b"records /records/1"))
    # The connection still returns each request's own answer.
    connection.request("GET", "/records/2", None, headers)
    assert connection.getresponse().read() == b"records /records/2"


def test_truncated_reply_is_never_passed_on(
    deployment: Deployment,
) -> None:
    (node,) = deployment.start_nodes(1)
    for backend in deployment.backends["bookings"]:
        backend.delivery = Delivery.CUT_SHORT

    answer = node.send_request("/bookings/1", method="POST", body=b"van")

    assert answer.status == 502
    executed = [
        arrival
        for backend in deployment.backends["bookings"]
        for arrival in backend.arrivals
        if arrival.was_executed
    ]
    assert len(executed) == 1


@pytest.mark.parametrize("path", ["/records/1", "/bookings/1"])
def test_reply_to_another_request_is_never_passed_on(
    deployment: Deployment, path: str
) -> None:
    (node,) = deployment.start_nodes(1)
    for service in ("records", "bookings"):
        for backend in deployment.backends[service]:
            backend.echoed_id = "id-of-another"

    assert node.send_request(path, request_id="id-1").status == 502


def test_booking_shed_by_one_server_is_sent_to_another(
    deployment: Deployment,
) -> None:
    (node,) = deployment.start_nodes(1)
    deployment.backends["bookings"][0].status = 503

    for number in range(6):
        answer = node.send_request(
            "/bookings/1", method="POST", request_id=f"id-{number}", body=b"v"
        )
        assert answer.status == 200


def test_reused_address_of_another_server_executes_nothing(
    deployment: Deployment,
) -> None:
    """A server at a reused address answers 421 to requests for its predecessor.

    The caller must be told that the request was not executed.
    """
    (node,) = deployment.start_nodes(1)
    for backend in deployment.backends["bookings"]:
        backend.server_id = f"other-{backend.server_id}"

    answer = node.send_request("/bookings/1", method="POST", body=b"van")

    assert answer.status == 503
    assert not any(
        arrival.was_executed
        for backend in deployment.backends["bookings"]
        for arrival in backend.arrivals
    )


def test_disconnected_caller_cancels_its_request(
    deployment: Deployment,
) -> None:
    (node,) = deployment.start_nodes(1)
    for backend in deployment.backends["records"]:
        backend.delay_s = 5.0
    with socket.create_connection((HOST, node.callers_port)) as caller:
        caller.sendall(
            b"GET /records/1 HTTP/1.1\r\nHost: a.example\r\n"
            b"X-Request-Id: id-1\r\n\r\n"
        )
        wait_until(
            lambda: any(
                b.open_connection_count for b in deployment.backends["records"]
            ),
            2.0,
            "a server has the request",
        )

    wait_until(
        lambda: (
            not any(
                b.open_connection_count for b in deployment.backends["records"]
            )
        ),
        0.5,
        "the request is cancelled",
    )


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET /records/1 HTTP/1.1\r\n\r\n", 400),
        (
            b"GET /records/1 HTTP/1.1\r\nHost: a.example\r\nHost: b\r\n\r\n",
            400,
        ),
        (
            b"POST /records/1 HTTP/1.1\r\nHost: a.example\r\n"
            b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
        ),
        (
            b"GET /records/1 HTTP/1.1\r\nHost: a.example\r\nX: "
            + b"y" * 9000
            + b"\r\n\r\n",
            431,
        ),
        (
            b"POST /records/1 HTTP/1.1\r\nHost: a.example\r\n"
            b"Content-Length: 70000\r\n\r\n" + b"z" * 70000,
            413,
        ),
        (b"GET /records/1 HTTP/1.1\r\nHost: a.ex", 408),
    ],
)
def test_bad_requests_are_answered_with_errors_and_not_forwarded(
    deployment: Deployment, data: bytes, status: int
) -> None:
    (node,) = deployment.start_nodes(1)

    with socket.create_connection((HOST, node.callers_port)) as caller:
        caller.settimeout(5)
        caller.sendall(data)
        answer = b""
        while chunk := caller.recv(4096):
            answer += chunk

    assert answer.startswith(f"HTTP/1.1 {status} ".encode())
    assert not any(b.arrivals for b in deployment.backends["records"])
    assert node.is_ready()
