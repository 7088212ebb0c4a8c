"""Guards against nodes that together exceed the rate that a server has named."""

import random

import pytest

from mulberrybay_core.server_limit import (
    MAX_LIMIT_PER_S,
    NamedLimit,
    ServerLimit,
    read_server_limit,
)

# The users' rule: what a server may get in any window.
WINDOW_S = 4.0


def allowed_count(per_s: float) -> float:
    return 1.5 * per_s * WINDOW_S + 5


def busiest_window_count(times: list[float]) -> int:
    return max(
        (
            sum(start_s <= at_s < start_s + WINDOW_S for at_s in times)
            for start_s in times
        ),
        default=0,
    )


def make_limit(
    per_s: float, token_count: float = 0.0, now_s: float = 0.0
) -> ServerLimit:
    limit = ServerLimit(token_count, now_s)
    limit.name(per_s, now_s)
    return limit


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("per_s", [0.0, 0.5, 2.0, 17.1, 300.0])
@pytest.mark.parametrize("node_count", [1, 6, 10])
def test_nodes_that_learn_a_limit_at_once_keep_to_it_together(
    node_count: int, per_s: float, seed: int
) -> None:
    source = random.Random(seed)
    limits = [
        make_limit(per_s, source.uniform(-0.5, 0.5)) for _ in range(node_count)
    ]
    sent: list[float] = []
    now_s = 0.0
    while now_s < 60:
        now_s += source.expovariate(100 + 4 * per_s)
        if source.choice(limits).take(1 / node_count, now_s):
            sent.append(now_s)

    assert busiest_window_count(sent) <= allowed_count(per_s)
    if per_s >= 2:
        assert len(sent) >= 0.7 * per_s * 60


@pytest.mark.parametrize("per_s", [2.0, 17.1, 300.0])
def test_idle_nodes_that_get_requests_together_keep_to_the_limit(
    per_s: float,
) -> None:
    limits = [make_limit(per_s) for _ in range(8)]
    sent = [
        100 + step / 100
        for step in range(400)
        for limit in limits
        if limit.take(1 / 8, 100 + step / 100)
    ]

    assert len(sent) <= allowed_count(per_s)


def test_frozen_node_saves_up_no_more_than_a_second_of_its_share() -> None:
    limit = make_limit(20.0)
    assert limit.take(0.5, 1.0)

    assert sum(limit.take(0.5, 31.0) for _ in range(100)) <= 10


def test_server_that_names_its_limit_by_turns_gets_no_burst_each_time() -> None:
    limit = make_limit(2.0)
    taken_count = 0
    for step in range(100):
        now_s = step / 100
        limit.name(2.0, now_s)
        taken_count += limit.take(1.0, now_s)
        limit.end(now_s)

    assert taken_count <= 4


def test_reply_to_a_request_from_before_the_limit_does_not_end_it() -> None:
    limit = make_limit(5.0, now_s=10.0)

    assert not limit.end(sent_at_s=9.9)
    assert limit.is_in_force
    assert limit.end(sent_at_s=10.1)
    assert limit.next_at_s(0.1, 10.2) == 10.2


def test_server_that_takes_nothing_is_asked_again_at_times() -> None:
    limit = make_limit(0.0)

    assert not limit.take(1.0, 1.0)
    assert limit.next_at_s(1.0, 1.0) < 60


def test_node_without_a_share_sends_nothing() -> None:
    limit = make_limit(1000.0)

    assert not limit.take(0.0, 100.0)
    assert limit.next_at_s(0.0, 100.0) > 1e9


def test_request_that_reached_no_server_is_given_back() -> None:
    limit = make_limit(1.0, token_count=0.5)
    assert limit.take(1.0, 1.0)
    assert not limit.take(1.0, 1.0)

    limit.give_back()

    assert limit.take(1.0, 1.0)


@pytest.mark.parametrize(
    ("text", "per_s"), [("0", 0.0), ("17.1", 17.1), (" 3. ", 3.0), (".5", 0.5)]
)
def test_decimal_number_is_read(text: str, per_s: float) -> None:
    assert read_server_limit(text) == NamedLimit(per_s, is_malformed=False)


@pytest.mark.parametrize("text", ["", "-1", "nan", "inf", "1e3", "1, 2", "٣"])
def test_other_values_name_no_limit(text: str) -> None:
    assert read_server_limit(text) == NamedLimit(None, is_malformed=True)


def test_huge_limit_is_cut() -> None:
    limit = read_server_limit("9" * 400)

    assert limit == NamedLimit(MAX_LIMIT_PER_S, is_malformed=True)
