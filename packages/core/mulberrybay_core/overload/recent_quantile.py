"""A quantile of recent observations."""

import math
from collections import deque
from typing import Final

# Observations count this long, so that the result follows the load.
WINDOW_S: Final = 10.0
MAX_SAMPLE_COUNT: Final = 128


class RecentQuantile:
    """A quantile of the values of the last WINDOW_S."""

    def __init__(self, ratio: float) -> None:
        self._ratio = ratio
        self._samples: deque[tuple[float, float]] = deque(
            maxlen=MAX_SAMPLE_COUNT
        )
        self._value: float | None = None

    def record(self, value: float, now_s: float) -> None:
        """Records a value."""
        self._samples.append((now_s, value))
        self._value = None

    def value(self, now_s: float) -> float:
        """Returns the quantile; 0 without a value in the window."""
        samples = self._samples
        while samples and samples[0][0] < now_s - WINDOW_S:
            samples.popleft()
            self._value = None
        if not samples:
            return 0.0
        if self._value is None:
            values = sorted(value for _, value in samples)
            self._value = values[math.ceil(self._ratio * len(values)) - 1]
        return self._value
