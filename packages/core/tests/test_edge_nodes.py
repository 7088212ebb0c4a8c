"""Guards against wrong views of the other nodes.

These lead to callers that connect to stopped nodes, too many or too few nodes
that watch the store, and shares that exceed a limit for all nodes.
"""

import pytest

from mulberrybay_core.addresses import Address
from mulberrybay_core.edge_nodes import (
    HEARTBEAT_PERIOD_S,
    MAX_ALL_WATCHING_COUNT,
    MEMBER_PERIOD_S,
    MIN_HUBS_PER_DOMAIN_COUNT,
    MISSED_HEARTBEAT_COUNT,
    PEER_DISCOVERY_S,
    REMOVAL_DELAY_S,
    STAND_IN_SPREAD_S,
    WATCHER_COUNT,
    EdgeHeartbeat,
    EdgeNodeInfo,
    EdgeNodes,
    choose_advertised,
    count_advertised,
)
from mulberrybay_core.follow_times import DEFAULT_FOLLOW_TIMES, FollowTimes

UNRESPONSIVE_AFTER_S = MISSED_HEARTBEAT_COUNT * HEARTBEAT_PERIOD_S


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


def test_registered_node_is_not_serving_before_its_first_heartbeat() -> None:
    nodes = EdgeNodes(info("node-1"), 0.0)
    nodes.put_registered(info("node-2"), 5)

    assert serving_names(nodes, 0.1) == []
    nodes.record_heartbeat(heartbeat("node-2"), 0.2)
    assert serving_names(nodes, 0.3) == ["node-2"]


def test_unresponsive_node_is_not_serving() -> None:
    nodes = EdgeNodes(info("node-1"), 0.0)
    nodes.record_heartbeat(heartbeat("node-2"), 0.0)

    assert serving_names(nodes, UNRESPONSIVE_AFTER_S - 0.01) == ["node-2"]
    assert serving_names(nodes, UNRESPONSIVE_AFTER_S) == []


def test_node_that_announces_its_stop_is_not_serving() -> None:
    nodes = EdgeNodes(info("node-1"), 0.0)
    nodes.record_heartbeat(heartbeat("node-2"), 0.0)

    nodes.record_heartbeat(heartbeat("node-2", is_serving=False), 0.1)

    assert serving_names(nodes, 0.1) == []


def test_registered_unresponsive_node_keeps_its_share_of_limits() -> None:
    nodes = EdgeNodes(info("node-1"), 0.0)
    nodes.put_registered(info("node-2"), 5)
    nodes.record_heartbeat(heartbeat("node-3"), 0.0)

    assert nodes.sharing_count(0.1) == 3
    nodes.remove_registered("node-2")
    assert nodes.sharing_count(0.1) == 2


@pytest.mark.parametrize(
    ("own_name", "removed"), [("node-1", [("node-9", 5)]), ("node-3", [])]
)
def test_one_node_removes_the_registration_of_an_unresponsive_node(
    own_name: str, removed: list[tuple[str, int]]
) -> None:
    nodes = EdgeNodes(info(own_name), 0.0)
    nodes.put_registered(info("node-9"), 5)
    assert nodes.is_hub(0.0)
    now_s = REMOVAL_DELAY_S + 1
    nodes.record_heartbeat(heartbeat("node-2"), now_s)

    assert nodes.removable_registrations(now_s) == removed


# Hubs among many nodes.

DOMAIN_COUNT = 5


def large_info(number: int) -> EdgeNodeInfo:
    return info(f"node-{number}")._replace(
        failure_domain=f"domain-{number % DOMAIN_COUNT}"
    )


class Fleet:
    """Nodes that exchange heartbeats on a clock of the test.

    Attributes:
        sent_count: Heartbeats sent so far.
        stopped: Names of nodes that don't run any more.
    """

    def __init__(self, node_count: int, *, are_registered: bool = True) -> None:
        infos = [large_info(number) for number in range(1, node_count + 1)]
        self.now_s = 0.0
        self.views = {node.name: EdgeNodes(node, 0.0) for node in infos}
        self._names = {node.peer_address: node.name for node in infos}
        self._due_s = {
            name: index / node_count for index, name in enumerate(self.views)
        }
        self.sent_count = 0
        self.stopped: set[str] = set()
        self.cut: set[str] = set()
        for view in self.views.values():
            if are_registered:
                view.replace_registered([(node, 7) for node in infos])

    def advance(self, span_s: float) -> None:
        end_s = self.now_s + span_s
        while self.now_s < end_s:
            self.now_s += 0.1
            for name, view in self.views.items():
                if name in self.stopped or self._due_s[name] > self.now_s:
                    continue
                self._due_s[name] += view.heartbeat_period_s(self.now_s)
                self._send(name, view)

    def _send(self, name: str, view: EdgeNodes) -> None:
        beat = EdgeHeartbeat(
            view.own_info, True, 1, is_hub=view.is_hub(self.now_s)
        )
        for address in view.heartbeat_addresses(self.now_s):
            self.sent_count += 1
            peer = self._names[address]
            if peer not in self.stopped and (peer in self.cut) == (
                name in self.cut
            ):
                self.views[peer].record_heartbeat(beat, self.now_s)

    def running(self) -> dict[str, EdgeNodes]:
        return {
            name: view
            for name, view in self.views.items()
            if name not in self.stopped
        }

    def hub_names(self) -> set[str]:
        return {
            name
            for name, view in self.running().items()
            if view.is_hub(self.now_s)
        }

    def advertised_names(self, view: EdgeNodes) -> set[str]:
        nodes = [*view.serving(self.now_s), view.own_info]
        domain_count = len({node.failure_domain for node in nodes})
        count = count_advertised(0.0, 0, domain_count)
        return {node.name for node in choose_advertised(nodes, count)}


def test_few_nodes_are_all_hubs() -> None:
    fleet = Fleet(MAX_ALL_WATCHING_COUNT)
    fleet.advance(3.0)

    assert len(fleet.hub_names()) == MAX_ALL_WATCHING_COUNT
    periods = {v.heartbeat_period_s(3.0) for v in fleet.views.values()}
    assert periods == {HEARTBEAT_PERIOD_S}


@pytest.mark.parametrize("are_registered", [False, True])
def test_each_domain_of_a_large_fleet_has_few_hubs(
    are_registered: bool,
) -> None:
    """Heartbeats grow with hubs times nodes, not with nodes times nodes."""
    fleet = Fleet(195, are_registered=are_registered)
    if not are_registered:
        # The registrations are read after the first heartbeats.
        fleet.advance(0.5)
        infos = [view.own_info for view in fleet.views.values()]
        for view in fleet.views.values():
            view.replace_registered([(node, 7) for node in infos])
    fleet.advance(6.0)
    fleet.sent_count = 0
    fleet.advance(10.0)

    hubs = fleet.hub_names()
    assert len(hubs) == DOMAIN_COUNT * MIN_HUBS_PER_DOMAIN_COUNT
    # With every node sending to each other node at 50 a second, it was 9,750.
    assert fleet.sent_count / 10 < 195 * 50 / 2
    for view in fleet.running().values():
        assert fleet.advertised_names(view) <= hubs


@pytest.mark.parametrize("node_count", [64, 195, 300])
def test_failed_hubs_are_replaced_and_not_advertised(node_count: int) -> None:
    """A dead node must not be advertised 7 s after it failed (4 s and 3 s)."""
    fleet = Fleet(node_count)
    fleet.advance(8.0)
    fleet.stopped = {*sorted(fleet.hub_names())[:-2]}

    fleet.advance(7.0)

    for view in fleet.running().values():
        assert not fleet.advertised_names(view) & fleet.stopped
    fleet.advance(3.0)
    hubs = fleet.hub_names()
    assert len(hubs) == DOMAIN_COUNT * MIN_HUBS_PER_DOMAIN_COUNT
    assert not hubs & fleet.stopped


def test_more_than_half_of_all_nodes_fail_at_once() -> None:
    fleet = Fleet(195)
    fleet.advance(8.0)
    names = sorted(fleet.views)
    fleet.stopped = {
        name for index, name in enumerate(names) if index % 20 < 11
    }

    fleet.advance(10.0)

    assert not fleet.hub_names() & fleet.stopped
    assert len(fleet.hub_names()) == DOMAIN_COUNT * MIN_HUBS_PER_DOMAIN_COUNT
    for view in fleet.running().values():
        advertised = fleet.advertised_names(view)
        assert len(advertised) == 10
        assert not advertised & fleet.stopped


def test_registrations_of_running_nodes_are_never_removed() -> None:
    fleet = Fleet(195)
    for _ in range(30):
        fleet.advance(1.0)
        for view in fleet.running().values():
            assert view.removable_registrations(fleet.now_s) == []


def test_registration_of_a_stopped_node_is_removed_by_one_hub() -> None:
    fleet = Fleet(195)
    fleet.advance(20.0)
    member = next(n for n in fleet.views if n not in fleet.hub_names())
    fleet.stopped = {member}
    fleet.advance(REMOVAL_DELAY_S + MEMBER_PERIOD_S)

    removing = [
        view.removable_registrations(fleet.now_s)
        for view in fleet.running().values()
    ]
    assert [names for names in removing if names] == [[(member, 7)]]


def test_shares_on_both_sides_of_a_partition_stay_within_the_limit() -> None:
    """Each side advertises nodes of its own."""
    fleet = Fleet(195)
    fleet.advance(8.0)
    fleet.cut = {
        name
        for name, view in fleet.views.items()
        if view.own_info.failure_domain in ("domain-0", "domain-1")
    }

    fleet.advance(10.0)

    total = 0.0
    for name, view in fleet.running().items():
        advertised = fleet.advertised_names(view)
        total += 1 / view.share_divisor(
            name in advertised, len(advertised), fleet.now_s
        )
    assert total <= 1.0 + 1e-9


def test_chosen_peer_has_newer_changes() -> None:
    nodes = EdgeNodes(info("node-1"), 0.0)
    nodes.record_heartbeat(heartbeat("node-2", versions=(3, 9)), 0.0)
    nodes.record_heartbeat(heartbeat("node-3", versions=(4, 7)), 0.0)

    assert nodes.newest_changed_versions(0.1) == (4, 9)
    assert nodes.choose_newer_peer(0, 3, 0.1) == info("node-3").peer_address
    assert nodes.choose_newer_peer(1, 7, 0.1) == info("node-2").peer_address
    assert nodes.choose_newer_peer(1, 9, 0.1) is None
    assert nodes.choose_newer_peer(1, 7, UNRESPONSIVE_AFTER_S + 1) is None


def test_kind_that_an_older_build_does_not_name_is_still_followed() -> None:
    """Guards against one older build that hides a kind from all nodes."""
    nodes = EdgeNodes(info("node-1"), 0.0)
    nodes.record_heartbeat(heartbeat("node-2", versions=(3, 9)), 0.0)
    nodes.record_heartbeat(heartbeat("node-3", versions=(4,)), 0.0)
    assert nodes.newest_changed_versions(0.1) == (4, 9)
    assert nodes.all_have_changes(0, 3, 0.1)
    assert not nodes.all_have_changes(0, 4, 0.1)
    assert not nodes.all_have_changes(1, 9, 0.1)
    assert nodes.all_have_changes(1, 9, UNRESPONSIVE_AFTER_S + 1)


def test_peers_with_newer_changes_are_chosen_in_turn_own_domain_first() -> None:
    nodes = EdgeNodes(info("node-1"), 0.0)
    for number, version in ((2, 3), (3, 4), (4, 5)):
        beat = heartbeat(f"node-{number}", versions=(version,))
        remote = beat.sender._replace(failure_domain="far")
        nodes.record_heartbeat(beat._replace(sender=remote), 0.0)

    chosen = {nodes.choose_newer_peer(0, 2, 0.1) for _ in range(9)}
    assert chosen == {info(f"node-{n}").peer_address for n in (2, 3, 4)}
    nodes.record_heartbeat(heartbeat("node-5", versions=(3,)), 0.0)
    chosen = {nodes.choose_newer_peer(0, 2, 0.1) for _ in range(9)}
    assert chosen == {info("node-5").peer_address}


def watcher_count(
    node_count: int, now_s: float, *, store_age_s: float, since_s: float
) -> int:
    """Returns how many of the nodes watch the store at a given time."""
    names = [f"node-{number}" for number in range(1, node_count + 1)]
    count = 0
    for own_name in names:
        nodes = EdgeNodes(info(own_name), 0.0)
        for at_s in (since_s, now_s):
            for name in names:
                beat = heartbeat(name)._replace(store_age_s=store_age_s)
                nodes.record_heartbeat(beat, at_s)
            nodes.should_watch(at_s)
        count += nodes.should_watch(now_s)
    return count


def test_all_of_few_nodes_and_some_of_many_watch_the_store() -> None:
    few = watcher_count(
        MAX_ALL_WATCHING_COUNT, 5.0, store_age_s=0.1, since_s=5.0
    )
    many = watcher_count(40, 5.0, store_age_s=0.1, since_s=5.0)

    assert few == MAX_ALL_WATCHING_COUNT
    assert many == WATCHER_COUNT


def test_few_of_many_nodes_that_start_together_watch_the_store() -> None:
    names = [f"node-{number}" for number in range(1, 41)]

    def count(now_s: float) -> int:
        watching = 0
        for own_name in names:
            nodes = EdgeNodes(info(own_name), 0.0)
            nodes.replace_registered([(info(name), 7) for name in names])
            watching += nodes.should_watch(now_s)
        return watching

    assert count(0.1) == WATCHER_COUNT
    # No node has received a heartbeat by then, so each assumes that it is the
    # only one.
    assert count(PEER_DISCOVERY_S) == len(names)


def test_all_nodes_watch_soon_while_the_store_answers_no_watcher() -> None:
    """Each of them may be the only one that the store answers."""
    counts = [
        watcher_count(
            40,
            10.0 + ratio * STAND_IN_SPREAD_S,
            store_age_s=DEFAULT_FOLLOW_TIMES.max_peer_age_s,
            since_s=10.0,
        )
        for ratio in (0.0, 0.5, 1.0)
    ]

    assert counts == [WATCHER_COUNT, 21, 40]


def test_node_without_peers_calls_the_store_itself_in_time() -> None:
    times = FollowTimes.from_bounds(contact_s=6.0, apply_s=6.0)
    nodes = EdgeNodes(info("node-1"), 0.0, times.max_peer_age_s)
    for number in range(2, 196):
        nodes.put_registered(info(f"node-{number}"), number)
        nodes.record_heartbeat(
            heartbeat(f"node-{number}")._replace(store_age_s=0.0), 10.0
        )
    assert not nodes.should_watch(10.0)

    at_s = 10.0
    while not nodes.should_watch(at_s):
        at_s += 0.2

    assert at_s - 10.0 < 6.0 - 1.0


@pytest.mark.parametrize(
    ("attempts_per_s", "server_count", "domain_count", "count"),
    [(0.0, 0, 3, 6), (2600.0, 100, 3, 9), (1700.0, 270, 3, 6)],
)
def test_number_of_advertised_nodes_follows_the_load(
    attempts_per_s: float, server_count: int, domain_count: int, count: int
) -> None:
    assert count_advertised(attempts_per_s, server_count, domain_count) == count


def test_advertised_nodes_are_spread_over_domains_and_change_little() -> None:
    nodes = [
        info(f"node-{number}")._replace(failure_domain=f"domain-{number % 3}")
        for number in range(1, 31)
    ]
    advertised = choose_advertised(nodes, 6)
    domains = [node.failure_domain for node in advertised]
    stopped = advertised[0]

    after = choose_advertised([node for node in nodes if node != stopped], 6)

    assert {domains.count(domain) for domain in domains} == {2}
    assert choose_advertised(reversed(nodes), 6) == advertised
    assert len(set(after) & set(advertised)) == 5


@pytest.mark.parametrize(("node_count", "advertised_count"), [(6, 6), (90, 6)])
def test_shares_of_all_nodes_add_up_to_the_limit(
    node_count: int, advertised_count: int
) -> None:
    names = [f"node-{number}" for number in range(1, node_count + 1)]
    total = 0.0
    for position, own_name in enumerate(names):
        nodes = EdgeNodes(info(own_name), 0.0)
        for name in names:
            nodes.record_heartbeat(heartbeat(name), 0.0)
        is_advertised = position < advertised_count
        total += 1 / nodes.share_divisor(is_advertised, advertised_count, 0.1)

    assert total == pytest.approx(1.0)


def test_node_that_knows_few_running_nodes_uses_an_equal_share() -> None:
    nodes = EdgeNodes(info("node-1"), 0.0)
    for number in range(2, 11):
        nodes.put_registered(info(f"node-{number}"), number)
    nodes.record_heartbeat(heartbeat("node-2"), 0.0)

    assert nodes.share_divisor(True, 2, 0.1) == 10


def test_nodes_with_more_cpu_time_are_advertised_first() -> None:
    nodes = [
        info(f"node-{number}")._replace(cpu_cores=0.5 + number % 4 * 0.5)
        for number in range(1, 13)
    ]

    assert {node.cpu_cores for node in choose_advertised(nodes, 3)} == {2.0}


def relay_names(nodes: EdgeNodes, excluded: set[str]) -> set[str]:
    chosen = [nodes.choose_relay(1, excluded, 0.1) for _ in range(12)]
    return {info.name for info in chosen if info is not None}


def test_requests_are_handed_only_to_nodes_that_reach_servers() -> None:
    nodes = EdgeNodes(info("node-1"), 0.0)
    for beat in (
        heartbeat("node-2")._replace(lacks_servers=True),
        heartbeat("node-3", is_serving=False),
        heartbeat("node-4")._replace(configuration_revision=0),
        heartbeat("node-5"),
        heartbeat("node-6"),
    ):
        nodes.record_heartbeat(beat, 0.0)

    assert relay_names(nodes, set()) == {"node-5", "node-6"}
    assert relay_names(nodes, {"node-5"}) == {"node-6"}
    assert relay_names(nodes, {"node-5", "node-6"}) == set()
    assert [node.name for node in nodes.with_servers(100.0)] == []
