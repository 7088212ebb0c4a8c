"""A quantile of recent observations."""

import math
from collections import deque
from typing import Final

# Observations count this long, so that the result follows the load.
WINDOW_S: Final = 10.0
MAX_SAMPLE_COUNT: Final = 128
# How often a quantile is computed again; it takes as long as a part of a request.
REFRESH_PERIOD_S: Final = 0.05


class RecentQuantile:
    """A quantile of the values of the last WINDOW_S."""

    def __init__(self, ratio: float) -> None:
        self._ratio = ratio
        self._samples: deque[tuple[float, float]] = deque(
            maxlen=MAX_SAMPLE_COUNT
        )
        self._value = 0.0
        self._computed_at_s = -math.inf

    def record(self, value: float, now_s: float) -> None:
        """Records a value."""
        self._samples.append((now_s, value))

    def value(self, now_s: float) -> float:
        """Returns the quantile; 0 without a value in the window."""
        if now_s - self._computed_at_s >= REFRESH_PERIOD_S:
            self._computed_at_s = now_s
            self._value = self._compute(now_s)
        return self._value

    def _compute(self, now_s: float) -> float:
        samples = self._samples
        while samples and samples[0][0] < now_s - WINDOW_S:
            samples.popleft()
        if not samples:
            return 0.0
        values = sorted([value for _, value in samples])
        return values[math.ceil(self._ratio * len(values)) - 1]
