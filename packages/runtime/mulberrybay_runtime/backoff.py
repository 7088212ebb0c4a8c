"""Exponential backoff with jitter between attempts."""

import random
from typing import Final

FIRST_DELAY_S: Final = 0.05
MAX_DELAY_S: Final = 2.0


class Backoff:
    """The retry delays of one operation."""

    def __init__(
        self,
        first_delay_s: float = FIRST_DELAY_S,
        max_delay_s: float = MAX_DELAY_S,
        random_source: random.Random | None = None,
    ) -> None:
        self._first_delay_s = first_delay_s
        self._max_delay_s = max_delay_s
        self._random = random_source or random.Random()
        self._failure_count = 0

    def next_delay_s(self) -> float:
        """Counts a failure and returns the delay until the next attempt.

        Up to half of the delay is random.
        """
        factor = float(1 << min(self._failure_count, 16))
        delay_s = self._first_delay_s * factor
        self._failure_count += 1
        return min(delay_s, self._max_delay_s) * self._random.uniform(0.5, 1)

    def reset(self) -> None:
        """Resets the delay to the first one; called after a success."""
        self._failure_count = 0
