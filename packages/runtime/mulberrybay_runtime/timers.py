"""Timers: one heap of deadlines for the whole process.

circuits' own Timer component is polled on every turn of the loop; this one
component answers `generate_events` once, for all timers.
"""

import heapq
import itertools
from collections.abc import Callable
from typing import Any

from circuits import BaseComponent, handler

from mulberrybay_runtime.clock import read_clock_s


class Timer:
    """A callback that is due at a time, unless cancelled before."""

    __slots__ = ("_callback",)

    def __init__(self, callback: Callable[[], None]) -> None:
        self._callback: Callable[[], None] | None = callback

    @property
    def is_cancelled(self) -> bool:
        """Whether the timer was cancelled or has fired."""
        return self._callback is None

    def cancel(self) -> None:
        """Prevents the callback; does nothing if it has already run."""
        self._callback = None

    def fire(self) -> None:
        """Runs the callback, once."""
        callback = self._callback
        self._callback = None
        if callback is not None:
            callback()


class Timers(BaseComponent):
    """Holds all the timers of a process."""

    channel = "timers"

    def __init__(self) -> None:
        super().__init__()
        self._heap: list[tuple[float, int, Timer]] = []
        self._sequence = itertools.count()

    def call_at(self, due_s: float, callback: Callable[[], None]) -> Timer:
        """Schedules a callback at a time of `read_clock_s`."""
        timer = Timer(callback)
        heapq.heappush(self._heap, (due_s, next(self._sequence), timer))
        return timer

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> Timer:
        """Schedules a callback after a delay."""
        return self.call_at(read_clock_s() + delay_s, callback)

    def call_every(self, period_s: float, callback: Callable[[], None]) -> None:
        """Runs a callback once per period, as long as the process runs."""

        def run_and_rearm() -> None:
            self.call_later(period_s, run_and_rearm)
            callback()

        self.call_later(period_s, run_and_rearm)

    def run_due(self, now_s: float) -> None:
        """Runs the callbacks that are due."""
        while self._heap and self._heap[0][0] <= now_s:
            timer = heapq.heappop(self._heap)[2]
            try:
                timer.fire()
            except Exception:
                # The other timers that are due run first, then the fault is
                # raised to the loop, which reports it.
                self.run_due(now_s)
                raise

    def next_due_s(self) -> float | None:
        """Returns when the next timer is due, or None if there is none."""
        while self._heap and self._heap[0][2].is_cancelled:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    # The poller has priority -9 and sleeps; this handler runs before it.
    @handler("generate_events", channel="*")
    def _on_generate_events(self, event: Any) -> None:  # noqa: ANN401
        now_s = read_clock_s()
        self.run_due(now_s)
        due_s = self.next_due_s()
        if due_s is not None:
            event.reduce_time_left(max(0.0, due_s - read_clock_s()))
