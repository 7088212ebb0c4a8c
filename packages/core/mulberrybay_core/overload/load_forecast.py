"""How far a load report of a given age predicts the latency of a request.

A server reports how many requests it runs and queues and how fast its machine
is. Both change within milliseconds. A node compares what reports predicted
with the latencies that it observed, and weighs reports by their age accordingly.
"""

import bisect
import math
from typing import Final, NamedTuple

# Upper bounds of the ages that are told apart; older reports are ignored.
AGE_BOUNDS_S: Final = (0.01, 0.02, 0.04, 0.08, 0.16, 0.32, 0.64, 1.28)
# Time constant of the weight that is assumed before there are observations.
INITIAL_DECAY_S: Final = 0.1
# What the assumption weighs, as the sum of squared logarithms that this many
# clear observations have.
ASSUMPTION_WEIGHT: Final = 5.0
# The number of observations of an age after which older ones have faded.
MEMORY_COUNT: Final = 300
MEAN_WEIGHT_RATIO: Final = 0.01
MAX_LOG_RATIO: Final = 3.0
# The latency of an abandoned request is assumed to be this multiple of its age.
ABANDONED_LATENCY_RATIO: Final = 2.0


class LoadPrediction(NamedTuple):
    """What was known of a server when a request was sent to it.

    Attributes:
        age_s: The age of the server's last report.
        log_with_report: Logarithm of the latency predicted from the report, as
            a multiple of the typical one.
        log_without: The same, predicted without the report.
    """

    age_s: float
    log_with_report: float
    log_without: float

    @property
    def log_difference(self) -> float:
        """What the report changes."""
        return self.log_with_report - self.log_without


class LoadForecast:
    """Learns the weight of reports by their age, for one node.

    The weight is the slope of a regression: how much of what a report
    predicted to change did change.

    Attributes:
        error_ratio: The standard deviation of the logarithm of the latency
            from the prediction.
    """

    def __init__(self) -> None:
        assumed = [
            math.exp(-bound_s / INITIAL_DECAY_S) for bound_s in AGE_BOUNDS_S
        ]
        self._squares = [ASSUMPTION_WEIGHT] * len(assumed)
        self._products = [ASSUMPTION_WEIGHT * weight for weight in assumed]
        # The last is that of reports that are too old.
        self._weights = [*assumed, 0.0]
        # Servers that are busy or slow on the whole are part of what is typical.
        self._mean_difference = 0.0
        self._mean_change = 0.0
        self._error_square = 0.25

    @property
    def error_ratio(self) -> float:
        """Standard deviation of the logarithm of the latency."""
        return math.sqrt(self._error_square)

    def weight(self, age_s: float) -> float:
        """Returns the weight of a report, from 0 (no use) to 1.

        It doesn't rise with the age.
        """
        index = bisect.bisect_left(AGE_BOUNDS_S, age_s)
        return self._weights[index]

    def _update_weights(self, index: int) -> None:
        """Computes the weights again, of an age and of greater ones."""
        weight = self._weights[index - 1] if index else 1.0
        for later in range(index, len(AGE_BOUNDS_S)):
            slope = self._products[later] / self._squares[later]
            weight = max(0.0, min(weight, slope))
            self._weights[later] = weight

    def cost(self, prediction: LoadPrediction) -> float:
        """Returns the expected latency as a multiple of the typical one."""
        weight = self.weight(prediction.age_s)
        difference = prediction.log_difference - self._mean_difference
        return math.exp(prediction.log_without + weight * difference)

    def observe_abandoned(
        self, prediction: LoadPrediction, relative_age: float
    ) -> None:
        """Records the age of a request that was abandoned without a reply.

        On average, the reply would have taken twice that age. Ignored if that
        is less than was expected.
        """
        relative_latency = ABANDONED_LATENCY_RATIO * relative_age
        if relative_latency > self.cost(prediction):
            self.observe(prediction, relative_latency)

    def observe(
        self, prediction: LoadPrediction, relative_latency: float
    ) -> None:
        """Records the latency of a request, as a multiple of the typical one."""
        bounded = math.log(max(relative_latency, 1e-3)) - prediction.log_without
        change = max(-MAX_LOG_RATIO, min(bounded, MAX_LOG_RATIO))
        difference = prediction.log_difference
        self._mean_difference += MEAN_WEIGHT_RATIO * (
            difference - self._mean_difference
        )
        self._mean_change += MEAN_WEIGHT_RATIO * (change - self._mean_change)
        difference -= self._mean_difference
        change -= self._mean_change
        error = change - self.weight(prediction.age_s) * difference
        self._error_square += MEAN_WEIGHT_RATIO * (
            error * error - self._error_square
        )
        index = bisect.bisect_left(AGE_BOUNDS_S, prediction.age_s)
        if index < len(AGE_BOUNDS_S):
            kept_ratio = 1 - 1 / MEMORY_COUNT
            self._squares[index] = (
                kept_ratio * self._squares[index] + difference * difference
            )
            self._products[index] = (
                kept_ratio * self._products[index] + difference * change
            )
            if self._squares[index] < ASSUMPTION_WEIGHT / 10:
                # Equal predictions tell nothing, and keep what was learned.
                scale = ASSUMPTION_WEIGHT / 10 / self._squares[index]
                self._squares[index] *= scale
                self._products[index] *= scale
            self._update_weights(index)
