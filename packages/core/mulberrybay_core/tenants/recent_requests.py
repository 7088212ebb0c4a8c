"""The recent requests of one tenant at one node: their rate and their number."""

import math
from collections import deque
from typing import Final

# The time over which demand is smoothed, and a longer one for a demand of few
# requests in that. By a shorter one a rise is seen early; of that, as much is left out
# as a few requests by chance make.
SMOOTHING_S: Final = 0.7
SLOW_SMOOTHING_S: Final = 5.0
FEW_COUNT: Final = 10.0
FAST_SMOOTHING_S: Final = 0.15
FAST_CHANCE_COUNT: Final = 2.0
# The number of buckets of a window. One more is counted, for a bucket leaves the
# window as a whole.
BUCKET_COUNT: Final = 25


class Demand:
    """The smoothed rate of requests."""

    __slots__ = ("_at_s", "_fast_per_s", "_per_s", "_slow_per_s")

    def __init__(self, now_s: float) -> None:
        self._at_s = now_s
        self._per_s = 0.0
        self._slow_per_s = 0.0
        self._fast_per_s = 0.0

    def _decay(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._at_s)
        self._at_s = now_s
        self._per_s *= math.exp(-elapsed_s / SMOOTHING_S)
        self._slow_per_s *= math.exp(-elapsed_s / SLOW_SMOOTHING_S)
        self._fast_per_s *= math.exp(-elapsed_s / FAST_SMOOTHING_S)

    def add(self, now_s: float) -> None:
        """Counts a request."""
        self._decay(now_s)
        self._per_s += 1 / SMOOTHING_S
        self._slow_per_s += 1 / SLOW_SMOOTHING_S
        self._fast_per_s += 1 / FAST_SMOOTHING_S

    def per_s(self, now_s: float) -> float:
        """Returns the rate."""
        self._decay(now_s)
        weight = min(1.0, self._slow_per_s * SLOW_SMOOTHING_S / FEW_COUNT)
        smooth_per_s = weight * self._per_s + (1 - weight) * self._slow_per_s
        by_chance_per_s = FAST_CHANCE_COUNT / FAST_SMOOTHING_S
        return max(smooth_per_s, self._fast_per_s - by_chance_per_s)


class WindowCount:
    """The requests of the last window."""

    __slots__ = ("_bucket_s", "_buckets", "_total")

    def __init__(self, window_s: float) -> None:
        self._bucket_s = window_s / BUCKET_COUNT
        self._buckets: deque[tuple[int, int]] = deque()
        self._total = 0

    def add(self, now_s: float) -> None:
        """Counts a request."""
        index = int(now_s // self._bucket_s)
        if self._buckets and self._buckets[-1][0] == index:
            self._buckets[-1] = (index, self._buckets[-1][1] + 1)
        else:
            self._buckets.append((index, 1))
        self._total += 1

    def remove(self, added_at_s: float) -> None:
        """Takes back a request, unless its bucket is gone."""
        added_index = int(added_at_s // self._bucket_s)
        for position, (index, count) in enumerate(self._buckets):
            if index == added_index and count:
                self._buckets[position] = (index, count - 1)
                self._total -= 1

    def total(self, now_s: float) -> int:
        """Returns the count."""
        first_index = int(now_s // self._bucket_s) - BUCKET_COUNT
        while self._buckets and self._buckets[0][0] < first_index:
            self._total -= self._buckets.popleft()[1]
        return self._total
