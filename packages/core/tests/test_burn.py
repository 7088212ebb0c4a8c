"""Counts, windows and burn rates of the service-level report."""

import random

import pytest

from mulberrybay_core.burn import (
    SERIES_COUNT,
    BurnCounts,
    BurnHistory,
    BurnState,
    ClassBurn,
    Contributor,
    Objective,
    RequestEnd,
    add_counts,
    burn_rate,
    burn_state,
    count_request,
)
from mulberrybay_core.burn_merge import merge_nodes, rank_domains
from mulberrybay_core.configuration import Configuration, Targets, WorkClass
from mulberrybay_core.fleet import EMPTY_FLEET
from mulberrybay_core.operator_messages import NodeBurn
from mulberrybay_core.service_levels import (
    MAX_TRACKED_SERVER_COUNT,
    ServiceLevels,
)

TARGETS = Targets(60, 99, 95, 8)
SEARCH = WorkClass("field-search", False, TARGETS)
CONFIGURATION = Configuration(
    1, "c", "a", 0.0, (SEARCH,), frozenset(), frozenset()
)


@pytest.mark.parametrize(
    ("end", "late_count", "missing_count", "extra_count"),
    [
        (RequestEnd(0.060, True, 20, 20, 20), 0, 0, 0),
        (RequestEnd(0.061, True, 20, 20, 22), 1, 0, 2),
        (RequestEnd(0.010, True, 20, 19, 19), 0, 1, 0),
        (RequestEnd(0.010, False, 20, 0, 25), 1, 20, 5),
        (RequestEnd(0.0, False), 1, 0, 0),
    ],
)
def test_request_is_counted_by_its_outcome(
    end: RequestEnd, late_count: int, missing_count: int, extra_count: int
) -> None:
    """Fails if a request counts as late, missing or extra load wrongly."""
    counts = count_request(end, TARGETS)
    assert counts == BurnCounts(
        1, late_count, end.shard_count, missing_count, extra_count
    )


@pytest.mark.parametrize(
    ("objective", "targets", "rate"),
    [
        (Objective.LATENESS, TARGETS, 2.0),
        (Objective.COVERAGE, TARGETS, 0.2),
        (Objective.EXTRA_LOAD, TARGETS, 0.5),
        (Objective.COVERAGE, TARGETS._replace(coverage_percent=100), 100.0),
    ],
)
def test_burn_rate_is_bad_percent_over_allowed_percent(
    objective: Objective, targets: Targets, rate: float
) -> None:
    """Guards each burn rate, also if no event is counted or allowed.

    A target of 100 % allows no bad events, and a class without events has
    none to divide by; neither may divide by zero.
    """
    counts = BurnCounts(100, 2, 2000, 20, 80)
    assert burn_rate(objective, targets, counts) == pytest.approx(rate)
    assert burn_rate(objective, targets, BurnCounts()) == 0


@pytest.mark.parametrize(
    ("short_rate", "long_rate", "state"),
    [
        (50, 0.5, BurnState.OK),
        (0.5, 50, BurnState.OK),
        (1.5, 50, BurnState.BURNING),
        (50, 10, BurnState.BURNING_FAST),
    ],
)
def test_state_needs_both_windows(
    short_rate: float, long_rate: float, state: BurnState
) -> None:
    """Fails if a recent spike or an old one alone raises a state."""
    assert burn_state(short_rate, long_rate) is state


def test_windows_agree_with_recorded_times() -> None:
    """Compares windows and series with counts taken from the recorded times.

    Guards against buckets that are dropped too early or counted too long,
    after short and long gaps between the requests.
    """
    source = random.Random(7)
    history, times = BurnHistory(), []
    now_s = 1000.0
    while now_s < 9000:
        now_s += source.choice([0.01, 3.0, 700.0])
        times.append(now_s)
        history.record(now_s, BurnCounts(1))
        for window_s in (300.0, 3600.0):
            counted = history.window(now_s, window_s).answer_count
            ages = [now_s - at_s for at_s in times]
            # A window may be up to one bucket shorter than its length.
            assert sum(age < window_s - 10 for age in ages) <= counted
            assert counted <= sum(age <= window_s for age in ages)
        series = history.series(now_s)
        assert len(series) == 60
        long = history.window(now_s, 3600.0)
        assert add_counts(series).answer_count == long.answer_count
    assert history.total.answer_count == len(times)


def test_bad_attempt_counts_use_bounded_memory() -> None:
    """Fails if many failing servers grow the counters without limit.

    The server with the most bad attempts must stay among the counters, and
    must be gone once its attempts are older than the long window.
    """
    levels = ServiceLevels()
    for number in range(20 * MAX_TRACKED_SERVER_COUNT):
        levels.record_bad_attempt(10.0, SEARCH.name, "bad", False)
        levels.record_bad_attempt(10.0, SEARCH.name, f"vm-{number}", True)
    bad_attempts = levels.classes[SEARCH.name].servers
    assert len(bad_attempts._current) <= 2 * MAX_TRACKED_SERVER_COUNT
    burn = levels.burn(20.0, CONFIGURATION, EMPTY_FLEET)
    nodes = [make_node("node-1", 1, *burn), make_node("node-2", 1, *burn)]
    worst = merge_nodes(nodes)[0].contributors
    assert len(worst) == 10
    assert worst[0].server_id == "bad"
    assert worst[0].slow_count == 40 * MAX_TRACKED_SERVER_COUNT
    assert rank_domains(worst)[0][0] == "unlisted"
    assert levels.burn(9000.0, CONFIGURATION, EMPTY_FLEET)[0].contributors == ()


def make_burn(
    answer_count: int = 0,
    contributors: tuple[Contributor, ...] = (),
    targets: Targets = TARGETS,
) -> ClassBurn:
    counts = BurnCounts(answer_count)
    series = (BurnCounts(),) * (SERIES_COUNT - 1) + (counts,)
    return ClassBurn(
        SEARCH.name, targets, counts, counts, counts, series, contributors
    )


def make_node(node_id: str, revision: int, *classes: ClassBurn) -> NodeBurn:
    return NodeBurn(node_id, 60.0, revision, classes)


def test_worst_server_overall_need_not_rank_high_on_any_node() -> None:
    """Fails if nodes report only their own worst servers.

    Each node has ten servers that are worse than "vm-all", which is the worst
    over all nodes.
    """
    nodes = []
    for node_number in range(3):
        levels = ServiceLevels()
        for number in range(10):
            for _ in range(6):
                name = f"vm-{node_number}-{number}"
                levels.record_bad_attempt(10.0, SEARCH.name, name, True)
        for _ in range(5):
            levels.record_bad_attempt(10.0, SEARCH.name, "vm-all", False)
        (burn,) = levels.burn(20.0, CONFIGURATION, EMPTY_FLEET)
        nodes.append(make_node(f"node-{node_number}", 1, burn))
    (merged,) = merge_nodes(nodes)
    assert len(merged.contributors) == 10
    assert merged.contributors[0] == Contributor("vm-all", "unlisted", 15, 0)


@pytest.mark.parametrize("order", [(0, 1, 2), (2, 1, 0)])
def test_merged_counts_have_the_newest_targets(
    order: tuple[int, ...],
) -> None:
    """Fails if the targets depend on the order in which nodes are merged."""
    newest = TARGETS._replace(lateness_ms=80)
    nodes = [
        make_node("node-1", 8, make_burn(3)),
        make_node("node-2", 9, make_burn(4, targets=newest)),
        make_node("node-3", 7),
    ]
    (merged,) = merge_nodes([nodes[index] for index in order])
    assert merged.targets == newest
    assert merged.since_start.answer_count == 7
    assert merged.short.answer_count == 7
    assert merged.long.answer_count == 7
    assert [step.answer_count for step in merged.series[-2:]] == [0, 7]
