"""Computes the delay before a caller retries a refused query.

An overload that has lasted long is expected to continue for long, and the
larger the fraction of refused queries, the less likely an early retry is to
succeed. The delay grows with both. This spreads out the callers and keeps their
retries from prolonging the overload.

A pause of a server or node also makes queues long, but they drain by themselves.
"""

from typing import Final

# An overload counts as ended after this time without a refusal.
OVERLOAD_END_S: Final = 2.0
# Queues that are long for less than this time are due to a pause.
MAX_BURST_S: Final = 0.2
# Weight of the newest query in the moving average of the refused fraction.
REFUSED_RATIO_WEIGHT: Final = 0.05
# The retry delay when half of the queries are refused, relative to the time
# that the overload has lasted.
RETRY_AFTER_RATIO: Final = 2.0
# Bounds the delay when almost all queries are refused.
MIN_ADMITTED_RATIO: Final = 0.05
MAX_RETRY_AFTER_S: Final = 30.0


class OverloadEpisode:
    """The current overload of one class of work at one coordinator."""

    def __init__(self) -> None:
        self._started_at_s = 0.0
        self._last_refused_at_s: float | None = None
        self._refused_ratio = 0.0
        # Since when queues have been long, and when that was last seen.
        self._long_since_s: float | None = None
        self._long_at_s = 0.0

    def is_burst(self, is_long: bool, now_s: float) -> bool:
        """Returns whether queues are long only for a moment.

        Args:
            is_long: Whether they are long now.
            now_s: The current time.
        """
        if not is_long:
            self._long_since_s = None
            return False
        if (
            self._long_since_s is None
            or now_s - self._long_at_s > OVERLOAD_END_S
        ):
            self._long_since_s = now_s
        self._long_at_s = now_s
        return (
            not self._is_going_on(now_s)
            and now_s - self._long_since_s < MAX_BURST_S
        )

    def _is_going_on(self, now_s: float) -> bool:
        return (
            self._last_refused_at_s is not None
            and now_s - self._last_refused_at_s <= OVERLOAD_END_S
        )

    def on_admitted(self) -> None:
        """Records that a query was admitted."""
        self._refused_ratio -= REFUSED_RATIO_WEIGHT * self._refused_ratio

    def on_refused(self, now_s: float, queue_delay_s: float) -> float:
        """Records that a query is refused.

        Args:
            now_s: The current time.
            queue_delay_s: The delay that the present queues require.

        Returns:
            The delay before the caller should retry, in seconds.
        """
        if not self._is_going_on(now_s):
            self._started_at_s = now_s
        self._last_refused_at_s = now_s
        self._refused_ratio += REFUSED_RATIO_WEIGHT * (1 - self._refused_ratio)
        retry_after_s = self._retry_after_ratio() * (now_s - self._started_at_s)
        return max(queue_delay_s, min(MAX_RETRY_AFTER_S, retry_after_s))

    def _retry_after_ratio(self) -> float:
        admitted_ratio = max(MIN_ADMITTED_RATIO, 1 - self._refused_ratio)
        return RETRY_AFTER_RATIO * self._refused_ratio / admitted_ratio
