"""How much of a target callers spend on looking up addresses."""

import random

import pytest

from mulberrybay_core.overload.answer_reserve import AnswerTiming
from mulberrybay_core.overload.caller_lookups import CallerLookups

NODE_COUNT = 6
CALLER_COUNT = 48
ADDRESS_LIFE_S = 1.5


def play(rate_per_s: float, span_s: float, seed: int) -> tuple[float, float]:
    """Plays callers that cache addresses and pick a node at random.

    Returns:
        The share of requests with a lookup, and the estimate of one node.
    """
    numbers = random.Random(seed)
    lookups = CallerLookups(ADDRESS_LIFE_S)
    lookups.advertised_count = NODE_COUNT
    events = []
    for caller in range(CALLER_COUNT):
        now_s = 0.0
        while (now_s := now_s + numbers.expovariate(rate_per_s)) < span_s:
            events.append((now_s, caller))
    known_until_s = [0.0] * CALLER_COUNT
    lookup_count = 0
    for now_s, caller in sorted(events):
        if now_s >= known_until_s[caller]:
            lookup_count += 1
            known_until_s[caller] = now_s + ADDRESS_LIFE_S
        if not numbers.randrange(NODE_COUNT):
            lookups.record_request(f"host-{caller}", now_s)
    return lookup_count / len(events), lookups.share(span_s)


@pytest.mark.parametrize("rate_per_s", [0.1, 0.5, 2.0])
@pytest.mark.parametrize("span_s", [8.0, 30.0, 60.0])
def test_share_of_lookups_is_estimated_from_the_requests_of_one_node(
    rate_per_s: float, span_s: float
) -> None:
    """A wrong share makes answers late, or lack shards for nothing."""
    results = [play(rate_per_s, span_s, seed) for seed in range(10)]
    played = sum(result[0] for result in results) / len(results)
    estimated = sum(result[1] for result in results) / len(results)
    assert estimated == pytest.approx(played, abs=0.12)


def test_one_busy_caller_is_not_taken_for_one_that_looks_up() -> None:
    lookups = CallerLookups(ADDRESS_LIFE_S)
    for number in range(200):
        lookups.record_request("proxy", number / 20)
    assert lookups.share(10.0) < 0.1


def test_lookup_takes_two_round_trips_to_a_near_node() -> None:
    lookups = CallerLookups(ADDRESS_LIFE_S)
    for number in range(30):
        lookups.record_connection(0.012 if number % 3 else 0.006, number / 10)
    assert lookups.duration_s(3.0) == pytest.approx(0.012)


@pytest.mark.parametrize(
    ("share", "coverage", "leaves"),
    [(0.0, 1.0, True), (0.0, 0.99, False), (0.5, 0.8, True), (0.1, 0.9, False)],
)
def test_answer_leaves_early_only_if_more_callers_are_served(
    share: float, coverage: float, leaves: bool
) -> None:
    timing = AnswerTiming(lookup_s=0.012, lookup_share=share)
    assert timing.is_worth_leaving(coverage) == leaves
