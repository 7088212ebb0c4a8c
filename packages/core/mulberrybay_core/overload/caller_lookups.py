"""How often callers look up addresses before a request, and how long it takes.

A caller counts its latency from the moment at which it wants to send, and
looks up the nodes' addresses first if those it has cached have expired. No node
sees this time: the lookup is answered by any node, often another one.
"""

import math
from collections import Counter, deque
from typing import Final

from mulberrybay_core.overload.recent_quantile import RecentQuantile

# Long enough to see most callers more than once at one of several nodes.
REQUEST_WINDOW_S: Final = 30.0
MAX_REQUEST_COUNT: Final = 512
# Opening a connection and one exchange on it.
LOOKUP_ROUND_TRIP_COUNT: Final = 2
# Callers ask the nearest node, so a lookup takes a short round trip of those
# that this node sees.
NEAR_RATIO: Final = 0.1
# Answers without a shard are worth the square of the coverage. Below this share
# of lookups even one missing shard of 40 would cost more than is gained.
MIN_SHARE_RATIO: Final = 0.05
SOLUTION_STEP_COUNT: Final = 24
MAX_MEAN_COUNT: Final = 256.0


def estimate_mean_count(request_count: int, host_count: int) -> float:
    """Returns the mean number of requests of a caller, unseen callers included.

    A caller that sends as others do, at random, is seen with the probability
    1 - exp(-mean). So the ratio of callers seen to requests is
    (1 - exp(-mean)) / mean, which falls with the mean.
    """
    if host_count >= request_count:
        return 0.0
    ratio = host_count / request_count
    low, high = 0.0, MAX_MEAN_COUNT
    for _ in range(SOLUTION_STEP_COUNT):
        mean = (low + high) / 2
        if -math.expm1(-mean) / mean > ratio:
            low = mean
        else:
            high = mean
    return (low + high) / 2


class CallerLookups:
    """Estimates the lookups of callers from the requests that a node gets.

    Attributes:
        advertised_count: The nodes among which callers divide their requests.
    """

    def __init__(self, address_life_s: float) -> None:
        """Creates the estimate.

        Args:
            address_life_s: How long callers may cache addresses; 0 if nobody
                looks up addresses.
        """
        self._address_life_s = address_life_s
        self.advertised_count = 1
        self._requests: deque[tuple[float, str]] = deque()
        self._counts: Counter[str] = Counter()
        self._round_trip_s = RecentQuantile(NEAR_RATIO)
        self._known_counts = (0, 0)
        self._mean_count = 0.0

    def record_connection(self, round_trip_s: float, now_s: float) -> None:
        """Records the round trip of a caller's new connection."""
        self._round_trip_s.record(round_trip_s, now_s)

    def record_request(self, host: str, now_s: float) -> None:
        """Records a request of the caller at a host."""
        self._requests.append((now_s, host))
        self._counts[host] += 1
        oldest_s = now_s - REQUEST_WINDOW_S
        while (
            self._requests[0][0] < oldest_s
            or len(self._requests) > MAX_REQUEST_COUNT
        ):
            _, gone = self._requests.popleft()
            self._counts[gone] -= 1
            if not self._counts[gone]:
                del self._counts[gone]

    def duration_s(self, now_s: float) -> float:
        """Returns how long a lookup takes."""
        return LOOKUP_ROUND_TRIP_COUNT * self._round_trip_s.value(now_s)

    def share(self, now_s: float) -> float:
        """Returns the share of requests before which callers look up, 0 to 1.

        Each lookup serves the requests of the caller for as long as it may
        cache the addresses, and the request for which it was made.
        """
        if not self._requests or self._address_life_s <= 0:
            return 0.0
        span_s = now_s - self._requests[0][0]
        counts = (len(self._requests), len(self._counts))
        if counts != self._known_counts:
            self._known_counts = counts
            self._mean_count = estimate_mean_count(*counts)
        if self._mean_count <= 0:
            return 1.0
        rate_per_s = (
            self._mean_count * max(1, self.advertised_count) / max(span_s, 1e-3)
        )
        share = 1 / (1 + rate_per_s * self._address_life_s)
        return share if share >= MIN_SHARE_RATIO else 0.0
