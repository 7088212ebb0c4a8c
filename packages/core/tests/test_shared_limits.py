"""Guards against nodes that together exceed a limit for all nodes."""

import random

import pytest

from mulberrybay_core.shared_limits import (
    ColdServerRateLimit,
    RetryBudget,
    RetryBudgetSettings,
)

SETTINGS = RetryBudgetSettings(ratio=0.2, window_s=10.0, slack_count=56)


@pytest.mark.parametrize("node_count", [1, 3, 8])
@pytest.mark.parametrize("seed", range(4))
def test_retries_of_all_nodes_stay_within_ratio_and_slack(
    node_count: int, seed: int
) -> None:
    source = random.Random(seed)
    nodes = [RetryBudget(SETTINGS) for _ in range(node_count)]
    for node in nodes:
        node.share_divisor = node_count
    requests: list[float] = []
    retries: list[float] = []
    now_s = 0.0
    for _ in range(6000):
        now_s += source.expovariate(100)
        node = source.choice(nodes)
        node.record_request("search", now_s)
        requests.append(now_s)
        # A retry is attempted for every request.
        if node.reserve("search", now_s):
            retries.append(now_s)

    for end_s in [now_s * share / 40 for share in range(1, 41)]:
        start_s = end_s - SETTINGS.window_s
        request_count = sum(start_s < at_s <= end_s for at_s in requests)
        retry_count = sum(start_s < at_s <= end_s for at_s in retries)
        assert retry_count <= 0.2 * request_count + SETTINGS.slack_count


def test_each_service_has_its_own_retry_budget() -> None:
    budget = RetryBudget(SETTINGS)
    while budget.reserve("search", 0.0):
        pass

    assert budget.reserve("billing", 0.0)


@pytest.mark.parametrize("node_count", [1, 6])
def test_rate_limit_of_a_cold_server_holds_for_all_nodes_together(
    node_count: int,
) -> None:
    per_s = 12.0
    nodes = [ColdServerRateLimit() for _ in range(node_count)]
    sent: list[float] = []
    for step in range(4000):
        now_s = step / 1000
        for node in nodes:
            node.node_count = node_count
            if now_s >= node.next_at_s("i-1"):
                node.reserve("i-1", per_s, now_s)
                sent.append(now_s)

    for start_s in range(3):
        count = sum(start_s <= at_s < start_s + 1 for at_s in sent)
        # In the first second, one request of each node may be sent at once.
        assert count <= per_s + node_count
