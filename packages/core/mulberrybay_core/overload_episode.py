"""Computes the delay before a caller retries a refused query.

An overload that has lasted long is expected to continue for long, and the
larger the fraction of refused queries, the less likely an early retry is to
succeed. The delay grows with both. This spreads out the callers and keeps their
retries from prolonging the overload.
"""

from typing import Final

# An overload counts as ended after this time without a refusal.
QUIET_S: Final = 2.0
# Weight of the newest query in the moving average of the refused fraction.
SHARE_WEIGHT: Final = 0.05
# The retry delay when half of the queries are refused, relative to the time
# that the overload has lasted.
AWAY_RATIO: Final = 2.0
# Bounds the delay when almost all queries are refused.
MIN_ADMITTED_SHARE: Final = 0.05
MAX_RETRY_AFTER_S: Final = 30.0


class OverloadEpisode:
    """The current overload of one class of work at one coordinator."""

    def __init__(self) -> None:
        self._since_s = 0.0
        self._refused_at_s: float | None = None
        self._refused_share = 0.0

    def on_admitted(self) -> None:
        """Records that a query was admitted."""
        self._refused_share -= SHARE_WEIGHT * self._refused_share

    def on_refused(self, now_s: float, excess_s: float) -> float:
        """Records that a query is refused.

        Args:
            now_s: The current time.
            excess_s: The delay that the present queues require.

        Returns:
            The delay before the caller should retry, in seconds.
        """
        refused_at_s = self._refused_at_s
        if refused_at_s is None or now_s - refused_at_s > QUIET_S:
            self._since_s = now_s
        self._refused_at_s = now_s
        self._refused_share += SHARE_WEIGHT * (1 - self._refused_share)
        away_s = self._away_ratio() * (now_s - self._since_s)
        return max(excess_s, min(MAX_RETRY_AFTER_S, away_s))

    def _away_ratio(self) -> float:
        admitted_share = max(MIN_ADMITTED_SHARE, 1 - self._refused_share)
        return AWAY_RATIO * self._refused_share / admitted_share
