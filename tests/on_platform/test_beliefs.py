"""What nodes take from the store and from each other."""

import socket
import time

import pytest
from deployment import Deployment, configuration, route

from mulberrybay_testing.ports import HOST
from mulberrybay_testing.waiting import wait_until


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
    # What comes together with them is taken.
    for backend in deployment.backends["records"]:
        entry = backend.entry(state="draining")
        deployment.put("servers", backend.server_id, entry)
    new = deployment.add_backend("records")
    time.sleep(0.8)

    for number in range(10):
        assert node.ask("/records/1", request_id=f"id-{number}").status == 200
    assert new.arrivals
    wait_until(
        lambda: "unreadable object left out" in deployment.messages(node),
        2.0,
        "a line says so",
    )


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
