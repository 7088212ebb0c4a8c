"""Shares of limits in the first moments of a node."""

from typing import Any

import pytest

from mulberrybay_core.addresses import Address
from mulberrybay_core.edge_nodes import (
    EdgeHeartbeat,
    EdgeNodeInfo,
    EdgeNodes,
    choose_advertised,
)
from mulberrybay_core.follow_times import DEFAULT_FOLLOW_TIMES
from mulberrybay_core.server_directory import ServerDirectory
from mulberrybay_core.server_reach import ServerReach
from mulberrybay_core.shared_limits import (
    ColdServerRateLimit,
    RetryBudget,
    RetryBudgetSettings,
)
from mulberrybay_edge import fleet_sharing
from mulberrybay_edge.fleet_sharing import FleetSharing
from mulberrybay_edge.tenant_gate import TenantGate

NODE_COUNT = 195
DOMAIN_COUNT = 5
SLACK_COUNT = 168.0


def make_info(number: int) -> EdgeNodeInfo:
    # The nodes with more CPU time are hubs and are advertised.
    return EdgeNodeInfo(
        f"node-{number}",
        1,
        f"domain-{number % DOMAIN_COUNT}",
        Address(f"10.0.{number // 250}.{number % 250}", 80),
        Address(f"10.0.{number // 250}.{number % 250}", 90),
        2.0 if number < 20 else 0.5,
    )


class _Dispatcher:
    """The counters and shares that the sharing sets."""

    def __init__(self) -> None:
        self.sent_count = 0
        self.share_divisor = 1.0
        self.is_advertised = True


class _StartedNode:
    """A node 0.5 s after its start, in a fleet that starts together."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, number: int) -> None:
        self.now_s = 100.0
        monkeypatch.setattr(fleet_sharing, "read_clock_s", lambda: self.now_s)
        infos = [make_info(n) for n in range(NODE_COUNT)]
        self.nodes = EdgeNodes(infos[number], self.now_s)
        self.nodes.replace_registered([(info, 7) for info in infos])
        self.budget = RetryBudget(RetryBudgetSettings(0.2, 10.0, SLACK_COUNT))
        dispatcher: Any = _Dispatcher()
        self.dispatcher = dispatcher
        self.directory = ServerDirectory()
        self.reach = ServerReach(self.now_s)
        self.sharing = FleetSharing(
            self.nodes,
            self.directory,
            dispatcher,
            self.budget,
            ColdServerRateLimit(),
            [],
            lambda: True,
            self.reach,
            DEFAULT_FOLLOW_TIMES,
            TenantGate(None, lambda: self.now_s),
        )
        self.now_s += 0.5
        self.sharing.update()

    def hear(self, numbers: range) -> None:
        for number in numbers:
            beat = EdgeHeartbeat(make_info(number), True, 1, is_hub=True)
            self.nodes.record_heartbeat(beat, self.now_s)
        self.sharing.update()

    def retry_count(self) -> float:
        return self.budget.available_count("shard-1", self.now_s)


def test_advertised_node_may_hedge_as_soon_as_it_has_heard_the_hubs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """After a loss of all power, each query meets shards that pause.

    The window of its requests is still empty, so only the slack counts.
    """
    infos = [make_info(number) for number in range(NODE_COUNT)]
    first = choose_advertised(infos, 2 * DOMAIN_COUNT)[0]
    node = _StartedNode(monkeypatch, infos.index(first))
    # An equal share of the slack would be less than one retry.
    assert node.retry_count() >= 1

    node.hear(range(20))

    assert node.dispatcher.is_advertised
    assert node.retry_count() >= 10


def test_node_that_has_heard_nobody_uses_little(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """All hubs that hear nobody together stay within the slack."""
    hubs = [_StartedNode(monkeypatch, number) for number in range(20)]
    member = _StartedNode(monkeypatch, 50)

    total = sum(hub.retry_count() for hub in hubs)
    total += (NODE_COUNT - 20) * member.retry_count()

    assert total <= SLACK_COUNT


def test_node_that_does_not_know_the_others_has_no_share_of_a_server_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    node = _StartedNode(monkeypatch, 3)
    node.nodes.has_registrations = False
    node.sharing.update()
    assert node.directory.limit_share_ratio == 0.0

    node.nodes.has_registrations = True
    node.hear(range(20))
    assert 0.0 < node.directory.limit_share_ratio < 0.2


def lose_servers(reach: ServerReach) -> None:
    for server_id in reach.start_round(["i-1"], 100.0):
        reach.record_failed(server_id)


def test_nodes_without_servers_are_named_only_if_all_lack_them(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    node = _StartedNode(monkeypatch, 3)
    for number in range(20):
        beat = EdgeHeartbeat(
            make_info(number), True, 1, is_hub=True, lacks_servers=number != 7
        )
        node.nodes.record_heartbeat(beat, node.now_s)
    lose_servers(node.reach)
    named = [info.name for info in node.sharing.choose_advertised()]
    assert named == ["node-7"]

    beat = EdgeHeartbeat(make_info(7), True, 1, is_hub=True, lacks_servers=True)
    node.nodes.record_heartbeat(beat, node.now_s)

    assert len(node.sharing.choose_advertised()) == 10
