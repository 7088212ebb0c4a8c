"""Nodes apply changes from the store and from their peers."""

import socket
import time

import pytest
from deployment import Deployment, configuration, route

from mulberrybay_testing.ports import HOST
from mulberrybay_testing.waiting import wait_until


def test_draining_server_gets_no_new_requests_after_a_second(
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
        assert (
            node.send_request("/records/1", request_id=f"id-{number}").status
            == 200
        )

    assert len(leaving.arrivals) == count


def test_evacuated_domain_gets_no_requests_until_restored(
    deployment: Deployment,
) -> None:
    (node,) = deployment.start_nodes(1)

    deployment.put("evacuations", "zone-a", {})
    wait_until(
        lambda: node.send_request("/records/1").status == 503,
        2.0,
        "the domain is evacuated",
    )
    deployment.remove("evacuations", "zone-a")
    wait_until(
        lambda: node.send_request("/records/1").status == 200,
        2.0,
        "the domain is restored",
    )


def test_all_nodes_apply_a_configuration_and_never_revert_it(
    deployment: Deployment,
) -> None:
    nodes = deployment.start_nodes(2)
    added = configuration(9, routes=[route("new", "/new/", service="records")])

    deployment.put("config", "main", added)
    for node in nodes:
        wait_until(
            lambda node=node: node.send_request("/new/1").status == 200,  # type: ignore[misc]
            2.0,
            "the new route is served",
        )
    deployment.put("config", "main", configuration(3))
    time.sleep(1.0)

    for node in nodes:
        assert node.send_request("/new/1").status == 200
        assert node.send_request("/records/1").status == 404


def test_unreadable_objects_are_ignored(deployment: Deployment) -> None:
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
    # Valid changes written together with them are applied.
    for backend in deployment.backends["records"]:
        entry = backend.entry(state="draining")
        deployment.put("servers", backend.server_id, entry)
    new = deployment.add_backend("records")
    time.sleep(0.8)

    for number in range(10):
        assert (
            node.send_request("/records/1", request_id=f"id-{number}").status
            == 200
        )
    assert new.arrivals
    wait_until(
        lambda: "unreadable object left out" in deployment.messages(node),
        2.0,
        "the unreadable objects are logged",
    )


def test_lost_store_answer_delays_a_change_only_briefly(
    deployment: Deployment,
) -> None:
    """A node must not miss a change when the answer to its watch is lost."""
    nodes = deployment.start_nodes(3)
    leaving = deployment.backends["records"][0]

    # The next two answers go to the watches of two of the nodes.
    deployment.store.lost_answer_count = 2
    deployment.put(
        "servers", leaving.server_id, leaving.entry(state="draining")
    )
    time.sleep(2.5)
    count = len(leaving.arrivals)
    for node in nodes:
        for number in range(6):
            assert (
                node.send_request(
                    "/records/1", request_id=f"id-{number}"
                ).status
                == 200
            )

    assert len(leaving.arrivals) == count


def test_store_without_its_change_history_is_listed_again(
    deployment: Deployment,
) -> None:
    """A watch from a discarded revision gets 410; the node must list again."""
    (node,) = deployment.start_nodes(1)

    deployment.forget_history()
    added = configuration(9, routes=[route("new", "/new/", service="records")])
    deployment.put("config", "main", added)

    wait_until(
        lambda: node.send_request("/new/1").status == 200,
        4.0,
        "the new route is served",
    )


@pytest.mark.parametrize("fault", ["status", "unresponsive"])
def test_nodes_keep_serving_while_the_store_is_unavailable(
    deployment: Deployment, fault: str
) -> None:
    nodes = deployment.start_nodes(2)
    if fault == "status":
        deployment.store.status = 503
    else:
        deployment.store.is_unresponsive = True
    time.sleep(4.0)

    for node in nodes:
        assert node.is_ready()
        assert node.send_request("/search/x").headers["x-missing-parts"] == "0"


def test_node_started_without_the_store_gets_objects_from_peers(
    deployment: Deployment,
) -> None:
    first, second = deployment.start_nodes(2)
    second.process.kill()
    deployment.store.status = 503

    # The other node still sends heartbeats to the restarted node's address.
    restarted = deployment.restart(second)

    wait_until(restarted.is_ready, 8.0, "the node is ready")
    assert restarted.send_request("/records/1").status == 200
    assert first.send_request("/records/1").status == 200


def test_killed_node_is_no_longer_advertised(deployment: Deployment) -> None:
    first, second = deployment.start_nodes(2)

    second.process.kill()

    wait_until(
        lambda: first.advertised_addresses() == [first.address],
        3.0,
        "only the other node is advertised",
    )
    assert first.send_request("/records/1").status == 200


def test_invalid_datagrams_are_ignored(
    deployment: Deployment,
) -> None:
    nodes = deployment.start_nodes(2)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for data in (b"", b"x", b"\xff" * 64, b"\x00" * 600):
            for port in deployment.peer_ports():
                sender.sendto(data, (HOST, port))
    time.sleep(0.3)

    for node in nodes:
        assert len(node.advertised_addresses()) == 2
