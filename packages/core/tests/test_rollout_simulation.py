"""Guards against wrong decisions of rollouts, over a simulated load.

Nodes, servers, heartbeats and the store are simulated with seeded delays. The
bounds come from what callers need; docs/design/rollouts.md has the measured
table.
"""

import heapq
import itertools
import math
import random
from collections.abc import Callable
from typing import NamedTuple

import pytest

from mulberrybay_core.addresses import Address
from mulberrybay_core.placement import (
    PlacementQuery,
    ServerState,
    choose_server,
)
from mulberrybay_core.rollouts import (
    NodeRollouts,
    RolloutOrder,
    RolloutState,
    RolloutStatus,
    RolloutTerms,
)
from mulberrybay_core.server_directory import KnownServer, ServerEntry

TERMS = RolloutTerms(expose_share=0.1, expose_slack_count=50, rollback_s=5.0)
SERVICE = "search"
OLD, NEW = "v1", "v2"
ORDER_AT_S = 5.0
DURATION_S = 12.0
SLOT_COUNT = 2
TYPICAL_LATENCY_S = 0.04
ROUTES = ("a", "b", "c")
SEEDS = range(40)


class Load(NamedTuple):
    """One kind of load.

    Attributes:
        rate_per_s: Requests for the service.
        bad_ratio: Additional bad replies of the new version.
        latency_ratio: The latency of the new version against the old one.
        common_bad_ratio: Bad replies of both versions.
        bad_route: The only route with the fault; all if empty.
        fault_at_s: The age of the order at which the fault appears.
        burst_ratio: The rate and the latency from second 3 to 6 of the order,
            as a multiple.
        node_count: The nodes.
        lost_node_count: The nodes that are lost 4 s after the order.
        silent_store_s: How long the store does not answer from second 2 on.
        cold_s: How long new servers are cold.
        server_sd: Standard deviation of the logarithm of a server's latency.
        slow_server_ratio: The latency of one server of each version against
            the others.
    """

    rate_per_s: float = 15.0
    bad_ratio: float = 0.0
    latency_ratio: float = 1.0
    common_bad_ratio: float = 0.002
    bad_route: str = ""
    fault_at_s: float = 0.0
    burst_ratio: float = 1.0
    node_count: int = 6
    lost_node_count: int = 0
    silent_store_s: float = 0.0
    cold_s: float = 1.0
    server_sd: float = 0.15
    slow_server_ratio: float = 1.0


class Outcome(NamedTuple):
    """How a simulated rollout ended.

    Attributes:
        state: The state in the store at the deadline.
        request_count: Requests between the order and the deadline.
        new_count: Those sent to the new version until the promote step.
        late_count: Requests to a bad version later than the bound after its
            50th bad reply.
        old_count: Requests to old servers after the rollout was completed, not
            counting those while the status was on its way.
    """

    state: RolloutState
    request_count: int
    new_count: int
    late_count: int
    old_count: int


class Simulation:
    """One rollout of a service, with nodes, servers, callers and a store."""

    def __init__(self, load: Load, seed: int) -> None:
        self.load = load
        self.random = random.Random(seed)
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = itertools.count()
        self.now_s = 0.0
        self.nodes = [
            NodeRollouts(TERMS, random.Random(seed * 100 + index))
            for index in range(load.node_count)
        ]
        for node in self.nodes:
            node.share_divisor = load.node_count
            node.finish_first_list()
        self.running = list(range(load.node_count))
        self.servers = [self.server(OLD, index) for index in range(3)]
        self.speeds: dict[str, float] = {}
        self.busy: dict[str, int] = {}
        self.states: dict[tuple[int, str], ServerState] = {}
        self.order = RolloutOrder(SERVICE, NEW, DURATION_S, 1)
        self.status: RolloutStatus | None = None
        self.is_writing = False
        self.sent_at_s: list[float] = []
        self.bad_at_s: list[float] = []
        self.old_at_s: list[float] = []
        self.request_count = self.new_count = 0
        self.written_at_s = self.final_at_s = math.inf

    def server(self, version: str, index: int) -> KnownServer:
        cold_s = self.load.cold_s if version == NEW else 0.0
        address = Address("127.0.0.1", 1)
        name = f"{version}-{index}"
        entry = ServerEntry(
            name, SERVICE, address, "d", SLOT_COUNT, False, cold_s, 1, version
        )
        return KnownServer(entry, self.now_s)

    def at(self, delay_s: float, action: Callable[[], None]) -> None:
        event = self.now_s + delay_s, next(self.sequence), action
        heapq.heappush(self.events, event)

    def run(self) -> Outcome:
        self.at(self.random.expovariate(self.load.rate_per_s), self.arrive)
        self.at(ORDER_AT_S, self.announce)
        for index in range(3):
            delay_s = ORDER_AT_S + 0.3 + 0.4 * index
            self.at(delay_s, lambda i=index: self.add_server(i))
        for index in range(self.load.node_count):
            self.at(self.random.random(), lambda i=index: self.heartbeat(i))
        self.at(ORDER_AT_S, self.write)
        if self.load.lost_node_count:
            self.at(ORDER_AT_S + 4, self.lose_nodes)
        end_s = ORDER_AT_S + DURATION_S
        while self.events and self.events[0][0] < end_s:
            self.now_s, _, action = heapq.heappop(self.events)
            action()
        late_count = 0
        if len(self.bad_at_s) >= 50:
            bound_s = self.bad_at_s[49] + TERMS.rollback_s
            late_count = sum(at_s > bound_s for at_s in self.sent_at_s)
        state = self.status.state if self.status else RolloutState.RUNNING
        old_count = sum(at_s > self.final_at_s + 1.2 for at_s in self.old_at_s)
        return Outcome(
            state, self.request_count, self.new_count, late_count, old_count
        )

    def add_server(self, index: int) -> None:
        self.servers.append(self.server(NEW, index))

    def lose_nodes(self) -> None:
        self.running = self.running[: -self.load.lost_node_count]
        for node in self.nodes:
            for index in range(len(self.running), self.load.node_count):
                node.forget_node(f"n{index}")

    # The store.

    def announce(self) -> None:
        """Shows the object to each node after the delay of its watch."""
        shown = self.order, self.status
        for index in range(self.load.node_count):

            def show(node: NodeRollouts = self.nodes[index]) -> None:
                node.set_order(*shown, self.now_s)

            self.at(self.random.uniform(0.05, 0.6), show)

    def write(self) -> None:
        self.at(0.2, self.write)
        age_s = self.now_s - ORDER_AT_S
        is_silent = 2 <= age_s < 2 + self.load.silent_store_s
        if self.is_writing or is_silent:
            return
        writer = self.nodes[self.running[0]]
        for order, status in writer.due_statuses(self.now_s, self.have_seen):
            self.is_writing = True
            self.at(
                self.random.uniform(0.05, 0.5),
                lambda order=order, status=status: self.take(order, status),
            )

    def have_seen(self, order: RolloutOrder) -> bool:
        # Every watch has shown a change after 0.6 s, and heartbeats tell.
        return self.now_s - self.written_at_s > 1.2

    def take(self, order: RolloutOrder, status: RolloutStatus) -> None:
        self.is_writing = False
        if order.object_version != self.order.object_version:
            return
        self.written_at_s = self.now_s
        self.status = status
        if status.state is RolloutState.COMPLETED:
            self.final_at_s = self.now_s
        version = self.order.object_version + 1
        self.order = self.order._replace(object_version=version)
        self.announce()

    def heartbeat(self, index: int) -> None:
        """Sends the counts to two hubs, or those of a hub to all nodes."""
        if index not in self.running:
            return
        self.at(self.random.uniform(0.4, 1.5), lambda: self.heartbeat(index))
        reports = self.nodes[index].reports(self.now_s)
        receivers = self.running if index < 2 else self.running[:2]
        for receiver in receivers:
            if receiver != index and self.random.random() < 0.95:
                self.nodes[receiver].merge(f"n{index}", 1, reports, self.now_s)

    # Requests.

    def burst(self) -> float:
        is_burst = 3 <= self.now_s - ORDER_AT_S < 6
        return self.load.burst_ratio if is_burst else 1.0

    def arrive(self) -> None:
        rate_per_s = self.load.rate_per_s * self.burst()
        self.at(self.random.expovariate(rate_per_s), self.arrive)
        node = self.nodes[self.random.choice(self.running)]
        node.record_request(SERVICE, self.now_s)
        self.request_count += self.now_s >= ORDER_AT_S
        self.attempt(node, self.random.choice(ROUTES), 1)

    def attempt(self, node: NodeRollouts, route: str, retry_count: int) -> None:
        servers = node.select(SERVICE, self.servers, self.now_s)
        servers = node.narrow(SERVICE, servers, self.now_s)
        if not servers:
            return
        states = [
            self.states.setdefault(
                (id(node), item.entry.server_id), ServerState()
            )
            for item in servers
        ]
        server = choose_server(
            list(zip(servers, states, strict=True)),
            PlacementQuery(self.now_s, TYPICAL_LATENCY_S, "d"),
            self.random,
        )
        assert server is not None
        name, version = server.entry.server_id, server.entry.version
        node.record_sent(SERVICE, version, self.now_s)
        if version == NEW:
            self.sent_at_s.append(self.now_s)
            step = self.status.step if self.status else "canary"
            self.new_count += step == "canary"
        else:
            self.old_at_s.append(self.now_s)
        state = self.states[id(node), name]
        key = next(self.sequence)
        state.in_flight[key] = self.now_s
        self.busy[name] = self.busy.get(name, 0) + 1
        speed = self.speeds.get(name)
        if speed is None:
            speed = self.random.lognormvariate(0, self.load.server_sd)
            if name.endswith("-0"):
                speed *= self.load.slow_server_ratio
            self.speeds[name] = speed
        ratio = speed * self.random.lognormvariate(0, 0.35) * self.burst()
        ratio *= max(1.0, self.busy[name] / SLOT_COUNT)
        is_bad = self.random.random() < self.load.common_bad_ratio
        if version == NEW and self.has_fault(route):
            ratio *= self.load.latency_ratio
            is_bad |= self.random.random() < self.load.bad_ratio
        is_cold = self.now_s < server.cold_until_s

        def reply() -> None:
            self.busy[name] -= 1
            del state.in_flight[key]
            if is_bad:
                state.record_failure(self.now_s)
            else:
                state.record_success(ratio, self.now_s)
            if is_bad and version == NEW:
                self.bad_at_s.append(self.now_s)
            shown_ratio = 0.0 if is_cold else ratio
            node.record_reply(
                SERVICE, version, route, is_bad, shown_ratio, self.now_s
            )
            if is_bad and retry_count:
                self.attempt(node, route, retry_count - 1)

        self.at(TYPICAL_LATENCY_S * ratio, reply)

    def has_fault(self, route: str) -> bool:
        load = self.load
        is_due = self.now_s - ORDER_AT_S >= load.fault_at_s
        return is_due and load.bad_route in {"", route}


def play(load: Load, seeds: range) -> list[Outcome]:
    outcomes = [Simulation(load, seed).run() for seed in seeds]
    for outcome in outcomes:
        bound = TERMS.expose_share * outcome.request_count
        assert outcome.new_count <= bound + TERMS.expose_slack_count
        assert outcome.late_count == 0
        assert outcome.old_count == 0
    return outcomes


def ratio_of(outcomes: list[Outcome], state: RolloutState) -> float:
    return sum(item.state is state for item in outcomes) / len(outcomes)


# Bounds in ratios of the plays. A missed bad version costs callers far more
# than a good one that is rolled back and ordered again.
@pytest.mark.parametrize("rate_per_s", [2.0, 15.0, 100.0])
@pytest.mark.parametrize(
    ("load", "min_ratio"),
    [
        (Load(bad_ratio=0.3), 0.95),
        (Load(latency_ratio=2.0), 0.85),
        (Load(latency_ratio=3.0), 0.95),
        (Load(latency_ratio=5.0), 0.95),
        (Load(latency_ratio=3.0, server_sd=0.3, cold_s=3.5), 0.95),
    ],
    ids=[
        "30 % bad",
        "twice the latency",
        "3 times",
        "5 times",
        "3 times, servers cold and of different speed",
    ],
)
def test_bad_version_is_rolled_back(
    rate_per_s: float, load: Load, min_ratio: float
) -> None:
    outcomes = play(load._replace(rate_per_s=rate_per_s), SEEDS)

    assert ratio_of(outcomes, RolloutState.ROLLED_BACK) >= min_ratio


@pytest.mark.parametrize(
    ("load", "min_ratio"),
    [
        (Load(bad_ratio=0.05), 0.75),
        (Load(bad_ratio=0.3, bad_route="a"), 0.9),
        (Load(bad_ratio=0.3, fault_at_s=6.0), 0.9),
        (Load(latency_ratio=3.0, bad_route="a"), 0.9),
        (Load(bad_ratio=0.3, fault_at_s=9.0), 0.85),
        (Load(latency_ratio=3.0, fault_at_s=9.0), 0.75),
    ],
    ids=[
        "5 % bad",
        "bad on a route",
        "bad from second 6",
        "slow on a route",
        "bad after the canary",
        "slow after the canary",
    ],
)
def test_lesser_faults_are_found_at_a_usual_rate(
    load: Load, min_ratio: float
) -> None:
    outcomes = play(load, SEEDS)

    assert ratio_of(outcomes, RolloutState.ROLLED_BACK) >= min_ratio


@pytest.mark.parametrize(
    ("load", "min_ratio"),
    [
        (Load(rate_per_s=2.0), 0.85),
        (Load(), 0.8),
        (Load(rate_per_s=100.0), 0.8),
        (Load(common_bad_ratio=0.0), 0.9),
        (Load(common_bad_ratio=0.05), 0.7),
        (Load(burst_ratio=2.0), 0.75),
        (Load(lost_node_count=2), 0.8),
        (Load(silent_store_s=4.0), 0.8),
        (Load(cold_s=3.5), 0.8),
        (Load(server_sd=0.3, common_bad_ratio=0.0), 0.75),
        (Load(slow_server_ratio=3.0, common_bad_ratio=0.0), 0.7),
    ],
    ids=[
        "2 a second",
        "15 a second",
        "100 a second",
        "no failures",
        "failures of both versions",
        "burst",
        "nodes lost",
        "store silent",
        "new servers cold for long",
        "servers of different speed",
        "a slow server of each version",
    ],
)
def test_good_version_is_completed_in_time(
    load: Load, min_ratio: float
) -> None:
    outcomes = play(load, SEEDS)

    assert ratio_of(outcomes, RolloutState.COMPLETED) >= min_ratio


@pytest.mark.parametrize("node_count", [1, 24, 82])
def test_number_of_nodes_does_not_change_the_decision(node_count: int) -> None:
    good = play(Load(node_count=node_count), SEEDS[:20])
    bad = play(Load(node_count=node_count, bad_ratio=0.3), SEEDS[:20])

    assert ratio_of(good, RolloutState.COMPLETED) >= 0.8
    assert ratio_of(bad, RolloutState.ROLLED_BACK) >= 0.95
