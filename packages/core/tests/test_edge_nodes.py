"""Callers are told of nodes that prove that they run, and of no others."""

import pytest

from mulberrybay_core.addresses import Address
from mulberrybay_core.edge_nodes import (
    ALL_WATCH_COUNT,
    FIRST_HEARTBEATS_S,
    HEARTBEAT_PERIOD_S,
    MAX_HEARTBEATS_PER_S,
    MORE_WATCHERS_PERIOD_S,
    REMOVAL_AFTER_S,
    SILENT_PERIOD_COUNT,
    WATCHER_COUNT,
    WATCHER_FRESH_S,
    EdgeHeartbeat,
    EdgeNodeInfo,
    EdgeNodes,
    choose_named,
    count_named,
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


def test_peer_that_knows_more_is_asked() -> None:
    nodes = EdgeNodes(info("node-1"), 0.0)
    nodes.note_heartbeat(heartbeat("node-2", versions=(3, 9)), 0.0)
    nodes.note_heartbeat(heartbeat("node-3", versions=(4, 7)), 0.0)

    assert nodes.highest_changed(0.1) == (4, 9)
    assert nodes.better_informed(0, 3, 0.1) == info("node-3").peer_address
    assert nodes.better_informed(1, 7, 0.1) == info("node-2").peer_address
    assert nodes.better_informed(1, 9, 0.1) is None
    assert nodes.better_informed(1, 7, SILENT_S + 1) is None


def test_peers_that_know_more_are_asked_in_turn_the_near_ones_first() -> None:
    nodes = EdgeNodes(info("node-1"), 0.0)
    for number, version in ((2, 3), (3, 4), (4, 5)):
        beat = heartbeat(f"node-{number}", versions=(version,))
        far = beat.sender._replace(failure_domain="far")
        nodes.note_heartbeat(beat._replace(sender=far), 0.0)

    asked = {nodes.better_informed(0, 2, 0.1) for _ in range(9)}
    assert asked == {info(f"node-{n}").peer_address for n in (2, 3, 4)}
    nodes.note_heartbeat(heartbeat("node-5", versions=(3,)), 0.0)
    asked = {nodes.better_informed(0, 2, 0.1) for _ in range(9)}
    assert asked == {info("node-5").peer_address}


def watcher_count(
    node_count: int, now_s: float, *, store_age_s: float, since_s: float
) -> int:
    """Returns how many of the nodes watch the store at a time."""
    names = [f"node-{number}" for number in range(1, node_count + 1)]
    count = 0
    for own_name in names:
        nodes = EdgeNodes(info(own_name), 0.0)
        for at_s in (since_s, now_s):
            for name in names:
                beat = heartbeat(name)._replace(store_age_s=store_age_s)
                nodes.note_heartbeat(beat, at_s)
            nodes.should_watch(at_s)
        count += nodes.should_watch(now_s)
    return count


def test_few_nodes_all_watch_the_store_and_of_many_some() -> None:
    few = watcher_count(ALL_WATCH_COUNT, 5.0, store_age_s=0.1, since_s=5.0)
    many = watcher_count(40, 5.0, store_age_s=0.1, since_s=5.0)

    assert few == ALL_WATCH_COUNT
    assert many == WATCHER_COUNT


def test_of_many_nodes_that_start_together_few_watch() -> None:
    names = [f"node-{number}" for number in range(1, 41)]

    def count(now_s: float) -> int:
        watching = 0
        for own_name in names:
            nodes = EdgeNodes(info(own_name), 0.0)
            nodes.replace_registered([(info(name), 7) for name in names])
            watching += nodes.should_watch(now_s)
        return watching

    assert count(0.1) == WATCHER_COUNT
    # None has heard of another by then: each takes itself to be alone.
    assert count(FIRST_HEARTBEATS_S) == len(names)


def test_more_nodes_watch_while_the_store_answers_none() -> None:
    counts = [
        watcher_count(
            40,
            10.0 + periods * MORE_WATCHERS_PERIOD_S,
            store_age_s=WATCHER_FRESH_S,
            since_s=10.0,
        )
        for periods in (0, 1, 2)
    ]

    assert counts == [WATCHER_COUNT, 2 * WATCHER_COUNT, 3 * WATCHER_COUNT]


@pytest.mark.parametrize(
    ("attempts_per_s", "server_count", "domain_count", "count"),
    [(0.0, 0, 3, 6), (2600.0, 100, 3, 9), (1700.0, 270, 3, 6)],
)
def test_callers_are_told_of_as_many_nodes_as_the_load_keeps_warm(
    attempts_per_s: float, server_count: int, domain_count: int, count: int
) -> None:
    assert count_named(attempts_per_s, server_count, domain_count) == count


def test_named_nodes_are_spread_and_change_little() -> None:
    nodes = [
        info(f"node-{number}")._replace(failure_domain=f"domain-{number % 3}")
        for number in range(1, 31)
    ]
    named = choose_named(nodes, 6)
    domains = [node.failure_domain for node in named]
    lost = named[0]

    after = choose_named([node for node in nodes if node != lost], 6)

    assert {domains.count(domain) for domain in domains} == {2}
    assert choose_named(reversed(nodes), 6) == named
    assert len(set(after) & set(named)) == 5


@pytest.mark.parametrize(("node_count", "named_count"), [(6, 6), (90, 6)])
def test_parts_of_all_nodes_make_up_the_limit(
    node_count: int, named_count: int
) -> None:
    names = [f"node-{number}" for number in range(1, node_count + 1)]
    total = 0.0
    for position, own_name in enumerate(names):
        nodes = EdgeNodes(info(own_name), 0.0)
        for name in names:
            nodes.note_heartbeat(heartbeat(name), 0.0)
        is_named = position < named_count
        total += 1 / nodes.divisor(is_named, named_count, 0.1)

    assert total == pytest.approx(1.0)


def test_node_that_hears_of_few_others_takes_an_equal_part_only() -> None:
    nodes = EdgeNodes(info("node-1"), 0.0)
    for number in range(2, 11):
        nodes.put_registered(info(f"node-{number}"), number)
    nodes.note_heartbeat(heartbeat("node-2"), 0.0)

    assert nodes.divisor(True, 2, 0.1) == 10


def test_nodes_with_more_processor_time_are_named_first() -> None:
    nodes = [
        info(f"node-{number}")._replace(cpu_cores=0.5 + number % 4 * 0.5)
        for number in range(1, 13)
    ]

    assert {node.cpu_cores for node in choose_named(nodes, 3)} == {2.0}
