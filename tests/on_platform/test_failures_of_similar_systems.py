"""Failures that operators of similar systems had, played on edge nodes."""

import contextlib
import http.client
import random
import signal
import threading
import time

import pytest
from deployment import (
    SHARDS,
    Answer,
    Deployment,
    RunningNode,
    configuration,
    fetch,
)

from mulberrybay_testing.http_server import Delivery
from mulberrybay_testing.waiting import wait_until


def execution_count(deployment: Deployment, request_id: str) -> int:
    return sum(
        arrival.was_executed and arrival.request_id == request_id
        for backend in deployment.backends["bookings"]
        for arrival in backend.arrivals
    )


def book(node: RunningNode, request_id: str, **fields: int) -> Answer:
    return node.send_request(
        "/bookings/1", method="POST", request_id=request_id, body=b"v", **fields
    )


# A second copy of an answer, late, on a connection that is in use again.


@pytest.mark.parametrize("path", ["/records", "/search"])
def test_late_copy_of_a_reply_never_answers_the_next_request(
    deployment: Deployment, path: str
) -> None:
    (node,) = deployment.start_nodes(1)
    service = "records" if path == "/records" else SHARDS[0]
    for backend in deployment.backends[service]:
        backend.delivery = Delivery.TWICE_LATE
        backend.delay_s = 0.02

    for number in range(40):
        request_id = f"id-{number}"
        answer = node.send_request(f"{path}/{number}", request_id=request_id)
        assert answer.status == 200
        names = ("x-server-stamp", "x-part-stamps")
        text = ", ".join(answer.headers.get(name, "") for name in names)
        stamps = [stamp for stamp in text.split(", ") if stamp]
        assert all(stamp.endswith(f".{request_id}") for stamp in stamps)
        if path == "/records":
            assert answer.body == f"records {path}/{number}".encode()


# Requests that had just been accepted, cut off by a planned stop.


def test_stop_under_load_cuts_no_request_off(deployment: Deployment) -> None:
    nodes = deployment.start_nodes(3)
    for backend in deployment.backends["records"]:
        backend.delay_s = 0.05
    ends_at_s = time.monotonic() + 4.0
    problems: list[str] = []
    counts = [0] * 8

    def call(number: int) -> None:
        """Sends requests to the addresses that the directory names."""
        source = random.Random(number)
        addresses: list[str] = []
        resolved_at_s = 0.0
        while time.monotonic() < ends_at_s:
            if time.monotonic() - resolved_at_s > 0.3:
                addresses = nodes[0].advertised_addresses()
                resolved_at_s = time.monotonic()
            port = int(source.choice(addresses).rpartition(":")[2])
            headers = {
                "Host": "a.example",
                "X-Request-Id": f"id-{number}-{counts[number]}",
                "X-Deadline-Ms": "2000",
            }
            try:
                answer = fetch(port, "/records/1", headers=headers)
                if answer.status != 200:
                    problems.append(f"{answer.status} {answer.body!r}")
            except ConnectionRefusedError:
                # Nothing listens: the request was not accepted.
                resolved_at_s = 0.0
            except (OSError, http.client.HTTPException) as error:
                problems.append(repr(error))
            counts[number] += 1

    threads = [threading.Thread(target=call, args=(n,)) for n in range(8)]
    for thread in threads:
        thread.start()
    time.sleep(0.8)
    nodes[1].process.signal(signal.SIGTERM)
    time.sleep(0.5)
    nodes[2].process.signal(signal.SIGTERM)
    for thread in threads:
        thread.join()

    assert problems == []
    assert sum(counts) > 100


# A server that had left, in use again after a restart of a node.


@pytest.mark.parametrize("is_store_down", [False, True])
def test_restarted_node_uses_no_server_that_has_left(
    deployment: Deployment, is_store_down: bool
) -> None:
    """Its first list is older than the departure, or it has none at all."""
    _, second = deployment.start_nodes(2)
    deployment.store.stale_copy = deployment.take_store_copy()
    leaving, gone = (
        deployment.backends["records"][0],
        deployment.backends["bookings"][0],
    )
    entry = leaving.entry(state="draining")
    deployment.put("servers", leaving.server_id, entry)
    deployment.remove("servers", gone.server_id)
    time.sleep(3.0)
    second.process.kill()
    if is_store_down:
        deployment.store.status = 503

    restarted = deployment.restart(second)
    wait_until(restarted.is_ready, 8.0, "the node is ready")
    # In touch again; what it sent before is within the time to drain.
    time.sleep(1.5)
    counts = len(leaving.arrivals), len(gone.arrivals)
    for number in range(20):
        path = f"/records/{number}"
        assert (
            restarted.send_request(path, request_id=f"r{number}").status == 200
        )
        assert book(restarted, f"b{number}").status == 200

    assert (len(leaving.arrivals), len(gone.arrivals)) == counts


def test_restarted_node_uses_no_route_that_was_withdrawn(
    deployment: Deployment,
) -> None:
    first, second = deployment.start_nodes(2)
    deployment.store.stale_copy = deployment.take_store_copy()
    routes = [r for r in configuration(2)["routes"] if r["name"] != "record"]
    deployment.put("config", "main", configuration(2, routes=routes))
    wait_until(
        lambda: first.send_request("/records/1").status == 404,
        3.0,
        "the route is withdrawn",
    )
    second.process.kill()

    restarted = deployment.restart(second)
    wait_until(restarted.is_ready, 8.0, "the node is ready")
    time.sleep(1.5)

    assert restarted.send_request("/records/1").status == 404


# A silent machine, whose work is started again elsewhere or given up.


@pytest.mark.parametrize("freeze_s", [0.0, 2.5])
def test_work_of_a_frozen_node_runs_once_and_is_answered(
    deployment: Deployment, freeze_s: float
) -> None:
    first, second = deployment.start_nodes(2)
    for backend in deployment.backends["bookings"]:
        backend.delay_s = 1.0
    answers: list[Answer] = []
    thread = threading.Thread(
        target=lambda: answers.append(book(second, "id-1", deadline_ms=9000))
    )
    thread.start()
    wait_until(
        lambda: execution_count(deployment, "id-1") == 1,
        1.0,
        "a server has the booking",
    )
    second.process.signal(signal.SIGSTOP)
    wait_until(
        lambda: first.advertised_addresses() == [first.address],
        4.0,
        "the frozen node is not advertised",
    )
    time.sleep(freeze_s)
    second.process.signal(signal.SIGCONT)
    thread.join()

    # The reply was there when the node went on, also after the timeout.
    assert [answer.status for answer in answers] == [200]
    assert execution_count(deployment, "id-1") == 1
    wait_until(
        lambda: len(first.advertised_addresses()) == 2,
        4.0,
        "the node is advertised again",
    )
    assert book(second, "id-2").status == 200


# Work that was repeated, or called "not run", after its answer was lost.


@pytest.mark.parametrize(
    "delivery", [Delivery.LOST, Delivery.CLOSED, Delivery.CUT_SHORT]
)
def test_booking_with_a_lost_reply_runs_once_and_is_not_called_not_run(
    deployment: Deployment, delivery: Delivery
) -> None:
    (node,) = deployment.start_nodes(1)
    for backend in deployment.backends["bookings"]:
        backend.delivery = delivery

    for number in range(5):
        answer = book(node, f"id-{number}", deadline_ms=600)
        assert answer.status in (502, 504)
        assert execution_count(deployment, f"id-{number}") == 1


# An answer that breaks off, passed on as a complete one.


@pytest.mark.parametrize("broken_count", [1, 2])
def test_shard_reply_that_breaks_off_is_no_part_of_an_answer(
    deployment: Deployment, broken_count: int
) -> None:
    (node,) = deployment.start_nodes(1)
    for shard in SHARDS[:broken_count]:
        for backend in deployment.backends[shard]:
            backend.delivery = Delivery.CUT_SHORT

    answer = node.send_request("/search/x")

    assert answer.status == 200
    assert answer.headers["x-missing-parts"] == str(broken_count)
    stamps = answer.headers["x-part-stamps"].split(", ")
    assert len(stamps) == len(SHARDS) - broken_count
    assert len(answer.body) == 16 * min(3, len(stamps))


@contextlib.contextmanager
def raw_server(reply: bytes, *, resets: bool):  # noqa: ANN201
    """Serves bytes as they are and then ends the connection."""
    import socket  # noqa: PLC0415
    import struct  # noqa: PLC0415

    listener = socket.create_server(("127.0.0.1", 0))

    def serve() -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = listener.accept()
                connection.recv(65536)
                connection.sendall(reply)
                time.sleep(0.05)
                if resets:
                    option = struct.pack("ii", 1, 0)
                    connection.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, option
                    )
                connection.close()

    thread = threading.Thread(target=serve, daemon=True)
    thread.start()
    yield listener.getsockname()[1]
    listener.shutdown(socket.SHUT_RDWR)
    listener.close()


HEAD = b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s.1\r\n"


@pytest.mark.parametrize(
    ("reply", "resets"),
    [
        (HEAD + b"Content-Length: 10\r\n\r\nhalf", False),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", False),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0", False),
        (HEAD + b"\r\nhalf", True),
        (HEAD, False),
    ],
    ids=["length", "chunks", "last chunk", "reset without length", "headers"],
)
def test_reply_that_breaks_off_is_not_passed_on(
    deployment: Deployment, reply: bytes, resets: bool
) -> None:
    with raw_server(reply, resets=resets) as port:
        for backend in deployment.backends["bookings"]:
            entry = backend.entry(address=f"127.0.0.1:{port}")
            deployment.put("servers", backend.server_id, entry)
        (node,) = deployment.start_nodes(1)

        answer = book(node, "id-1")

    assert answer.status == 502
    assert b"half" not in answer.body


# Requests that came late in the grace of a planned stop, cut off at its end.


@pytest.mark.parametrize("delay_s", [0.05, 0.7, 1.7])
def test_each_booking_that_comes_during_a_stop_gets_an_answer(
    deployment: Deployment, delay_s: float
) -> None:
    """One that is answered 503 has not run and doesn't run later."""
    (node,) = deployment.start_nodes(1)
    for backend in deployment.backends["bookings"]:
        backend.delay_s = delay_s
    statuses: dict[str, int] = {}
    problems: list[str] = []

    def call(request_id: str) -> None:
        try:
            statuses[request_id] = book(
                node, request_id, deadline_ms=8000
            ).status
        except ConnectionRefusedError:
            # Nothing listens: the request was not accepted.
            return
        except (OSError, http.client.HTTPException) as error:
            problems.append(f"{request_id}: {error!r}")

    threads = [
        threading.Thread(target=call, args=(f"late-{n}",)) for n in range(22)
    ]
    threads[0].start()
    time.sleep(0.1)
    node.process.signal(signal.SIGTERM)
    for thread in threads[1:]:
        thread.start()
        time.sleep(0.14)
    for thread in threads:
        thread.join()

    assert problems == []
    assert set(statuses.values()) <= {200, 502, 503}
    time.sleep(delay_s)
    for request_id, status in statuses.items():
        count = execution_count(deployment, request_id)
        assert count == 0 if status == 503 else count <= 1
