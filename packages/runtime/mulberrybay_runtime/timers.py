"""Timers in one heap for the whole process.

Every Timer component of circuits is polled in each iteration of the event
loop. This component handles `generate_events` once for all timers.
"""

import heapq
import itertools
from collections.abc import Callable
from typing import Any, Final

from circuits import BaseComponent, handler

from mulberrybay_runtime.clock import read_clock_s

# Timers that are later than this show that the process stood still.
STANDSTILL_S: Final = 0.2


class Timer:
    """A scheduled callback that can be cancelled."""

    __slots__ = ("_callback",)

    def __init__(self, callback: Callable[[], None]) -> None:
        self._callback: Callable[[], None] | None = callback

    @property
    def is_cancelled(self) -> bool:
        """Whether the timer was cancelled or has fired."""
        return self._callback is None

    def cancel(self) -> None:
        """Cancels the callback; does nothing if it has already run."""
        self._callback = None

    def fire(self) -> None:
        """Runs the callback unless it was cancelled or has already run."""
        callback = self._callback
        self._callback = None
        if callback is not None:
            callback()


class Timers(BaseComponent):
    """Schedules and runs all timers of a process."""

    channel = "timers"

    def __init__(self) -> None:
        super().__init__()
        self._heap: list[tuple[float, int, Timer]] = []
        # Timers that may also run while the loop reads from sockets.
        self._prompt_heap: list[tuple[float, int, Timer]] = []
        self._is_running_prompt = False
        self._sequence = itertools.count()
        self._has_polled = False

    def call_at(self, due_s: float, callback: Callable[[], None]) -> Timer:
        """Schedules a callback at a time on the clock of `read_clock_s`."""
        timer = Timer(callback)
        heapq.heappush(self._heap, (due_s, next(self._sequence), timer))
        return timer

    def call_promptly_at(
        self, due_s: float, callback: Callable[[], None]
    ) -> Timer:
        """Schedules a callback that need not wait for the sockets to be read."""
        timer = self.call_at(due_s, callback)
        heapq.heappush(self._prompt_heap, (due_s, next(self._sequence), timer))
        return timer

    def run_prompt(self) -> None:
        """Runs the due callbacks of `call_promptly_at`, in a longer task.

        After the process stood still, what came meanwhile is read first.
        """
        heap = self._prompt_heap
        if not heap or self._is_running_prompt:
            return
        now_s = read_clock_s()
        self._is_running_prompt = True
        try:
            while heap and now_s - STANDSTILL_S <= heap[0][0] <= now_s:
                timer = heapq.heappop(heap)[2]
                try:
                    timer.fire()
                except Exception as error:
                    self._raise_later(error)
        finally:
            self._is_running_prompt = False

    def _raise_later(self, error: Exception) -> None:
        """Raises an exception in the event loop, not in an unrelated task."""

        def raise_error() -> None:
            raise error

        self.call_at(read_clock_s(), raise_error)

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> Timer:
        """Schedules a callback after a delay."""
        return self.call_at(read_clock_s() + delay_s, callback)

    def call_every(self, period_s: float, callback: Callable[[], None]) -> None:
        """Runs a callback once per period until the process ends."""

        def run_and_reschedule() -> None:
            self.call_later(period_s, run_and_reschedule)
            callback()

        self.call_later(period_s, run_and_reschedule)

    def run_due(self, now_s: float) -> None:
        """Runs the callbacks that are due."""
        prompt_heap = self._prompt_heap
        while prompt_heap and prompt_heap[0][0] <= now_s:
            # They are in both heaps.
            heapq.heappop(prompt_heap)
        while self._heap and self._heap[0][0] <= now_s:
            timer = heapq.heappop(self._heap)[2]
            try:
                timer.fire()
            except Exception:
                # The exception is raised after the other due timers have run.
                # The event loop reports it.
                self.run_due(now_s)
                raise

    def next_due_s(self) -> float | None:
        """Returns the time of the next timer, or None if there is none."""
        while self._heap and self._heap[0][2].is_cancelled:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    # This handler runs before the poller, which has priority -9 and waits.
    @handler("generate_events", channel="*")
    def _on_generate_events(self, event: Any) -> None:  # noqa: ANN401
        now_s = read_clock_s()
        due_s = self.next_due_s()
        stood_still = due_s is not None and now_s - due_s > STANDSTILL_S
        if stood_still and not self._has_polled:
            # What came meanwhile is read before timers declare it overdue.
            self._has_polled = True
            event.reduce_time_left(0.0)
            return
        self._has_polled = False
        try:
            self.run_due(now_s)
        finally:
            # Also after an exception: the poller would wait for ever.
            due_s = self.next_due_s()
            if due_s is not None:
                event.reduce_time_left(max(0.0, due_s - read_clock_s()))
