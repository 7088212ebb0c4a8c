"""Graceful stop, reload, logs and metrics of a node process."""

import http.client
import pathlib
import re
import signal
import threading
import time

import pytest
from deployment import Deployment, fetch

from mulberrybay_testing.http_server import Delivery
from mulberrybay_testing.ports import HOST
from mulberrybay_testing.waiting import wait_until

ROOT = pathlib.Path(__file__).parents[2]


def test_stop_is_graceful(deployment: Deployment) -> None:
    first, second = deployment.start_nodes(2)
    for backend in deployment.backends["records"]:
        backend.delay_s = 0.8
    connection = http.client.HTTPConnection(
        HOST, second.callers_port, timeout=5
    )
    answers = []

    def send_request() -> None:
        answers.append(second.send_request("/records/1"))

    thread = threading.Thread(target=send_request)
    thread.start()
    time.sleep(0.2)
    second.process.signal(signal.SIGTERM)
    wait_until(
        lambda: first.advertised_addresses() == [first.address],
        0.5,
        "the node is no longer advertised",
    )
    assert not second.is_ready()
    # A request on an open connection is served with Connection: close.
    headers = {"Host": "a.example", "X-Request-Id": "id-2"}
    connection.request("GET", "/records/2", None, headers)
    reply = connection.getresponse()

    assert reply.read() == b"records /records/2"
    assert reply.getheader("connection") == "close"
    thread.join()
    assert [answer.status for answer in answers] == [200]
    assert second.process.terminate(4.0) == 0
    assert deployment.store.names("mulberrybay-nodes") == ["node-1"]


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM])
def test_signal_during_the_start_is_handled_after_it(
    deployment: Deployment, number: signal.Signals
) -> None:
    """A signal before the node has started must not be lost or kill it."""
    node = deployment.start_node("node-1")
    wait_until(
        lambda: node.handles_signals() or node.is_ready(),
        5.0,
        "the node handles signals",
    )
    assert "started" not in deployment.messages(node)
    node.process.signal(number)

    message = "stopped" if number is signal.SIGTERM else "settings reloaded"
    wait_until(
        lambda: message in deployment.messages(node),
        5.0,
        f"logged: {message}",
    )
    if number is signal.SIGTERM:
        wait_until(
            lambda: node.process.returncode is not None, 5.0, "the node exits"
        )
        assert node.process.returncode == 0
    else:
        wait_until(node.is_ready, 5.0, "the node is ready")


def test_sighup_reloads_settings_without_closing_connections(
    deployment: Deployment,
) -> None:
    (node,) = deployment.start_nodes(1)
    for backend in deployment.backends["records"]:
        backend.delay_s = 0.5
    answers = []
    thread = threading.Thread(
        target=lambda: answers.append(node.send_request("/records/1"))
    )
    thread.start()
    time.sleep(0.1)

    node.process.signal(signal.SIGHUP)
    wait_until(
        lambda: "settings reloaded" in deployment.messages(node),
        4.0,
        "the settings are reloaded",
    )
    deployment.write_invalid_settings(node)
    node.process.signal(signal.SIGHUP)
    wait_until(
        lambda: "settings not reloaded" in deployment.messages(node),
        4.0,
        "the invalid settings are rejected",
    )
    thread.join()

    assert [answer.status for answer in answers] == [200]
    assert node.is_ready()


def test_metrics_match_the_operations_page(deployment: Deployment) -> None:
    (node,) = deployment.start_nodes(1)
    node.send_request("/search/x")
    node.send_request("/records/1", request_id="id-2")

    text = fetch(node.metrics_port, "/metrics").body.decode()

    shown = set(re.findall(r"^# TYPE (mulberrybay_edge_\w+)", text, re.M))
    page = (ROOT / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")
    listed = set(re.findall(r"^\| `(mulberrybay_edge_\w+)` \|", page, re.M))
    assert shown == listed
    assert 'mulberrybay_edge_answers_total{status="200"} 2.0' in text
    assert 'edge_runs_total{kind="gather",outcome="whole"} 1.0' in text


def test_log_line_of_a_failed_request_states_the_cause(
    deployment: Deployment,
) -> None:
    (node,) = deployment.start_nodes(1)
    for backend in deployment.backends["bookings"]:
        backend.delivery = Delivery.CUT_SHORT

    node.send_request(
        "/bookings/1", method="POST", request_id="id-77", body=b"van"
    )

    (line,) = [
        line
        for line in deployment.log_lines(node)
        if line.get("request_id") == "id-77"
    ]
    assert line["message"] == "failed"
    assert line["route"] == "booking"
    assert line["sent_to"] == [line["failures"][0].partition(":")[0]]
    assert "closed the connection" in line["failures"][0]


def test_number_of_log_lines_with_one_message_is_limited(
    deployment: Deployment,
) -> None:
    (node,) = deployment.start_nodes(1)

    for number in range(600):
        assert node.send_request(f"/nowhere/{number}").status == 404

    lines = deployment.log_lines(node)
    messages = [line["message"] for line in lines]
    assert messages.count("no route") < 600
    assert node.send_request("/records/1").status == 200
