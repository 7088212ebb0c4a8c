"""Nodes that lose their links to all backend servers, while others keep theirs."""

import contextlib
import pathlib
import time
from collections.abc import Iterator
from typing import Final

import pytest
from deployment import (
    START_TIMEOUT_S,
    Deployment,
    RunningNode,
    configuration,
)
from linked_deployment import LinkedDeployment

from mulberrybay_testing.waiting import wait_until

# The users allow more, 4 s, before nodes must have noticed.
NOTICE_TIMEOUT_S: Final = 3.0
REQUESTS: Final = (
    ("/records/1", "GET"),
    ("/search/x", "GET"),
    ("/bookings/1", "POST"),
)


def start_nodes(deployment: LinkedDeployment, count: int) -> list[RunningNode]:
    """Starts nodes, and waits until all have links to the servers."""
    nodes = deployment.start_nodes(count)
    for node in nodes:
        for path, method in REQUESTS:
            wait_until(
                lambda node=node, path=path, method=method: (  # type: ignore[misc]
                    node.send_request(path, method=method).status == 200
                ),
                START_TIMEOUT_S,
                "the node serves",
            )
    return nodes


@pytest.fixture
def linked(tmp_path: pathlib.Path) -> Iterator[LinkedDeployment]:
    with LinkedDeployment(tmp_path) as deployment:
        yield deployment


def advertises(asked: RunningNode, node: RunningNode) -> bool:
    return node.address in asked.advertised_addresses()


def arrival_count(deployment: Deployment, service: str, path: str) -> int:
    return sum(
        arrival.path == path and arrival.was_executed
        for backend in deployment.backends[service]
        for arrival in backend.arrivals
    )


def test_callers_of_a_node_without_servers_are_served_by_the_others(
    linked: LinkedDeployment,
) -> None:
    nodes = start_nodes(linked, 3)
    cut = next(node for node in nodes if advertises(nodes[0], node))
    others = [node for node in nodes if node is not cut]

    linked.set_cut(cut.name, is_cut=True)

    for asked in nodes:
        wait_until(
            lambda asked=asked: not advertises(asked, cut),  # type: ignore[misc]
            NOTICE_TIMEOUT_S,
            "the node without servers is not named any more",
        )
        assert all(advertises(asked, other) for other in others)
    for number in range(10):
        for path, method in REQUESTS:
            answer = cut.send_request(
                f"{path}-{number}", method=method, request_id=f"id-{number}"
            )
            assert answer.status == 200
            assert answer.headers["x-request-id"] == f"id-{number}"
        assert arrival_count(linked, "bookings", f"/bookings/1-{number}") == 1
    assert "no backend server can be reached" in linked.messages(cut)

    linked.set_cut(cut.name, is_cut=False)

    wait_until(
        lambda: advertises(others[0], cut),
        NOTICE_TIMEOUT_S,
        "it is named again",
    )
    assert cut.send_request("/records/9").status == 200


def test_new_configurations_do_not_keep_requests_at_a_node_without_servers(
    linked: LinkedDeployment,
) -> None:
    cut, *others = nodes = start_nodes(linked, 3)
    linked.set_cut(cut.name, is_cut=True)
    wait_until(
        lambda: cut.advertised_addresses() == [one.address for one in others],
        NOTICE_TIMEOUT_S,
        "the node without servers is not named any more",
    )
    for revision in range(2, 7):
        linked.put("config", "main", configuration(revision))
        for node in nodes:
            wait_until(
                lambda node=node, revision=revision: any(  # type: ignore[misc]
                    line.get("revision") == revision
                    for line in linked.log_lines(node)
                ),
                NOTICE_TIMEOUT_S,
                "the configuration is in force",
            )
        time.sleep(0.1)
        for path, method in REQUESTS:
            assert cut.send_request(path, method=method).status == 200


def test_nodes_that_all_lack_servers_stay_named_and_return_by_themselves(
    linked: LinkedDeployment,
) -> None:
    nodes = start_nodes(linked, 3)
    named_count = len(nodes[0].advertised_addresses())

    for node in nodes:
        linked.set_cut(node.name, is_cut=True)
    for node in nodes:
        wait_until(
            lambda node=node: (  # type: ignore[misc]
                "no backend server can be reached" in linked.messages(node)
            ),
            NOTICE_TIMEOUT_S,
            "the node has noticed",
        )
    time.sleep(1.0)
    for node in nodes:
        assert len(node.advertised_addresses()) == named_count
        assert node.send_request("/records/1").status in (502, 503, 504)

    for node in nodes:
        linked.set_cut(node.name, is_cut=False)

    for node in nodes:
        wait_until(
            lambda node=node: node.send_request("/records/1").status == 200,  # type: ignore[misc]
            NOTICE_TIMEOUT_S,
            "the node serves again",
        )


def test_servers_that_are_down_take_no_node_out_of_the_directory(
    linked: LinkedDeployment,
) -> None:
    nodes = start_nodes(linked, 2)

    for service in ("records", "bookings"):
        for backend in linked.backends[service]:
            linked.stop_listening(backend)
    ends_at_s = time.monotonic() + 2.0
    while time.monotonic() < ends_at_s:
        for node in nodes:
            with contextlib.suppress(TimeoutError):
                node.send_request("/records/1", deadline_ms=300)

    for node in nodes:
        assert node.send_request("/search/x").status == 200
        assert len(node.advertised_addresses()) == 2
