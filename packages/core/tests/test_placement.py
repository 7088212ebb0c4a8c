"""Guards against requests that are sent to slow, paused or failing replicas."""

import random

import pytest

from mulberrybay_core.addresses import Address
from mulberrybay_core.load_report import LoadReport
from mulberrybay_core.placement import (
    PlacementQuery,
    ServerState,
    choose_server,
    placement_cost,
)
from mulberrybay_core.server_directory import KnownServer, ServerEntry

QUERY = PlacementQuery(10.0, 0.04, "domain-a")


def make_server(
    server_id: str = "i-1", domain: str = "domain-a", cold_left_s: float = 0.0
) -> KnownServer:
    entry = ServerEntry(
        server_id,
        "search",
        Address("10.0.0.1", 80),
        domain,
        2,
        False,
        cold_left_s,
        0,
    )
    return KnownServer(entry, 10.0)


def stalled(state: ServerState) -> None:
    state.in_flight[1] = 9.8


def full(state: ServerState) -> None:
    state.in_flight = dict.fromkeys(range(4), 9.999)


def loaded_by_others(state: ServerState) -> None:
    state.record_load(LoadReport(2, 5, 2), 9.99)


def failed(state: ServerState) -> None:
    for _ in range(3):
        state.record_failure(9.9)


def slow(state: ServerState) -> None:
    for _ in range(5):
        state.record_success(8.0, 9.9)


@pytest.mark.parametrize(
    "impair", [stalled, full, loaded_by_others, failed, slow]
)
def test_impaired_replica_is_not_chosen(impair: object) -> None:
    healthy, impaired = ServerState(), ServerState()
    impair(impaired)  # type: ignore[operator]
    candidates = [(make_server("i-1"), impaired), (make_server("i-2"), healthy)]

    for seed in range(20):
        chosen = choose_server(candidates, QUERY, random.Random(seed))
        assert chosen is not None
        assert chosen.entry.server_id == "i-2"


@pytest.mark.parametrize(
    "server", [make_server(domain="domain-b"), make_server(cold_left_s=2.0)]
)
def test_other_domain_and_coldness_increase_the_cost(
    server: KnownServer,
) -> None:
    base_cost = placement_cost(make_server(), ServerState(), QUERY)

    assert placement_cost(server, ServerState(), QUERY) > base_cost


def test_latency_estimate_returns_to_normal_without_new_samples() -> None:
    state = ServerState()
    slow(state)

    assert state.relative_latency(10.0) > 3
    assert state.relative_latency(30.0) < 1.1


def test_failure_ratio_rises_with_failures_and_falls_again() -> None:
    state = ServerState()
    ratios = []
    for _ in range(6):
        state.record_failure(10.0)
        ratios.append(state.failure_ratio(10.0))

    assert ratios == sorted(ratios)
    assert ratios[-1] > 0.8
    state.record_success(1.0, 10.0)
    assert state.failure_ratio(10.0) < ratios[-1]
    assert state.failure_ratio(30.0) < 0.01


def test_replica_that_sometimes_fails_is_preferred_to_a_very_slow_one() -> None:
    failing, much_slower = ServerState(), ServerState()
    for number in range(10):
        if number % 5 < 2:
            failing.record_failure(9.9)
        else:
            failing.record_success(1.0, 9.9)
        much_slower.record_success(8.0, 9.9)
    candidates = [
        (make_server("i-1"), failing),
        (make_server("i-2"), much_slower),
    ]

    chosen = choose_server(candidates, QUERY, random.Random(0))

    assert chosen is not None
    assert chosen.entry.server_id == "i-1"


def test_no_server_is_chosen_without_candidates() -> None:
    assert choose_server([], QUERY, random.Random(0)) is None
