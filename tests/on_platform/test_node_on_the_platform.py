"""Nodes as processes, against stand-ins of the platform."""

import http.client
import pathlib
import re
import signal
import socket
import threading
import time

import pytest
from deployment import SHARDS, Deployment, configuration, fetch, route

from mulberrybay_testing.http_server import Delivery
from mulberrybay_testing.ports import HOST
from mulberrybay_testing.waiting import wait_until

ROOT = pathlib.Path(__file__).parents[2]


def signatures(headers: dict[str, str]) -> list[str]:
    text = headers.get("x-part-stamps", "")
    return [part.strip() for part in text.split(",") if part.strip()]


def test_search_covers_all_shards_and_records_come_from_one_server(
    deployment: Deployment,
) -> None:
    (node,) = deployment.start_nodes(1)

    search = node.ask("/search/x?q=1", request_id="id-a")
    record = node.ask("/records/7", request_id="id-b")
    missing = node.ask("/nowhere/7")

    assert search.status == 200
    parts = signatures(search.headers)
    assert len(set(parts)) == len(SHARDS)
    assert all(part.endswith(".id-a") for part in parts)
    assert search.headers["x-missing-parts"] == "0"
    assert len(search.body) == 3 * 16
    assert (record.status, record.body) == (200, b"records /records/7")
    assert record.headers["x-request-id"] == "id-b"
    assert record.headers["x-server-stamp"].endswith(".id-b")
    assert missing.status == 404


def test_silent_replica_is_hedged_and_dead_one_is_replaced(
    deployment: Deployment,
) -> None:
    (node,) = deployment.start_nodes(1)
    deployment.backends["shard-0"][0].delay_s = 5.0
    deployment.stop_listening(deployment.backends["shard-1"][0])

    for number in range(10):
        answer = node.ask("/search/x", request_id=f"id-{number}")
        assert answer.status == 200
        assert answer.headers["x-missing-parts"] == "0"


@pytest.mark.parametrize(
    "delivery", [Delivery.UNFRAMED, Delivery.TWICE, Delivery.WHOLE]
)
def test_every_form_of_a_whole_reply_is_passed_on(
    deployment: Deployment, delivery: Delivery
) -> None:
    (node,) = deployment.start_nodes(1)
    for backend in deployment.backends["records"]:
        backend.delivery = delivery

    for number in range(6):
        answer = node.ask(f"/records/{number}", request_id=f"id-{number}")
        assert answer.status == 200
        assert answer.body == f"records /records/{number}".encode()


def test_reply_that_is_cut_short_is_never_passed_on(
    deployment: Deployment,
) -> None:
    (node,) = deployment.start_nodes(1)
    for backend in deployment.backends["bookings"]:
        backend.delivery = Delivery.CUT_SHORT

    answer = node.ask("/bookings/1", method="POST", body=b"van")

    assert answer.status == 502
    runs = [
        arrival
        for backend in deployment.backends["bookings"]
        for arrival in backend.arrivals
        if arrival.has_run
    ]
    assert len(runs) == 1


def test_booking_that_a_server_sheds_runs_at_another(
    deployment: Deployment,
) -> None:
    (node,) = deployment.start_nodes(1)
    deployment.backends["bookings"][0].status = 503

    for number in range(6):
        answer = node.ask(
            "/bookings/1", method="POST", request_id=f"id-{number}", body=b"v"
        )
        assert answer.status == 200


def test_address_of_another_server_runs_nothing(
    deployment: Deployment,
) -> None:
    (node,) = deployment.start_nodes(1)
    for backend in deployment.backends["bookings"]:
        backend.server_id = f"other-{backend.server_id}"

    answer = node.ask("/bookings/1", method="POST", body=b"van")

    assert answer.status == 503
    assert not any(
        arrival.has_run
        for backend in deployment.backends["bookings"]
        for arrival in backend.arrivals
    )


def test_leaving_server_gets_no_new_work_within_a_second(
    deployment: Deployment,
) -> None:
    (node,) = deployment.start_nodes(1)
    leaving = deployment.backends["records"][0]

    deployment.put(
        "servers", leaving.server_id, leaving.entry(state="draining")
    )
    time.sleep(1.0)
    count = len(leaving.arrivals)
    for number in range(10):
        assert node.ask("/records/1", request_id=f"id-{number}").status == 200

    assert len(leaving.arrivals) == count


def test_evacuated_domain_gets_no_work_until_it_is_back(
    deployment: Deployment,
) -> None:
    (node,) = deployment.start_nodes(1)

    deployment.put("evacuations", "zone-a", {})
    wait_until(
        lambda: node.ask("/records/1").status == 503, 2.0, "the domain is out"
    )
    deployment.remove("evacuations", "zone-a")
    wait_until(
        lambda: node.ask("/records/1").status == 200, 2.0, "the domain is back"
    )


def test_configuration_is_in_force_everywhere_and_never_reverts(
    deployment: Deployment,
) -> None:
    nodes = deployment.start_nodes(2)
    added = configuration(9, routes=[route("new", "/new/", service="records")])

    deployment.put("config", "main", added)
    for node in nodes:
        wait_until(
            lambda node=node: node.ask("/new/1").status == 200,  # type: ignore[misc]
            2.0,
            "the new route serves",
        )
    deployment.put("config", "main", configuration(3))
    time.sleep(1.0)

    for node in nodes:
        assert node.ask("/new/1").status == 200
        assert node.ask("/records/1").status == 404


def test_unreadable_entries_are_left_out(deployment: Deployment) -> None:
    (node,) = deployment.start_nodes(1)
    for number, spec in enumerate(
        [
            None,
            17,
            {},
            {"service": "records", "address": "nowhere"},
            {"service": ["records"], "address": f"{HOST}:1", "state": "ready"},
            deployment.backends["records"][0].entry(state="asleep"),
            deployment.backends["records"][0].entry(concurrency="two"),
        ]
    ):
        deployment.put("servers", f"foreign-{number}", spec)
    deployment.put("config", "main", {"revision": "newest"})
    time.sleep(0.8)

    for number in range(10):
        assert node.ask("/records/1", request_id=f"id-{number}").status == 200


def test_lost_answer_of_the_store_hides_no_change_for_long(
    deployment: Deployment,
) -> None:
    nodes = deployment.start_nodes(3)
    leaving = deployment.backends["records"][0]

    # The next answers are those to the watches of two of the nodes.
    deployment.store.lost_count = 2
    deployment.put(
        "servers", leaving.server_id, leaving.entry(state="draining")
    )
    time.sleep(2.5)
    count = len(leaving.arrivals)
    for node in nodes:
        for number in range(6):
            assert (
                node.ask("/records/1", request_id=f"id-{number}").status == 200
            )

    assert len(leaving.arrivals) == count


def test_store_that_forgets_its_history_is_read_again(
    deployment: Deployment,
) -> None:
    (node,) = deployment.start_nodes(1)

    deployment.forget_history()
    added = configuration(9, routes=[route("new", "/new/", service="records")])
    deployment.put("config", "main", added)

    wait_until(
        lambda: node.ask("/new/1").status == 200, 4.0, "the new route serves"
    )


@pytest.mark.parametrize("fault", ["status", "silent"])
def test_nodes_serve_on_while_the_store_is_away(
    deployment: Deployment, fault: str
) -> None:
    nodes = deployment.start_nodes(2)
    if fault == "status":
        deployment.store.status = 503
    else:
        deployment.store.is_silent = True
    time.sleep(4.0)

    for node in nodes:
        assert node.is_ready()
        assert node.ask("/search/x").headers["x-missing-parts"] == "0"


def test_node_that_starts_without_the_store_learns_from_its_peers(
    deployment: Deployment,
) -> None:
    first, second = deployment.start_nodes(2)
    second.process.kill()
    deployment.store.status = 503

    # The peer still sends heartbeats to the address that it knows.
    restarted = deployment.restart(second)

    wait_until(restarted.is_ready, 8.0, "the node is ready")
    assert restarted.ask("/records/1").status == 200
    assert first.ask("/records/1").status == 200


def test_killed_node_is_no_longer_named(deployment: Deployment) -> None:
    first, second = deployment.start_nodes(2)

    second.process.kill()

    wait_until(
        lambda: first.named() == [first.address], 3.0, "one node is named"
    )
    assert first.ask("/records/1").status == 200


def test_stop_is_graceful(deployment: Deployment) -> None:
    first, second = deployment.start_nodes(2)
    for backend in deployment.backends["records"]:
        backend.delay_s = 0.8
    kept = http.client.HTTPConnection(HOST, second.callers_port, timeout=5)
    answers = []

    def ask() -> None:
        answers.append(second.ask("/records/1"))

    thread = threading.Thread(target=ask)
    thread.start()
    time.sleep(0.2)
    second.process.signal(signal.SIGTERM)
    wait_until(
        lambda: first.named() == [first.address], 0.5, "the node is not named"
    )
    assert not second.is_ready()
    # A connection that is still used is served, and told to end.
    headers = {"Host": "a.example", "X-Request-Id": "id-2"}
    kept.request("GET", "/records/2", None, headers)
    reply = kept.getresponse()

    assert reply.read() == b"records /records/2"
    assert reply.getheader("connection") == "close"
    thread.join()
    assert [answer.status for answer in answers] == [200]
    assert second.process.terminate(4.0) == 0
    assert deployment.store.names("mulberrybay-nodes") == ["node-1"]


def test_work_ends_when_the_caller_leaves(deployment: Deployment) -> None:
    (node,) = deployment.start_nodes(1)
    for backend in deployment.backends["records"]:
        backend.delay_s = 5.0
    with socket.create_connection((HOST, node.callers_port)) as caller:
        caller.sendall(
            b"GET /records/1 HTTP/1.1\r\nHost: a.example\r\n"
            b"X-Request-Id: id-1\r\n\r\n"
        )
        wait_until(
            lambda: any(b.open_count for b in deployment.backends["records"]),
            2.0,
            "a server is at work",
        )

    wait_until(
        lambda: not any(b.open_count for b in deployment.backends["records"]),
        0.5,
        "the work has ended",
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
def test_bad_requests_get_a_clear_error_and_run_nothing(
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


def test_datagrams_that_are_no_heartbeats_harm_nothing(
    deployment: Deployment,
) -> None:
    nodes = deployment.start_nodes(2)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for data in (b"", b"x", b"\xff" * 64, b"\x00" * 600):
            for port in deployment.peer_ports():
                sender.sendto(data, (HOST, port))
    time.sleep(0.3)

    for node in nodes:
        assert len(node.named()) == 2


def test_metrics_are_those_that_the_page_lists(deployment: Deployment) -> None:
    (node,) = deployment.start_nodes(1)
    node.ask("/search/x")
    node.ask("/records/1", request_id="id-2")

    text = fetch(node.metrics_port, "/metrics").body.decode()

    shown = set(re.findall(r"^# TYPE (mulberrybay_edge_\w+)", text, re.M))
    page = (ROOT / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")
    listed = set(re.findall(r"^\| `(mulberrybay_edge_\w+)` \|", page, re.M))
    assert shown == listed
    assert 'mulberrybay_edge_answers_total{status="200"} 2.0' in text
    assert 'edge_runs_total{kind="gather",outcome="whole"} 1.0' in text


def test_request_can_be_followed_from_its_id_to_its_cause(
    deployment: Deployment,
) -> None:
    (node,) = deployment.start_nodes(1)
    for backend in deployment.backends["bookings"]:
        backend.delivery = Delivery.CUT_SHORT

    node.ask("/bookings/1", method="POST", request_id="id-77", body=b"van")

    (line,) = [
        line
        for line in deployment.log_lines(node)
        if line.get("request_id") == "id-77"
    ]
    assert line["message"] == "failed"
    assert line["route"] == "booking"
    assert line["sent_to"] == [line["failures"][0].partition(":")[0]]
    assert "closed the connection" in line["failures"][0]


def test_lines_of_one_kind_are_bounded(deployment: Deployment) -> None:
    (node,) = deployment.start_nodes(1)

    for number in range(600):
        assert node.ask(f"/nowhere/{number}").status == 404

    lines = deployment.log_lines(node)
    kinds = [line["message"] for line in lines]
    assert kinds.count("no route") < 600
    assert node.ask("/records/1").status == 200


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM])
def test_signal_that_comes_during_the_start_is_taken_after_it(
    deployment: Deployment, number: signal.Signals
) -> None:
    node = deployment.start_node("node-1")
    wait_until(
        lambda: node.takes_signals() or node.is_ready(), 5.0, "the start"
    )
    assert "started" not in deployment.messages(node)
    node.process.signal(number)

    message = "stopped" if number is signal.SIGTERM else "settings reloaded"
    wait_until(
        lambda: message in deployment.messages(node), 5.0, f"it has {message}"
    )
    if number is signal.SIGTERM:
        wait_until(lambda: node.process.returncode is not None, 5.0, "its end")
        assert node.process.returncode == 0
    else:
        wait_until(node.is_ready, 5.0, "it is ready")


def test_hangup_reads_the_settings_again_and_cuts_nothing(
    deployment: Deployment,
) -> None:
    (node,) = deployment.start_nodes(1)
    for backend in deployment.backends["records"]:
        backend.delay_s = 0.5
    answers = []
    thread = threading.Thread(
        target=lambda: answers.append(node.ask("/records/1"))
    )
    thread.start()
    time.sleep(0.1)

    node.process.signal(signal.SIGHUP)
    wait_until(
        lambda: "settings reloaded" in deployment.messages(node),
        4.0,
        "the settings are read",
    )
    deployment.spoil_settings(node)
    node.process.signal(signal.SIGHUP)
    wait_until(
        lambda: "settings not reloaded" in deployment.messages(node),
        4.0,
        "the spoiled settings are refused",
    )
    thread.join()

    assert [answer.status for answer in answers] == [200]
    assert node.is_ready()
