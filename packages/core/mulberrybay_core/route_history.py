"""Latencies that a node has observed on each route."""

from typing import Final

from mulberrybay_core.hedging import QuantileHedging
from mulberrybay_core.routing import Route

# Before there are samples, the typical latency is assumed to be this ratio of
# the target latency.
INITIAL_LATENCY_RATIO: Final = 0.25
MIN_TYPICAL_LATENCY_S: Final = 0.002
# Bounds of the hedge delay, as a ratio of the latency budget of the request.
# Earlier hedges use slots that first attempts need; later hedges can't finish
# in time.
MIN_HEDGE_DELAY_RATIO: Final = 0.2
MAX_HEDGE_DELAY_RATIO: Final = 0.42
# The part of the retry budget that hedges may use in the long run. The rest is
# for retries after failures and for bursts.
HEDGE_BUDGET_RATIO: Final = 0.6


class RouteHistory:
    """The observed latencies of one route."""

    def __init__(self, target_latency_s: float) -> None:
        self.target_latency_s = target_latency_s
        self._quantiles = QuantileHedging()

    def record_latency(self, latency_s: float) -> None:
        """Records the latency of a reply or the age of an abandoned attempt."""
        self._quantiles.on_latency(latency_s)

    @property
    def is_known(self) -> bool:
        """Whether there are enough samples for the typical latency."""
        return self._quantiles.median_s() is not None

    def typical_latency_s(self) -> float:
        """Returns the median latency of a reply.

        Without samples, the result is derived from the target latency.
        """
        median_s = self._quantiles.median_s()
        if median_s is None:
            median_s = INITIAL_LATENCY_RATIO * self.target_latency_s
        return max(MIN_TYPICAL_LATENCY_S, median_s)

    def hedge_delay_s(
        self, retry_ratio: float, latency_budget_s: float
    ) -> float:
        """Returns how long to wait for a reply before sending a hedge.

        Args:
            retry_ratio: The number of retries allowed for each request.
            latency_budget_s: The time within which the backend server must
                reply so that the answer meets the target latency.
        """
        percent = 100 * retry_ratio * HEDGE_BUDGET_RATIO
        delay_s = self._quantiles.delay_s(percent)
        max_delay_s = MAX_HEDGE_DELAY_RATIO * latency_budget_s
        if delay_s is None:
            return max_delay_s
        min_delay_s = MIN_HEDGE_DELAY_RATIO * latency_budget_s
        return min(max(delay_s, min_delay_s), max_delay_s)


class RouteHistories:
    """The latency histories of all routes, by route name."""

    def __init__(self) -> None:
        self._histories: dict[str, RouteHistory] = {}

    def get(self, route: Route) -> RouteHistory:
        """Returns the history of a route, with its current target latency."""
        history = self._histories.get(route.name)
        if history is None:
            history = self._histories[route.name] = RouteHistory(
                route.target_latency_s
            )
        history.target_latency_s = route.target_latency_s
        return history
