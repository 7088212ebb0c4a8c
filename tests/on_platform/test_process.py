"""Graceful stop, reload, logs and metrics of a node process."""

import datetime
import http.client
import itertools
import pathlib
import re
import signal
import threading
import time

import pytest
from deployment import Deployment, RunningNode, fetch

from mulberrybay_edge.decision_log import FAILED_RATE
from mulberrybay_testing.http_server import Delivery
from mulberrybay_testing.ports import HOST
from mulberrybay_testing.waiting import wait_until

ROOT = pathlib.Path(__file__).parents[2]
# As in the settings of a test's nodes, and how long callers may keep addresses.
STOP_GRACE_S = 3.0
STALE_ADDRESS_S = 0.9
MAX_START_COUNT = 5


@pytest.mark.parametrize("path", ["/records/1", "/search/x"])
def test_request_that_is_open_when_a_stopping_node_must_exit_gets_an_answer(
    deployment: Deployment, path: str
) -> None:
    (node,) = deployment.start_nodes(1)
    for backends in deployment.backends.values():
        for backend in backends:
            backend.delay_s = 2 * STOP_GRACE_S
    answers: list[int] = []
    threads = [
        threading.Thread(
            target=lambda: answers.append(node.send_request(path).status)
        )
        for _ in range(2)
    ]
    node.process.signal(signal.SIGTERM)
    # The first one keeps the node running; both end after its exit.
    for thread in threads:
        time.sleep(STOP_GRACE_S / 4)
        thread.start()
    assert node.process.terminate(STOP_GRACE_S) == 0
    for thread in threads:
        thread.join()
    assert answers == [502, 502]


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


def test_no_request_is_cut_off_at_the_end_of_a_stop(
    deployment: Deployment,
) -> None:
    """Callers stay at the node until its process is gone."""
    (node,) = deployment.start_nodes(1)
    for backend in deployment.backends["records"]:
        backend.delay_s = 0.1
    answered: list[str] = []

    def send_requests(name: str) -> None:
        for number in itertools.count():
            request_id = f"{name}-{number}"
            try:
                status = node.send_request(
                    "/records/1", request_id=request_id
                ).status
            except (OSError, http.client.HTTPException):
                return
            assert status in (200, 503)
            answered.append(request_id)

    threads = [
        threading.Thread(target=send_requests, args=(f"caller-{number}",))
        for number in range(4)
    ]
    for thread in threads:
        thread.start()
    time.sleep(0.5)
    assert node.process.terminate(4.0) == 0
    for thread in threads:
        thread.join()
    arrived = {
        arrival.request_id
        for backend in deployment.backends["records"]
        for arrival in backend.arrivals
    }
    assert arrived - {*answered} == set()


def start_until_it_handles_signals(deployment: Deployment) -> RunningNode:
    """Returns a frozen node that handles signals and has not started yet.

    A busy machine may let a node pass that time between two looks at it; then
    another one is started.
    """
    for number in range(MAX_START_COUNT):
        node = deployment.start_node(f"node-{number}")
        wait_until(
            lambda node=node: node.handles_signals() or node.is_ready(),  # type: ignore[misc]
            5.0,
            "the node handles signals",
        )
        node.process.freeze()
        if "started" not in deployment.messages(node):
            return node
        node.process.kill()
    raise AssertionError("each node started before it was seen to handle them")


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM])
def test_signal_during_the_start_is_handled_after_it(
    deployment: Deployment, number: signal.Signals
) -> None:
    """A signal before the node has started must not be lost or kill it."""
    node = start_until_it_handles_signals(deployment)
    node.process.signal(number)
    node.process.thaw()

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


def test_signal_that_waited_for_the_start_leaves_the_node_its_rest_of_the_grace(
    deployment: Deployment,
) -> None:
    node = start_until_it_handles_signals(deployment)
    node.process.signal(signal.SIGTERM)
    time.sleep(STOP_GRACE_S)
    node.process.thaw()

    wait_until(
        lambda: node.process.returncode is not None, 5.0, "the node exits"
    )
    at = {
        line["message"]: datetime.datetime.fromisoformat(line["at"])
        for line in deployment.log_lines(node)
    }
    took = at["stopped"] - at["stopping"]
    assert took.total_seconds() < STALE_ADDRESS_S


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

    began_at_s = time.monotonic()
    allowed_count, sent_count = float(FAILED_RATE.burst_count), 0
    while sent_count < allowed_count + 50:
        assert node.send_request(f"/nowhere/{sent_count}").status == 404
        sent_count += 1
        elapsed_s = time.monotonic() - began_at_s
        allowed_count = FAILED_RATE.burst_count + FAILED_RATE.per_s * elapsed_s

    lines = deployment.log_lines(node)
    messages = [line["message"] for line in lines]
    assert messages.count("no route") <= allowed_count + 1
    assert node.send_request("/records/1").status == 200
