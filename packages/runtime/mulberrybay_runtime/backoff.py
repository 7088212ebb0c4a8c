"""Exponential delays with jitter between tries."""

import random
from typing import Final

FIRST_DELAY_S: Final = 0.05
MAX_DELAY_S: Final = 2.0


class Backoff:
    """The delays of one thing that is tried again and again."""

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
        """Returns the delay after one more failure, half of it random."""
        factor = float(1 << min(self._failure_count, 16))
        delay_s = self._first_delay_s * factor
        self._failure_count += 1
        return min(delay_s, self._max_delay_s) * self._random.uniform(0.5, 1)

    def reset(self) -> None:
        """Starts from the first delay again, after a success."""
        self._failure_count = 0
