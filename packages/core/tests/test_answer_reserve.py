"""The reserve with which a gathered answer leaves before its due time."""

import pytest

from mulberrybay_core.overload.answer_reserve import (
    MAX_RESERVE_RATIO,
    MIN_RESERVE_S,
    UNOBSERVED_S,
    WINDOW_S,
    AnswerReserve,
)

TARGET_S = 0.087


def observe(reserve: AnswerReserve, cause: str, delay_s: float) -> None:
    for number in range(20):
        now_s = number / 20
        if cause == "timers":
            reserve.record_lateness(delay_s, now_s)
        elif cause == "work":
            reserve.record_work(delay_s, 90, now_s)
        elif cause == "unsent":
            reserve.record_unsent(delay_s, now_s)
        else:
            round_trip_s = 0.02 + delay_s * (number % 2)
            reserve.record_round_trip("caller", round_trip_s, now_s)


@pytest.mark.parametrize("cause", ["timers", "work", "unsent", "network"])
def test_reserve_covers_each_delay_and_returns_to_its_lower_bound(
    cause: str,
) -> None:
    """A delay that is not covered makes answers late; a past one costs shards."""
    reserve = AnswerReserve()
    assert reserve.reserve_s(90, TARGET_S, 0.0) == MIN_RESERVE_S

    observe(reserve, cause, 0.008)

    assert reserve.reserve_s(90, TARGET_S, 1.0) == pytest.approx(
        0.008 + UNOBSERVED_S
    )
    later_s = 1.0 + WINDOW_S
    assert reserve.reserve_s(90, TARGET_S, later_s) == MIN_RESERVE_S


def test_reserve_takes_no_more_than_a_part_of_the_target() -> None:
    """An answer that leaves far too early lacks shards that would have come."""
    reserve = AnswerReserve()

    observe(reserve, "timers", 1.0)

    assert reserve.reserve_s(90, TARGET_S, 1.0) == MAX_RESERVE_RATIO * TARGET_S
