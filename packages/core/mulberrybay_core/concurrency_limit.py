"""How many requests may be outstanding at one backend server.

A server that is cold, unknown or newly held starts at one. The limit grows
while replies are timely and falls when the server sheds, times out or slows
down, as a warm server does that turned cold.
"""

from typing import Final

GROWTH_SAMPLE_COUNT: Final = 8
STEADY_RATIO: Final = 0.85
SLOW_RATIO: Final = 2.5
RECENT_WEIGHT: Final = 0.25


class ConcurrencyLimit:
    """The limit of one backend server."""

    def __init__(self, slot_count: int) -> None:
        """Starts at one.

        Args:
            slot_count: What the server works on at once when warm.
        """
        self._slot_count = max(1, slot_count)
        self.limit_count = 1
        self._recent_s: float | None = None
        self._baseline_s: float | None = None
        self._window: list[float] = []
        self._previous_mean_s: float | None = None
        self.paused_until_s = 0.0

    def on_success(self, latency_s: float) -> None:
        """Takes the latency of a whole reply."""
        if self._recent_s is None:
            self._recent_s = latency_s
        self._recent_s += RECENT_WEIGHT * (latency_s - self._recent_s)
        if self._is_slow():
            self._restart()
            return
        self._window.append(latency_s)
        if len(self._window) < GROWTH_SAMPLE_COUNT:
            return
        mean_s = sum(self._window) / len(self._window)
        self._window.clear()
        # A mean that still falls tells that the server is warming up.
        previous_s = self._previous_mean_s
        self._previous_mean_s = mean_s
        if previous_s is None or mean_s < STEADY_RATIO * previous_s:
            return
        self._baseline_s = min(mean_s, self._baseline_s or mean_s)
        self.limit_count = min(self._slot_count, self.limit_count + 1)

    def _is_slow(self) -> bool:
        return (
            self._baseline_s is not None
            and self._recent_s is not None
            and self._recent_s > SLOW_RATIO * self._baseline_s
        )

    def on_overload(self, now_s: float, retry_after_s: float) -> None:
        """Takes a refusal or a timeout of the server."""
        self.limit_count = max(1, self.limit_count // 2)
        self._window.clear()
        self._previous_mean_s = None
        self.paused_until_s = max(self.paused_until_s, now_s + retry_after_s)

    def _restart(self) -> None:
        self.limit_count = 1
        self._window.clear()
        self._previous_mean_s = None
        self._recent_s = None
        self._baseline_s = None
