"""Quotas that nodes share: the sum in any window, and refusals below the quota."""

import random
from typing import Any

import pytest
from hypothesis import given, settings, strategies
from quota_fleet import TERMS, QuotaFleet

from mulberrybay_core.tenants.keys import Tenant
from mulberrybay_core.tenants.quotas import (
    Contact,
    NodeQuotas,
    TenantDemand,
    tenant_key,
)

TENANT_COUNT = 83
ALL_PER_S = 300.0
WARM_UP_S = 16.0
HOT_S = 20.0
HOT_FACTOR = 7.5
# How long a caller stays with a node.
MEAN_STAY_S = 8.0
# The ratio of callers that use a node that isn't advertised.
PLAIN_NODE_RATIO = 0.02
# Callers of one tenant, at most.
MAX_CALLER_COUNT = 8


class _Load:
    """Callers of tenants of very uneven size, who stay with a node for a while."""

    def __init__(
        self, count: int, seed: int, limit_ratio: float, burst_s: float
    ) -> None:
        self.random = random.Random(seed)
        weights = [1 / (number + 1) for number in range(TENANT_COUNT)]
        scale = ALL_PER_S / sum(weights)
        self.usual_per_s = {
            f"tenant-{number}": weight * scale
            for number, weight in enumerate(weights)
        }
        self.factors = dict.fromkeys(self.usual_per_s, 1.0)
        self.fleet = QuotaFleet(
            count,
            [
                Tenant(name, (), None, per_s * limit_ratio, per_s * burst_s)
                for name, per_s in self.usual_per_s.items()
            ],
            self.random,
        )
        # Nodes that have just started don't count on room in a window.
        self.fleet.advance(TERMS.window_s + 1)
        for name, per_s in self.usual_per_s.items():
            caller_count = max(2, min(MAX_CALLER_COUNT, int(per_s)))
            for _ in range(caller_count):
                self._call(name, per_s / caller_count)

    def _call(self, name: str, per_s: float) -> None:
        fleet, rng = self.fleet, self.random
        node = 0

        def move() -> None:
            nonlocal node
            is_plain = rng.random() < PLAIN_NODE_RATIO
            count = fleet.count if is_plain else fleet.advertised_count
            node = rng.randrange(count)
            fleet.call_later(rng.expovariate(1 / MEAN_STAY_S), move)

        def arrive() -> None:
            fleet.submit(node, name)
            wait()

        def wait() -> None:
            rate_per_s = per_s * self.factors[name]
            fleet.call_later(rng.expovariate(rate_per_s), arrive)

        move()
        wait()


@pytest.mark.parametrize(
    ("count", "hot", "limit_ratio", "burst_s", "loss_ratio", "max_below_ratio"),
    [
        (6, "tenant-0", 2.0, 0.0, 0.0, 0.005),
        (6, "tenant-20", 1.3, 1.0, 0.2, 0.02),
        (82, "tenant-2", 2.0, 0.0, 0.0, 0.02),
        (82, "tenant-0", 1.3, 1.0, 0.2, 0.04),
        (300, "tenant-2", 2.0, 0.0, 0.0, 0.02),
    ],
)
def test_hot_tenant_stays_near_its_quota_and_others_are_hardly_refused(
    count: int,
    hot: str,
    limit_ratio: float,
    burst_s: float,
    loss_ratio: float,
    max_below_ratio: float,
) -> None:
    load = _Load(count, 1, limit_ratio, burst_s)
    fleet = load.fleet
    fleet.loss_ratio = loss_ratio
    fleet.advance(WARM_UP_S)
    fleet.served.clear()
    fleet.refused_below.clear()
    load.factors[hot] = HOT_FACTOR
    fleet.advance(HOT_S)

    runs = fleet.runs(hot)
    limit_count = fleet.limits[hot]
    others = [name for name in load.usual_per_s if name != hot]
    served_count = sum(fleet.served[name] for name in others)
    below_count = sum(fleet.refused_below[name] for name in others)
    print(
        f"{count} nodes, loss {loss_ratio}: {hot} of {limit_count:.0f} in a "
        f"window: {runs}; of {served_count + below_count} requests of the "
        f"others, {below_count} refused below their quotas; told at once "
        f"{fleet.told_at_once_count} times"
    )
    fleet.assert_in_bounds()
    assert below_count <= max_below_ratio * (served_count + below_count)
    window_count = HOT_S / TERMS.window_s
    assert runs.served_count >= 0.9 * limit_count * window_count


steps = strategies.lists(
    strategies.fixed_dictionaries(
        {
            "span_s": strategies.floats(0.2, 3.0),
            "demand_ratio": strategies.floats(0.0, 8.0),
            "first_node": strategies.integers(0, 19),
            "node_count": strategies.integers(1, 10),
            "restarted_count": strategies.sampled_from([0, 0, 1, 3]),
        }
    ),
    min_size=1,
    max_size=6,
)


def play(
    fleet: QuotaFleet, rate_per_s: float, steps: list[dict[str, float]]
) -> None:
    """Sends requests for the only tenant, and restarts nodes before each step."""
    rng = fleet.random
    for step in steps:
        for number in range(int(step["restarted_count"])):
            fleet.nodes[number % fleet.count].start()
        end_s = fleet.now_s + step["span_s"]
        demand_per_s = step["demand_ratio"] * rate_per_s
        while demand_per_s > 0.1 and fleet.now_s < end_s:
            fleet.advance(rng.expovariate(demand_per_s))
            offset = rng.randrange(int(step["node_count"]))
            number = int(step["first_node"]) + offset
            fleet.submit(number % fleet.count, "t")
        fleet.advance(max(0.0, end_s - fleet.now_s))
    fleet.assert_in_bounds()


def make_fleet(count: int, rate_per_s: float) -> QuotaFleet:
    tenants = [Tenant("t", (), None, rate_per_s, 0.0)]
    fleet = QuotaFleet(count, tenants, random.Random(1))
    fleet.advance(TERMS.window_s + 1)
    return fleet


RATES_PER_S = strategies.sampled_from([2.0, 20.0, 100.0])
EXAMPLES = settings(
    max_examples=60, deadline=None, derandomize=True, database=None
)


@EXAMPLES
@given(
    count=strategies.sampled_from([2, 6, 20]),
    rate_per_s=RATES_PER_S,
    loss_ratio=strategies.sampled_from([0.0, 0.1, 0.3]),
    steps=steps,
)
def test_sum_stays_in_bounds_with_lost_heartbeats_and_restarts(
    count: int,
    rate_per_s: float,
    loss_ratio: float,
    steps: list[dict[str, float]],
) -> None:
    fleet = make_fleet(count, rate_per_s)
    fleet.loss_ratio = loss_ratio
    play(fleet, rate_per_s, steps)


@EXAMPLES
@given(
    count=strategies.sampled_from([2, 6, 20]),
    rate_per_s=RATES_PER_S,
    side_count=strategies.sampled_from([2, 3, 20]),
    steps=steps,
)
def test_sum_stays_in_bounds_among_nodes_that_do_not_know_of_each_other(
    count: int,
    rate_per_s: float,
    side_count: int,
    steps: list[dict[str, float]],
) -> None:
    fleet = make_fleet(count, rate_per_s)
    fleet.side_of = lambda number: number % side_count
    fleet.advance(8.0)
    play(fleet, rate_per_s, steps)


@pytest.mark.parametrize("demand_ratio", [0.5, 1.0, 2.0, 7.5])
def test_sum_stays_in_bounds_as_a_partition_begins_with_a_rise_of_demand(
    demand_ratio: float,
) -> None:
    fleet = make_fleet(6, 100.0)
    fleet.side_of = lambda number: number % 2
    step = {"span_s": 8.0, "first_node": 0, "node_count": 6}
    step |= {"demand_ratio": demand_ratio, "restarted_count": 0}
    play(fleet, 100.0, [step])


class _CountedDemands(dict[str, TenantDemand]):
    """Counts how often what all nodes have told is read."""

    read_count = 0

    def values(self) -> Any:  # noqa: ANN401
        self.read_count += 1
        return super().values()


@pytest.mark.parametrize("is_hub", [False, True])
def test_work_for_a_request_does_not_grow_with_the_nodes_that_are_heard(
    is_hub: bool,
) -> None:
    names = [f"node-{number}" for number in range(300)]
    quotas = NodeQuotas(TERMS)
    quotas.set_tenants([Tenant("red", (), None, 1000.0)], 0.0)
    quotas.set_contact(Contact(1.0, 0.01, is_hub, frozenset(names)), 0.0)
    heard = quotas._quotas["red"].heard = _CountedDemands()
    told = TenantDemand(tenant_key("red"), 1.0, 5, 1.0, 5)
    for name in names:
        quotas.merge(name, [told])
    for number in range(200):
        quotas.take("red", 10.0 + number / 1000)
    assert heard.read_count <= 4
    assert quotas.uses(10.2)[0].used_ratio > 300 * 5 / 5000

    quotas.merge(names[0], [told._replace(own_count=2000)])
    assert quotas.uses(10.2)[0].used_ratio > (299 * 5 + 2000) / 5000
    quotas.lose(names[0], 10.2)
    assert names[0] not in heard
    assert quotas.uses(10.2)[0].used_ratio > (299 * 5 + 2000) / 5000
    assert quotas.uses(20.0)[0].used_ratio < (299 * 5 + 2000) / 5000
