"""Limits the number of outstanding requests at one backend server.

The limit of a server that is cold, unknown or newly held starts at one. It
grows while the server is warm. Before a baseline latency is known, the server
counts as warm when its latency has stopped falling; later, when its latency is
close to the baseline. A slow reply resets the limit to one until the next
reply shows whether only that request was slow or the server has become cold.
"""

import statistics
from typing import Final

REPLIES_PER_WINDOW_COUNT: Final = 12
REPLIES_PER_SHORT_WINDOW_COUNT: Final = 6
# To detect a warm-up, the median of a window is compared with the median two
# windows earlier and, for a long warm-up, with the first one.
MIN_WINDOW_COUNT: Final = 4
WINDOW_LAG_COUNT: Final = 2
MAX_WINDOW_COUNT: Final = 8
# The latency is stable if it is at least this ratio of an earlier median.
STABLE_LATENCY_RATIO: Final = 0.92
# A warm-up that reduced the latency to this ratio of the first median is over.
WARMED_UP_RATIO: Final = 0.7
# Relative to the baseline latency, like the ratios below.
STILL_WARMING_RATIO: Final = 0.75
# The weight of a new median in the moving average of the baseline latency.
BASELINE_WEIGHT: Final = 0.2
WARM_LATENCY_RATIO: Final = 1.25
SLOW_LATENCY_RATIO: Final = 2.5
OVERDUE_AGE_RATIO: Final = 1.8
IDLE_RESTART_S: Final = 10.0


class ConcurrencyLimit:
    """The limit on outstanding requests at one backend server."""

    def __init__(self, slot_count: int) -> None:
        """Creates a limit of one.

        Args:
            slot_count: The number of requests that the server processes at
                the same time when it is warm; the upper bound of the limit.
        """
        self._slot_count = max(1, slot_count)
        self.limit_count = 1
        self.paused_until_s = 0.0
        self._window: list[float] = []
        self._medians_s: list[float] = []
        self._baseline_s: float | None = None
        self._suspended_limit_count: int | None = None
        self._last_dispatched_at_s: float | None = None

    @property
    def baseline_s(self) -> float | None:
        """The latency of the server when warm; None if unknown."""
        return self._baseline_s

    @property
    def is_suspended(self) -> bool:
        """Whether the limit is one after a slow request, until the next reply.

        The next reply shows whether the server has become cold.
        """
        return self._suspended_limit_count is not None

    @property
    def unsuspended_limit_count(self) -> int:
        """The limit without regard to a suspension."""
        return self._suspended_limit_count or self.limit_count

    def on_dispatch(self, now_s: float) -> None:
        """Records that a request was dispatched."""
        self._last_dispatched_at_s = now_s

    def restart_if_idle(self, now_s: float) -> None:
        """Resets the limit after a long idle time: the server may be cold."""
        last_dispatched_at_s = self._last_dispatched_at_s
        if (
            last_dispatched_at_s is not None
            and now_s - last_dispatched_at_s > IDLE_RESTART_S
        ):
            self.restart()

    def is_overdue(self, age_s: float) -> bool:
        """Returns whether a request takes longer than at a warm server."""
        return self._exceeds_baseline(OVERDUE_AGE_RATIO, age_s)

    def _exceeds_baseline(self, ratio: float, latency_s: float) -> bool:
        baseline_s = self._baseline_s
        return baseline_s is not None and latency_s > ratio * baseline_s

    def on_cancelled(self, age_s: float) -> None:
        """Handles a request that was cancelled without a reply.

        Slow requests are hedged and then cancelled, so cancelled requests may
        be the only sign that a server has become cold.

        Args:
            age_s: The time since the request was dispatched.
        """
        if self.is_overdue(age_s):
            self._on_slow_request()

    def adopt_baseline(self, baseline_s: float) -> None:
        """Uses a baseline measured elsewhere if there is none yet."""
        if self._baseline_s is None:
            self._baseline_s = baseline_s

    def on_success(self, latency_s: float) -> None:
        """Handles a complete reply, given its latency."""
        if self._exceeds_baseline(SLOW_LATENCY_RATIO, latency_s):
            self._on_slow_request()
        elif self._suspended_limit_count is not None:
            # Only one request was slow: the server is as fast as before.
            self.limit_count = self._suspended_limit_count
            self._suspended_limit_count = None
        self._window.append(latency_s)
        has_baseline = self._baseline_s is not None
        window_reply_count = (
            REPLIES_PER_SHORT_WINDOW_COUNT
            if has_baseline
            else REPLIES_PER_WINDOW_COUNT
        )
        if len(self._window) >= window_reply_count:
            median_s = statistics.median(self._window)
            self._window.clear()
            self._on_window(median_s)

    def _on_slow_request(self) -> None:
        if self._suspended_limit_count is not None:
            self.restart()
        elif self.limit_count > 1:
            self._suspended_limit_count = self.limit_count
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
            # The server was still warming up when the baseline was taken.
            self._baseline_s = median_s
            self.limit_count = 1
        elif median_s <= WARM_LATENCY_RATIO * baseline_s:
            change_s = BASELINE_WEIGHT * (median_s - baseline_s)
            self._baseline_s = baseline_s + change_s
            self._medians_s.clear()
            self._grow()
        elif self._has_settled():
            # Not a warm-up: the server has become permanently slower.
            self._baseline_s = median_s

    def _has_settled(self) -> bool:
        """Returns whether the latency has stopped falling."""
        medians_s = self._medians_s
        if len(medians_s) < MIN_WINDOW_COUNT:
            return False
        last_s = medians_s[-1]
        ratio_to_first = last_s / medians_s[0]
        return last_s >= STABLE_LATENCY_RATIO * medians_s[
            -1 - WINDOW_LAG_COUNT
        ] and (
            ratio_to_first >= STABLE_LATENCY_RATIO
            or ratio_to_first <= WARMED_UP_RATIO
        )

    def _grow(self) -> None:
        if self._suspended_limit_count is None:
            self.limit_count = min(self._slot_count, self.limit_count + 1)

    def on_overload(self, now_s: float, retry_after_s: float) -> None:
        """Handles a rejection or a timeout of a request by the server.

        Args:
            now_s: The current time.
            retry_after_s: How long to send no requests to the server.
        """
        self.limit_count = max(1, self.limit_count // 2)
        self._suspended_limit_count = None
        self._window.clear()
        self._medians_s.clear()
        self.paused_until_s = max(self.paused_until_s, now_s + retry_after_s)

    def restart(self) -> None:
        """Resets the limit to one; keeps the baseline for comparison."""
        self.limit_count = 1
        self._suspended_limit_count = None
        self._window.clear()
        self._medians_s.clear()
