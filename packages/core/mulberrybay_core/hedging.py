"""When to send a second attempt for a shard whose reply is slow."""

import bisect
from collections import deque
from typing import Final, Protocol

SAMPLE_COUNT: Final = 512
REFRESH_PERIOD_COUNT: Final = 32
MIN_SAMPLE_COUNT: Final = 32
MIN_DELAY_S: Final = 0.002
# Fraction of the extra load used for hedges; the rest is for bursts and
# retries.
HEDGE_RATIO: Final = 0.9


class HedgePolicy(Protocol):
    """Decides when the second attempt for a shard is sent."""

    def on_latency(self, latency_s: float) -> None:
        """Records the time from sending an attempt to its complete reply."""

    def delay_s(self, extra_load_percent: float) -> float | None:
        """Returns the delay before a hedge; None if no hedge is sent."""


class QuantileHedging:
    """Hedges attempts above the latency quantile that the extra load allows.

    With an extra-load target of 5 %, the slowest 4.5 % of attempts are hedged.
    When latencies change, the token bucket of the extra load enforces the
    target.
    """

    def __init__(self) -> None:
        self._samples: deque[float] = deque(maxlen=SAMPLE_COUNT)
        self._sorted: list[float] = []
        self._since_refresh_count = 0

    def on_latency(self, latency_s: float) -> None:
        """Records the time from sending an attempt to its complete reply."""
        self._samples.append(latency_s)
        self._since_refresh_count += 1
        if self._since_refresh_count >= REFRESH_PERIOD_COUNT:
            self._since_refresh_count = 0
            self._sorted = sorted(self._samples)

    def delay_s(self, extra_load_percent: float) -> float | None:
        """Returns the delay before a hedge; None if no hedge is sent."""
        if len(self._sorted) < MIN_SAMPLE_COUNT or extra_load_percent <= 0:
            return None
        quantile = 1 - HEDGE_RATIO * min(extra_load_percent, 100) / 100
        index = min(int(quantile * len(self._sorted)), len(self._sorted) - 1)
        return max(MIN_DELAY_S, self._sorted[index])

    def median_s(self) -> float | None:
        """Returns the median latency; None if there are too few samples."""
        if len(self._sorted) < MIN_SAMPLE_COUNT:
            return None
        return self._sorted[len(self._sorted) // 2]

    def rank(self, latency_s: float) -> float:
        """Returns the fraction of recent latencies that are below this one."""
        if not self._sorted:
            return 0.0
        below_count = bisect.bisect_left(self._sorted, latency_s)
        return below_count / len(self._sorted)


class FixedHedging:
    """Hedges after a fixed delay: a baseline for comparison."""

    def __init__(self, after_s: float) -> None:
        self._after_s = after_s

    def on_latency(self, latency_s: float) -> None:
        """Ignores latencies."""

    def delay_s(self, extra_load_percent: float) -> float | None:
        """Returns the fixed delay."""
        del extra_load_percent
        return self._after_s


class NoHedging:
    """Never hedges."""

    def on_latency(self, latency_s: float) -> None:
        """Ignores latencies."""

    def delay_s(self, extra_load_percent: float) -> float | None:
        """Returns None."""
        del extra_load_percent
        return None
