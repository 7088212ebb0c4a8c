"""How many requests may be outstanding at one backend server.

A server that is cold, unknown or newly held starts at one. The limit grows
once replies are as fast as they get: at first that means that their latency
has stopped to fall, later that it is back at what the warm server showed. A
slow reply takes the limit back to one until the next reply tells whether it
was a straggler or the server has turned cold.
"""

import statistics
from typing import Final

WINDOW_COUNT: Final = 12
SHORT_WINDOW_COUNT: Final = 6
# A warm-up shows in the median of a window against the one before last, and
# a long one against the first.
MIN_WINDOW_COUNT: Final = 4
WINDOW_LAG_COUNT: Final = 2
MAX_WINDOW_COUNT: Final = 8
FALLING_RATIO: Final = 0.92
FALLEN_RATIO: Final = 0.7
STILL_WARMING_RATIO: Final = 0.75
BASELINE_WEIGHT: Final = 0.2
WARM_RATIO: Final = 1.25
SLOW_RATIO: Final = 2.5
OVERDUE_RATIO: Final = 1.8
IDLE_RESTART_S: Final = 10.0


class ConcurrencyLimit:
    """The limit of one backend server."""

    def __init__(self, slot_count: int) -> None:
        """Starts at one.

        Args:
            slot_count: What the server works on at once when warm.
        """
        self._slot_count = max(1, slot_count)
        self.limit_count = 1
        self.paused_until_s = 0.0
        self._window: list[float] = []
        self._medians_s: list[float] = []
        self._baseline_s: float | None = None
        self._suspended_count: int | None = None
        self._used_at_s: float | None = None

    @property
    def baseline_s(self) -> float | None:
        """The latency of the warm server, if it is known."""
        return self._baseline_s

    @property
    def is_suspended(self) -> bool:
        """Whether the last reply was slow and the next is to tell why."""
        return self._suspended_count is not None

    @property
    def usual_count(self) -> int:
        """The limit that is in force but for the time of a suspension."""
        return self._suspended_count or self.limit_count

    def on_dispatch(self, now_s: float) -> None:
        """Notes a dispatch."""
        self._used_at_s = now_s

    def check_idle(self, now_s: float) -> None:
        """Starts over if nothing was sent for long: it may be cold now."""
        used_at_s = self._used_at_s
        if used_at_s is not None and now_s - used_at_s > IDLE_RESTART_S:
            self.restart()

    def is_overdue(self, age_s: float) -> bool:
        """Returns whether a request is out for longer than a warm one."""
        return self._is_above(OVERDUE_RATIO, age_s)

    def _is_above(self, ratio: float, latency_s: float) -> bool:
        baseline_s = self._baseline_s
        return baseline_s is not None and latency_s > ratio * baseline_s

    def on_cancelled(self, age_s: float) -> None:
        """Takes the age of a request that was cancelled without a reply.

        Slow requests are hedged and cancelled, so a server that turned cold
        may show in nothing else.
        """
        if self.is_overdue(age_s):
            self._on_slow()

    def adopt_baseline(self, baseline_s: float) -> None:
        """Takes the latency of the warm server as others have seen it."""
        if self._baseline_s is None:
            self._baseline_s = baseline_s

    def on_success(self, latency_s: float) -> None:
        """Takes the latency of a whole reply."""
        if self._is_above(SLOW_RATIO, latency_s):
            self._on_slow()
        elif self._suspended_count is not None:
            # Only a straggler: the server is as fast as before.
            self.limit_count = self._suspended_count
            self._suspended_count = None
        self._window.append(latency_s)
        is_known = self._baseline_s is not None
        wanted_count = SHORT_WINDOW_COUNT if is_known else WINDOW_COUNT
        if len(self._window) >= wanted_count:
            median_s = statistics.median(self._window)
            self._window.clear()
            self._on_window(median_s)

    def _on_slow(self) -> None:
        if self._suspended_count is not None:
            self.restart()
        elif self.limit_count > 1:
            self._suspended_count = self.limit_count
            self.limit_count = 1

    def _on_window(self, median_s: float) -> None:
        self._medians_s.append(median_s)
        del self._medians_s[:-MAX_WINDOW_COUNT]
        baseline_s = self._baseline_s
        if baseline_s is None:
            if self._has_settled():
                self._baseline_s = median_s
                self._grow()
        elif median_s < STILL_WARMING_RATIO * baseline_s:
            # It had been warming up still.
            self._baseline_s = median_s
            self.limit_count = 1
        elif median_s <= WARM_RATIO * baseline_s:
            change_s = BASELINE_WEIGHT * (median_s - baseline_s)
            self._baseline_s = baseline_s + change_s
            self._medians_s.clear()
            self._grow()
        elif self._has_settled():
            # Not a warm-up: the server has become slower for good.
            self._baseline_s = median_s

    def _has_settled(self) -> bool:
        """Returns whether latency has stopped to fall."""
        medians_s = self._medians_s
        if len(medians_s) < MIN_WINDOW_COUNT:
            return False
        last_s = medians_s[-1]
        share_of_first = last_s / medians_s[0]
        return last_s >= FALLING_RATIO * medians_s[-1 - WINDOW_LAG_COUNT] and (
            share_of_first >= FALLING_RATIO or share_of_first <= FALLEN_RATIO
        )

    def _grow(self) -> None:
        if self._suspended_count is None:
            self.limit_count = min(self._slot_count, self.limit_count + 1)

    def on_overload(self, now_s: float, retry_after_s: float) -> None:
        """Takes a refusal or a timeout of the server."""
        self.limit_count = max(1, self.limit_count // 2)
        self._suspended_count = None
        self._window.clear()
        self._medians_s.clear()
        self.paused_until_s = max(self.paused_until_s, now_s + retry_after_s)

    def restart(self) -> None:
        """Goes back to one; the warm latency is kept to compare with."""
        self.limit_count = 1
        self._suspended_count = None
        self._window.clear()
        self._medians_s.clear()
