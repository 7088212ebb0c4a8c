"""Which requests are sent, held back or refused while servers are full."""

import random

import pytest

from mulberrybay_core.overload.admission import (
    MIN_SERVED_RATIO,
    RATE_DECAY_S,
    Decision,
    RefusalShares,
    ServerRoom,
    ServiceOrder,
    Urgency,
    enough_wait_s,
    find_hold_until_s,
    may_hedge,
)
from mulberrybay_core.overload.waiting_requests import (
    WaitingRequest,
    WaitingRequests,
)

FULL = ServerRoom(2.0, 2, 0.03)
FREE = ServerRoom(1.5, 2, 0.03)
QUEUE = ServerRoom(3.5, 2, 0.03)
LONG = ServerRoom(13.0, 2, 0.03)
SCAN = Urgency(1, 10.17, 0.03, 10.02)
LOOKUP = Urgency(0, 10.087, 0.01, 10.02)


@pytest.mark.parametrize(
    ("urgency", "rooms", "urgent_age_s", "now_s", "expected"),
    [
        (SCAN, [LONG, LONG], 0.0, 10.0, Decision.WAIT),
        # Behind this queue it is in time.
        (SCAN, [LONG, QUEUE], 0.0, 10.0, Decision.IN_TIME),
        (SCAN, [LONG, FREE], 0.0, 10.0, Decision.ROOM),
        # Waiting longer would make it late.
        (SCAN, [LONG, LONG], 0.0, 10.02, Decision.DUE),
        # No urgent load, no reserve.
        (SCAN, [LONG, LONG], 8 * RATE_DECAY_S, 10.0, Decision.URGENT),
        (LOOKUP, [LONG, LONG], 0.0, 10.0, Decision.URGENT),
    ],
)
def test_only_less_urgent_requests_wait_and_only_as_long_as_it_helps(
    urgency: Urgency,
    rooms: list[ServerRoom],
    urgent_age_s: float,
    now_s: float,
    expected: Decision,
) -> None:
    order = ServiceOrder()
    for _ in range(20):
        order.record_request(0, 10.0 - urgent_age_s)
        order.record_request(1, 10.0)

    assert order.decide(urgency, rooms, now_s) is expected


def test_hedges_wait_for_a_server_without_a_long_queue() -> None:
    assert may_hedge([QUEUE, FULL])
    assert not may_hedge([QUEUE, QUEUE])


def test_request_that_has_no_time_to_spare_is_not_held_back() -> None:
    assert find_hold_until_s(10.0, 10.1, 0.06) == 10.0
    assert 10.0 < find_hold_until_s(10.0, 10.1, 0.01) <= 10.05


def test_waiting_requests_leave_by_priority_due_time_and_work() -> None:
    ranks = [(1, 5.0, 0.03), (1, 4.0, 0.03), (0, 9.0, 0.03), (1, 4.0, 0.01)]
    waiting = WaitingRequests()
    for number, (priority, due_at_s, work_s) in enumerate(ranks):
        urgency = Urgency(priority, due_at_s, work_s, 0.0)
        request = WaitingRequest(number, lambda: None, float(number))
        assert waiting.add(urgency, request)
        assert not waiting.add(urgency, request)
    waiting.remove(1)

    keys = []
    while (first := waiting.first()) is not None:
        keys.append(first.key)
        waiting.remove(first.key)

    assert keys == [2, 3, 0]
    assert waiting.oldest_since_s() is None


def test_query_waits_for_as_many_shards_as_it_needs() -> None:
    assert enough_wait_s([0.3, 0.0, 0.1], 2) == 0.1


@pytest.mark.parametrize("seed", [1, 2])
def test_no_class_is_starved_by_refusals(seed: int) -> None:
    """Each query would be late, so all of a class might be refused."""
    numbers, shares = random.Random(seed), RefusalShares()
    asked, served, now_s = [0, 0], [0, 0], 0.0
    for _ in range(4000):
        now_s += numbers.expovariate(200.0)
        priority = int(numbers.random() < 0.4)
        shares.record_request(priority, now_s)
        asked[priority] += 1
        served[priority] += not shares.refuse(priority, now_s)

    urgent, other = (s / a for s, a in zip(served, asked, strict=True))
    assert other >= MIN_SERVED_RATIO - 0.01
    assert urgent >= other - 0.02
