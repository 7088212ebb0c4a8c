"""Callers are told of nodes that prove that they run, and of no others."""

import pytest

from mulberrybay_core.addresses import Address
from mulberrybay_core.edge_nodes import (
    HEARTBEAT_PERIOD_S,
    MAX_HEARTBEATS_PER_S,
    REMOVAL_AFTER_S,
    SILENT_PERIOD_COUNT,
    EdgeHeartbeat,
    EdgeNodeInfo,
    EdgeNodes,
)

SILENT_S = SILENT_PERIOD_COUNT * HEARTBEAT_PERIOD_S


def info(name: str) -> EdgeNodeInfo:
    number = int(name.rpartition("-")[2])
    host = f"10.0.0.{number}"
    return EdgeNodeInfo(
        name, 1, "domain-a", Address(host, 80), Address(host, 90)
    )


def heartbeat(
    name: str, *, is_serving: bool = True, versions: tuple[int, ...] = ()
) -> EdgeHeartbeat:
    return EdgeHeartbeat(info(name), is_serving, 1, versions)


def serving_names(nodes: EdgeNodes, now_s: float) -> list[str]:
    return [node.name for node in nodes.serving(now_s)]


def test_registered_node_is_not_named_before_it_is_heard() -> None:
    nodes = EdgeNodes(info("node-1"), 0.0)
    nodes.put_registered(info("node-2"), 5)

    assert serving_names(nodes, 0.1) == []
    nodes.note_heartbeat(heartbeat("node-2"), 0.2)
    assert serving_names(nodes, 0.3) == ["node-2"]


def test_silent_node_is_dropped() -> None:
    nodes = EdgeNodes(info("node-1"), 0.0)
    nodes.note_heartbeat(heartbeat("node-2"), 0.0)

    assert serving_names(nodes, SILENT_S - 0.01) == ["node-2"]
    assert serving_names(nodes, SILENT_S) == []


def test_node_that_stops_is_dropped_at_once() -> None:
    nodes = EdgeNodes(info("node-1"), 0.0)
    nodes.note_heartbeat(heartbeat("node-2"), 0.0)

    nodes.note_heartbeat(heartbeat("node-2", is_serving=False), 0.1)

    assert serving_names(nodes, 0.1) == []


def test_registered_but_silent_nodes_keep_their_part_of_shared_limits() -> None:
    nodes = EdgeNodes(info("node-1"), 0.0)
    nodes.put_registered(info("node-2"), 5)
    nodes.note_heartbeat(heartbeat("node-3"), 0.0)

    assert nodes.sharing_count(0.1) == 3
    nodes.remove_registered("node-2")
    assert nodes.sharing_count(0.1) == 2


@pytest.mark.parametrize(
    ("own_name", "removed"), [("node-1", [("node-9", 5)]), ("node-3", [])]
)
def test_one_survivor_removes_a_lost_node(
    own_name: str, removed: list[tuple[str, int]]
) -> None:
    nodes = EdgeNodes(info(own_name), 0.0)
    nodes.put_registered(info("node-9"), 5)
    now_s = REMOVAL_AFTER_S + 1
    nodes.note_heartbeat(heartbeat("node-2"), now_s)

    assert nodes.removable(now_s) == removed


def test_heartbeats_of_a_node_are_bounded_with_many_peers() -> None:
    nodes = EdgeNodes(info("node-1"), 0.0)
    for number in range(2, 202):
        nodes.put_registered(info(f"node-{number}"), number)

    per_s = len(nodes.peer_addresses()) / nodes.heartbeat_period_s()

    assert per_s <= MAX_HEARTBEATS_PER_S


def test_best_informed_peer_is_asked() -> None:
    nodes = EdgeNodes(info("node-1"), 0.0)
    nodes.note_heartbeat(heartbeat("node-2", versions=(3, 9)), 0.0)
    nodes.note_heartbeat(heartbeat("node-3", versions=(4, 7)), 0.0)

    assert nodes.highest_changed(0.1) == (4, 9)
    assert nodes.best_informed(0, 0.1) == info("node-3").peer_address
    assert nodes.best_informed(1, 0.1) == info("node-2").peer_address
    assert nodes.best_informed(1, SILENT_S + 1) is None
