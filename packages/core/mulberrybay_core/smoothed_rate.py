"""A rate over the last seconds, from a counter that is read now and then."""

import math
from typing import Final

# Long enough that a wave of the load does not change who is told of.
SPAN_S: Final = 5.0


class SmoothedRate:
    """A rate that follows a counter.

    Attributes:
        per_s: The rate.
    """

    def __init__(self) -> None:
        self.per_s = 0.0
        self._count = 0
        self._at_s: float | None = None

    def note(self, count: int, now_s: float) -> None:
        """Takes the counter's value."""
        if self._at_s is not None and now_s > self._at_s:
            span_s = now_s - self._at_s
            weight = 1 - math.exp(-span_s / SPAN_S)
            per_s = (count - self._count) / span_s
            self.per_s += weight * (per_s - self.per_s)
        self._count = count
        self._at_s = now_s
