"""Exponentially smoothed rate of a counter that is read at intervals."""

import math
from typing import Final

# Long enough that short changes of the load don't change which nodes are
# advertised.
SMOOTHING_TIME_S: Final = 5.0


class SmoothedRate:
    """The smoothed rate at which a counter increases.

    Attributes:
        per_s: The rate in counts per second.
    """

    def __init__(self) -> None:
        self.per_s = 0.0
        self._count = 0
        self._last_read_at_s: float | None = None

    def update(self, count: int, now_s: float) -> None:
        """Updates the rate with the counter's current value."""
        if self._last_read_at_s is not None and now_s > self._last_read_at_s:
            elapsed_s = now_s - self._last_read_at_s
            weight = 1 - math.exp(-elapsed_s / SMOOTHING_TIME_S)
            per_s = (count - self._count) / elapsed_s
            self.per_s += weight * (per_s - self.per_s)
        self._count = count
        self._last_read_at_s = now_s
