"""The store returns from a copy that is some seconds old.

Nodes keep what they know to be newer, and follow what is written again.
"""

import time

import pytest
from deployment import Deployment, RunningNode, configuration, route
from standins import StoreCopy

from mulberrybay_testing.waiting import wait_until

AWAY_S = 0.7


def return_after_outage(deployment: Deployment, copy: StoreCopy) -> None:
    deployment.store.status = 503
    time.sleep(AWAY_S)
    deployment.return_store_from(copy)
    deployment.store.status = 0


def added_route(revision: int, name: str) -> dict[str, object]:
    routes = configuration(revision)["routes"]
    added = route(name, f"/{name}/", service="records")
    return configuration(revision, routes=[*routes, added])


def wait_served(nodes: list[RunningNode], path: str) -> None:
    for node in nodes:
        wait_until(
            lambda node=node: node.send_request(path).status == 200,  # type: ignore[misc]
            3.0,
            f"{node.name} serves {path}",
        )


def test_configuration_does_not_go_back_and_the_next_one_is_followed(
    deployment: Deployment,
) -> None:
    nodes = deployment.start_nodes(2)
    copy = deployment.take_store_copy()
    # Versions of the new era stay below those that nodes have seen before.
    for number in range(20):
        deployment.put("foreign", f"object-{number}", {})
    deployment.put("config", "main", added_route(9, "new"))
    wait_served(nodes, "/new/1")

    return_after_outage(deployment, copy)
    time.sleep(1.5)

    for node in nodes:
        assert node.send_request("/new/1").status == 200
    deployment.put("config", "main", added_route(12, "newer"))
    wait_served(nodes, "/newer/1")
    for node in nodes:
        assert node.send_request("/new/1").status == 404


def test_node_that_starts_then_gets_the_configuration_from_a_peer(
    deployment: Deployment,
) -> None:
    nodes = deployment.start_nodes(2)
    copy = deployment.take_store_copy()
    deployment.put("config", "main", added_route(9, "new"))
    wait_served(nodes, "/new/1")
    return_after_outage(deployment, copy)
    time.sleep(1.0)

    nodes[1].process.kill()
    restarted = deployment.restart(nodes[1])
    wait_until(restarted.is_ready, 5.0, "the node is ready")

    assert restarted.send_request("/new/1").status == 200


def test_leaving_server_and_domain_out_of_service_are_not_used_again(
    deployment: Deployment,
) -> None:
    (node,) = deployment.start_nodes(1)
    added = deployment.add_backend("records", zone="zone-b")
    copy = deployment.take_store_copy()
    leaving, evacuated = deployment.backends["records"][0], "zone-b"
    entry = leaving.entry(state="draining")
    deployment.put("servers", leaving.server_id, entry)
    deployment.put("evacuations", evacuated, {})
    time.sleep(1.0)
    counts = len(leaving.arrivals), len(added.arrivals)

    return_after_outage(deployment, copy)
    ends_at_s = time.monotonic() + 4.0
    while time.monotonic() < ends_at_s:
        assert node.send_request("/records/1").status == 200
        time.sleep(0.02)

    assert (len(leaving.arrivals), len(added.arrivals)) == counts


def test_server_missing_from_the_copy_is_used_until_it_has_written_again(
    deployment: Deployment,
) -> None:
    copy = deployment.take_store_copy()
    for backend in deployment.backends["records"]:
        entry = backend.entry(state="draining")
        deployment.put("servers", backend.server_id, entry)
    added = deployment.add_backend("records")
    (node,) = deployment.start_nodes(1)
    assert node.send_request("/records/1").status == 200

    return_after_outage(deployment, copy)
    ends_at_s = time.monotonic() + 1.5
    while time.monotonic() < ends_at_s:
        assert node.send_request("/records/1").status == 200
        time.sleep(0.02)
    deployment.put("servers", added.server_id, added.entry())
    time.sleep(2.5)

    assert node.send_request("/records/1").status == 200
    assert not any(
        backend.arrivals for backend in deployment.backends["records"][:2]
    )


def test_nodes_register_again_and_follow_new_servers(
    deployment: Deployment,
) -> None:
    copy = deployment.take_store_copy()
    nodes = deployment.start_nodes(2)
    wait_until(
        lambda: len(deployment.store.names("mulberrybay-nodes")) == 2,
        3.0,
        "both nodes are registered",
    )

    return_after_outage(deployment, copy)

    wait_until(
        lambda: len(deployment.store.names("mulberrybay-nodes")) == 2,
        5.0,
        "both nodes are registered again",
    )
    for backend in deployment.backends["records"]:
        entry = backend.entry(state="draining")
        deployment.put("servers", backend.server_id, entry)
    added = deployment.add_backend("records")
    wait_until(
        lambda: (
            all(node.send_request("/records/1").status == 200 for node in nodes)
            and bool(added.arrivals)
        ),
        3.0,
        "the new server is used",
    )


@pytest.mark.parametrize(
    "era", [None, "", "0, 0", "-1", "nine", "9" * 5000, "1e9", str(2**62)]
)
def test_unreadable_era_counts_as_the_known_one(
    deployment: Deployment, era: str | None
) -> None:
    (node,) = deployment.start_nodes(1)
    deployment.store.era = era

    deployment.put("config", "main", added_route(9, "new"))

    wait_served([node], "/new/1")
