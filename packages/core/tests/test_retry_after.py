"""Guards against pauses that no server asked for, or that never end."""

import pytest

from mulberrybay_core.pause_wait import can_wait, enough_available_at_s
from mulberrybay_core.retry_after import MAX_PAUSE_S, read_retry_after


@pytest.mark.parametrize(
    ("text", "pause_s"),
    [("0", 0.0), ("2", 2.0), ("0.25", 0.25), (".5", 0.5), (" 1. ", 1.0)],
)
def test_seconds_are_followed_also_with_a_fraction(
    text: str, pause_s: float
) -> None:
    assert read_retry_after(text) == (pause_s, False)


@pytest.mark.parametrize(
    "text",
    [
        "",
        " ",
        "-1",
        "+1",
        "nan",
        "inf",
        "1e3",
        "1_0",
        "0x10",
        "1, 2",
        "soon",
        "\u0661",
        "Fri, 04 Dec 2026 08:00:00 GMT",
    ],
)
def test_malformed_value_asks_for_no_pause(text: str) -> None:
    assert read_retry_after(text) == (0.0, True)


@pytest.mark.parametrize("text", ["3601", "9" * 400, "9" * 100_000])
def test_huge_value_is_bounded(text: str) -> None:
    assert read_retry_after(text) == (MAX_PAUSE_S, True)


def test_request_waits_only_if_its_answer_can_be_in_time() -> None:
    assert can_wait(5.0, 0.1, 5.1)
    assert not can_wait(5.0, 0.2, 5.1)
    assert not can_wait(float("inf"), 0.1, 5.1)


def test_enough_shards_are_available_with_the_last_one_needed() -> None:
    assert enough_available_at_s([3.0, 1.0, 2.0], 2) == 2.0
    assert enough_available_at_s([3.0, 1.0, float("inf")], 3) == float("inf")
