"""How long before its due time a gathered answer must leave the node."""

import math
from collections import OrderedDict, deque
from typing import Final

# The reserve of a node that observes no delay: timers of the poller are rounded
# up to whole milliseconds, and the caller has to read the answer.
MIN_RESERVE_S: Final = 0.002
# What a caller takes to open the connection and to read the answer beyond the
# round trips, which the node can't observe. With loopback callers, 0.2 to 0.4 of
# the answers came up to 0.8 ms late without it.
UNOBSERVED_S: Final = 0.001
# The most that is taken from the target latency. Each shard that an early
# answer leaves out costs the caller coverage.
MAX_RESERVE_RATIO: Final = 0.15
# The part of the observed delays that the reserve covers.
COVERED_RATIO: Final = 0.9
# Observations count this long, so that the reserve follows the load.
WINDOW_S: Final = 10.0
MAX_SAMPLE_COUNT: Final = 128
# How often a quantile is computed again; it takes as long as a part of a request.
REFRESH_PERIOD_S: Final = 0.05
# Shard counts of routes whose work is kept.
MAX_SHARD_COUNT_COUNT: Final = 16
# Hosts of callers whose last round trip is kept.
MAX_HOST_COUNT: Final = 256


class RecentQuantile:
    """A quantile of the values of the last WINDOW_S."""

    def __init__(self, ratio: float) -> None:
        self._ratio = ratio
        self._samples: deque[tuple[float, float]] = deque(
            maxlen=MAX_SAMPLE_COUNT
        )
        self._value = 0.0
        self._computed_at_s = -math.inf

    def record(self, value: float, now_s: float) -> None:
        """Records a value."""
        self._samples.append((now_s, value))

    def value(self, now_s: float) -> float:
        """Returns the quantile; 0 without a value in the window."""
        if now_s - self._computed_at_s >= REFRESH_PERIOD_S:
            self._computed_at_s = now_s
            self._value = self._compute(now_s)
        return self._value

    def _compute(self, now_s: float) -> float:
        samples = self._samples
        while samples and samples[0][0] < now_s - WINDOW_S:
            samples.popleft()
        if not samples:
            return 0.0
        values = sorted([value for _, value in samples])
        return values[math.ceil(self._ratio * len(values)) - 1]


class AnswerReserve:
    """Derives the reserve of one node from the delays that it observes.

    Merging and encoding count in full, by the number of shards. The other
    delays have separate causes and are rarely long together, so they are
    combined like independent deviations.
    """

    def __init__(self) -> None:
        self._lateness_s = RecentQuantile(COVERED_RATIO)
        self._work_s: OrderedDict[int, RecentQuantile] = OrderedDict()
        self._unsent_s = RecentQuantile(COVERED_RATIO)
        self._spread_s = RecentQuantile(COVERED_RATIO)
        self._round_trips_s: OrderedDict[str, float] = OrderedDict()

    def record_lateness(self, late_s: float, now_s: float) -> None:
        """Records how late a timer of a request fired."""
        self._lateness_s.record(max(0.0, late_s), now_s)

    def record_work(
        self, work_s: float, shard_count: int, now_s: float
    ) -> None:
        """Records how long it took to merge, encode and submit an answer."""
        work = self._work_s.pop(shard_count, None)
        self._work_s[shard_count] = work or RecentQuantile(COVERED_RATIO)
        self._work_s[shard_count].record(work_s, now_s)
        if len(self._work_s) > MAX_SHARD_COUNT_COUNT:
            self._work_s.popitem(last=False)

    def _work_of_s(self, shard_count: int, now_s: float) -> float:
        work = self._work_s.get(shard_count)
        return work.value(now_s) if work else 0.0

    def record_unsent(self, span_s: float, now_s: float) -> None:
        """Records the time from submitting an answer to sending its end."""
        self._unsent_s.record(span_s, now_s)

    def record_round_trip(
        self, host: str, round_trip_s: float, now_s: float
    ) -> None:
        """Records the round trip of a new connection from a host.

        The difference to the one before shows by how much a request may take
        longer than the round trip that was read for its connection.
        """
        previous_s = self._round_trips_s.pop(host, None)
        if previous_s is not None:
            increase_s = max(0.0, round_trip_s - previous_s)
            self._spread_s.record(increase_s, now_s)
        self._round_trips_s[host] = round_trip_s
        if len(self._round_trips_s) > MAX_HOST_COUNT:
            self._round_trips_s.popitem(last=False)

    def parts_s(self, now_s: float) -> dict[str, float]:
        """Returns the observed delays by cause; work is of the last route."""
        last_count = next(reversed(self._work_s), 0)
        return {
            "timers": self._lateness_s.value(now_s),
            "work": self._work_of_s(last_count, now_s),
            "unsent": self._unsent_s.value(now_s),
            "network": self._spread_s.value(now_s),
        }

    def reserve_s(
        self, shard_count: int, target_latency_s: float, now_s: float
    ) -> float:
        """Returns the reserve of a request, in seconds.

        Args:
            shard_count: The number of replies to merge; 0 if none is merged.
            target_latency_s: The target latency.
            now_s: The time.
        """
        work_s = self._work_of_s(shard_count, now_s)
        delay_s = math.hypot(
            self._lateness_s.value(now_s),
            self._unsent_s.value(now_s),
            self._spread_s.value(now_s),
        )
        max_reserve_s = MAX_RESERVE_RATIO * target_latency_s
        reserve_s = UNOBSERVED_S + work_s + delay_s
        return max(MIN_RESERVE_S, min(reserve_s, max_reserve_s))
