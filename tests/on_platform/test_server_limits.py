"""Nodes together keep to the request rates that backend servers name."""

import itertools
import threading
import time
from collections.abc import Sequence
from typing import Final

import pytest
from deployment import Answer, Deployment, RunningNode
from standins import BackendStandIn

from mulberrybay_testing.waiting import wait_until

LIMIT_PER_S: Final = 10.0
LIMITED: Final = (("Server-Limit", f"{LIMIT_PER_S:.1f}"),)
# What the users' rule allows in any window.
WINDOW_S: Final = 4.0
ALLOWED_COUNT: Final = 1.5 * LIMIT_PER_S * WINDOW_S + 5
LOAD_S: Final = 6.5
PERIOD_S: Final = 0.05


def send_load(nodes: Sequence[RunningNode], path: str) -> list[Answer]:
    """Sends 20 requests a second to each node; returns the answers."""
    answers: list[Answer] = []
    numbers = itertools.count()

    def call(node: RunningNode) -> None:
        ends_at_s = time.monotonic() + LOAD_S
        while time.monotonic() < ends_at_s:
            request_id = f"id-{next(numbers)}"
            answers.append(node.send_request(path, request_id=request_id))
            time.sleep(PERIOD_S)

    threads = [threading.Thread(target=call, args=(node,)) for node in nodes]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return answers


def busiest_window_count(backend: BackendStandIn, since_s: float) -> int:
    """Returns the most requests in a window that starts after a time."""
    times = [a.at_s for a in backend.arrivals if a.at_s >= since_s]
    return max(
        (
            sum(start_s <= at_s < start_s + WINDOW_S for at_s in times)
            for start_s in times
        ),
        default=0,
    )


def test_limited_server_gets_its_limit_at_most_from_all_nodes(
    deployment: Deployment,
) -> None:
    nodes = deployment.start_nodes(3)
    limited, other = deployment.backends["records"]
    limited.headers = LIMITED
    # Without a limit, nodes would prefer the faster server.
    other.delay_s = 0.02

    answers = send_load(nodes, "/records/1")

    assert {answer.status for answer in answers} == {200}
    assert busiest_window_count(limited, limited.arrivals[0].at_s + 0.5) <= (
        ALLOWED_COUNT
    )


def test_requests_beyond_the_limits_of_all_servers_are_refused_at_once(
    deployment: Deployment,
) -> None:
    nodes = deployment.start_nodes(3)
    for backend in deployment.backends["records"]:
        backend.headers = LIMITED

    answers = send_load(nodes, "/records/1")

    for backend in deployment.backends["records"]:
        started_s = backend.arrivals[0].at_s
        assert busiest_window_count(backend, started_s + 0.5) <= ALLOWED_COUNT
    assert {answer.status for answer in answers} == {200, 503}
    refused = [answer for answer in answers if answer.status == 503]
    assert all(float(a.headers["retry-after"]) > 0 for a in refused)


def test_server_whose_limit_has_ended_is_used_as_before(
    deployment: Deployment,
) -> None:
    (node,) = deployment.start_nodes(1)
    for backend in deployment.backends["records"]:
        backend.headers = (("Server-Limit", "0.5"),)
    wait_until(
        lambda: node.send_request("/records/1").status == 503,
        3.0,
        "both servers have named their limit",
    )

    for backend in deployment.backends["records"]:
        backend.headers = ()

    wait_until(
        lambda: all(
            node.send_request("/records/1").status == 200 for _ in range(20)
        ),
        8.0,
        "the servers are used again",
    )


@pytest.mark.parametrize(
    "value", ["", "-1", "nan", "1e3", "ten", "9" * 400, "1, 2"]
)
def test_unreadable_limit_takes_no_server_out(
    deployment: Deployment, value: str
) -> None:
    (node,) = deployment.start_nodes(1)
    for backend in deployment.backends["records"]:
        backend.headers = (("Server-Limit", value),)

    assert {node.send_request("/records/1").status for _ in range(30)} == {200}
    assert "unreadable reply header" in deployment.messages(node)
