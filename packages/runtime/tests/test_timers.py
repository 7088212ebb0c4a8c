"""What runs first after the process stood still."""

from typing import Any

import pytest

from mulberrybay_runtime import timers
from mulberrybay_runtime.timers import STANDSTILL_S, Timers


class _Event:
    """Records for how long the poller may wait."""

    def __init__(self) -> None:
        self.time_left_s: float | None = None

    def reduce_time_left(self, time_left_s: float) -> None:
        self.time_left_s = time_left_s


class _Loop:
    """Passes through the event loop on a clock of the test."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now_s = 10.0
        monkeypatch.setattr(timers, "read_clock_s", lambda: self.now_s)
        self.timers = Timers()
        self.fired: list[str] = []
        self.timers.call_later(1.0, lambda: self.fired.append("timer"))

    def generate_events(self) -> float | None:
        event: Any = _Event()
        self.timers._on_generate_events(event)
        return event.time_left_s


def test_what_came_while_the_process_stood_still_is_read_before_timers_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    loop = _Loop(monkeypatch)
    loop.now_s += 1.0 + 2 * STANDSTILL_S

    assert loop.generate_events() == 0.0
    assert loop.fired == []
    loop.generate_events()

    assert loop.fired == ["timer"]


def test_timers_that_are_hardly_late_run_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    loop = _Loop(monkeypatch)
    assert loop.generate_events() == 1.0
    loop.now_s += 1.0 + STANDSTILL_S / 2
    loop.generate_events()
    assert loop.fired == ["timer"]


def test_timers_run_each_second_time_while_the_process_stays_behind(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    loop = _Loop(monkeypatch)
    for _ in range(3):
        loop.timers.call_later(1.0, lambda: loop.fired.append("late"))
        loop.now_s += 2.0
        loop.generate_events()
        loop.generate_events()
    assert loop.fired == ["timer", "late", "late", "late"]


def test_prompt_timer_runs_once_and_not_before_what_came_in_a_standstill(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It may declare replies missing that only wait to be read."""
    loop = _Loop(monkeypatch)
    for due_s in (10.1, 10.5):
        loop.timers.call_promptly_at(
            due_s, lambda due_s=due_s: loop.fired.append(f"prompt {due_s}")
        )

    loop.timers.run_prompt()
    loop.now_s = 10.1
    loop.timers.run_prompt()
    loop.generate_events()
    assert loop.fired == ["prompt 10.1"]

    loop.now_s = 10.6 + STANDSTILL_S
    loop.timers.run_prompt()
    assert loop.fired == ["prompt 10.1"]
    loop.generate_events()
    loop.generate_events()
    assert loop.fired == ["prompt 10.1", "prompt 10.5"]


def test_fault_of_a_prompt_timer_does_not_end_the_task_that_runs_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """That task handles another request; the event loop reports the fault."""
    loop = _Loop(monkeypatch)

    def fail() -> None:
        raise ValueError("a fault")

    loop.timers.call_promptly_at(10.0, fail)
    loop.timers.call_promptly_at(10.0, lambda: loop.fired.append("next"))
    loop.timers.run_prompt()

    assert loop.fired == ["next"]
    with pytest.raises(ValueError, match="a fault"):
        loop.generate_events()


def test_poller_learns_of_the_next_timer_after_one_has_raised(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It waited for bytes without a limit in time."""
    loop = _Loop(monkeypatch)

    def fail() -> None:
        raise ValueError("a fault")

    loop.timers.call_later(0.0, fail)
    event: Any = _Event()
    with pytest.raises(ValueError, match="a fault"):
        loop.timers._on_generate_events(event)

    assert event.time_left_s == 1.0
