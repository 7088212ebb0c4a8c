"""What a node has seen of the latency on each route."""

from typing import Final

from mulberrybay_core.hedging import QuantileHedging
from mulberrybay_core.routing import Route

# Before there are samples: part of the target that a reply is taken to need.
FIRST_USUAL_SHARE: Final = 0.25
MIN_USUAL_S: Final = 0.002
# Hedges never wait for less or more of the target than this: earlier ones
# take slots from first attempts, later ones can't finish in time.
MIN_HEDGE_SHARE: Final = 0.2
MAX_HEDGE_SHARE: Final = 0.42
# Of the allowed repeats, what hedges may use in the long run; the rest is for
# failures and bursts.
HEDGE_PART_OF_ALLOWANCE: Final = 0.6


class RouteHistory:
    """The latencies of one route."""

    def __init__(self, target_latency_s: float) -> None:
        self.target_latency_s = target_latency_s
        self._quantiles = QuantileHedging()

    def note_latency(self, latency_s: float) -> None:
        """Takes the latency of a reply, or the age of a given up attempt."""
        self._quantiles.on_latency(latency_s)

    def usual_s(self) -> float:
        """Returns the median latency of a reply."""
        median_s = self._quantiles.median_s()
        if median_s is None:
            median_s = FIRST_USUAL_SHARE * self.target_latency_s
        return max(MIN_USUAL_S, median_s)

    def hedge_delay_s(self, repeat_ratio: float, available_s: float) -> float:
        """Returns how long to wait for a reply before a second attempt.

        Args:
            repeat_ratio: Repeats allowed for each request.
            available_s: The time in which the answer meets its target.
        """
        percent = 100 * repeat_ratio * HEDGE_PART_OF_ALLOWANCE
        delay_s = self._quantiles.delay_s(percent)
        longest_s = MAX_HEDGE_SHARE * available_s
        if delay_s is None:
            return longest_s
        shortest_s = MIN_HEDGE_SHARE * available_s
        return min(max(delay_s, shortest_s), longest_s)


class RouteHistories:
    """The histories of all routes, by name."""

    def __init__(self) -> None:
        self._histories: dict[str, RouteHistory] = {}

    def get(self, route: Route) -> RouteHistory:
        """Returns the history of a route."""
        history = self._histories.get(route.name)
        if history is None:
            history = self._histories[route.name] = RouteHistory(
                route.target_latency_s
            )
        history.target_latency_s = route.target_latency_s
        return history
