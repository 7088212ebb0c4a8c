"""When a caller whose query was refused should come back.

The longer an overload has lasted, the longer it is expected to last on, and
the more of the queries are refused, the less use there is in coming back
before its end. Told times that grow with both spread the callers out and keep
their repeated queries from feeding the overload.
"""

from typing import Final

# An overload has ended after this time without a refusal.
QUIET_S: Final = 2.0
SHARE_WEIGHT: Final = 0.05
# What is told when as many queries are refused as admitted, as a share of the
# time that the overload has lasted.
AWAY_RATIO: Final = 2.0
MIN_ADMITTED_SHARE: Final = 0.05
MAX_RETRY_AFTER_S: Final = 30.0


class OverloadEpisode:
    """The present overload of one class of work at one coordinator."""

    def __init__(self) -> None:
        self._since_s = 0.0
        self._refused_at_s: float | None = None
        self._refused_share = 0.0

    def on_admitted(self) -> None:
        """Takes a query that was admitted."""
        self._refused_share -= SHARE_WEIGHT * self._refused_share

    def on_refused(self, now_s: float, excess_s: float) -> float:
        """Takes a query that is refused; returns when to come back.

        Args:
            now_s: The time.
            excess_s: How long the queues alone ask to wait.
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
