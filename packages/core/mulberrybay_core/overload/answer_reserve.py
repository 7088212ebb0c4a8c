"""How long before its due time a gathered answer must leave the node."""

import math
from collections import OrderedDict
from typing import Final, NamedTuple

from mulberrybay_core.overload.caller_lookups import CallerLookups
from mulberrybay_core.overload.recent_quantile import RecentQuantile

# What no node can observe: the links send the answer's bytes, and the caller has
# to read it. With loopback callers, 0.2 to 0.4 of the answers came up to 0.8 ms
# late without a part for this. The observed delays come in addition.
MIN_RESERVE_S: Final = 0.002
# The most that is taken from the target latency. Each shard that an early
# answer leaves out costs the caller coverage.
MAX_RESERVE_RATIO: Final = 0.15
# The part of the observed delays that the reserve covers.
COVERED_RATIO: Final = 0.9
# Shard counts of routes whose work is kept.
MAX_SHARD_COUNT_COUNT: Final = 16
# Hosts of callers whose last round trip is kept.
MAX_HOST_COUNT: Final = 256


class AnswerTiming(NamedTuple):
    """What a request's answer has to allow for.

    Attributes:
        reserve_s: How long before its due time the answer must leave.
        lookup_s: How long the caller took before, if it looked up addresses.
        lookup_share: The share of requests before which callers do, 0 to 1.
    """

    reserve_s: float = MIN_RESERVE_S
    lookup_s: float = 0.0
    lookup_share: float = 0.0

    @property
    def mean_lookup_s(self) -> float:
        """The time for lookups in the mean of all requests."""
        return self.lookup_share * self.lookup_s

    def is_worth_leaving(self, coverage: float) -> bool:
        """Returns whether to answer early, with what is in.

        Leaving now serves all callers with the coverage so far. Waiting serves
        those with full coverage that did not look up, and the others too late.
        The value of an answer is the square of its coverage.
        """
        return coverage * coverage >= 1 - self.lookup_share


class AnswerReserve:
    """Derives the reserve of one node from the delays that it observes.

    Merging and encoding count in full, by the number of shards. The other
    delays have separate causes and are rarely long together, so they are
    combined like independent deviations.
    """

    def __init__(self, lookups: CallerLookups | None = None) -> None:
        """Creates an estimate without observations.

        Args:
            lookups: Estimates the lookups of callers; None if they make none.
        """
        self.lookups = lookups or CallerLookups(0.0)
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
        self.lookups.record_connection(round_trip_s, now_s)
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
            "lookup": self.lookups.duration_s(now_s)
            * self.lookups.share(now_s),
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
        return max(
            MIN_RESERVE_S, min(MIN_RESERVE_S + work_s + delay_s, max_reserve_s)
        )

    def timing(
        self, shard_count: int, target_latency_s: float, now_s: float
    ) -> AnswerTiming:
        """Returns what the answer of a request has to allow for.

        Args:
            shard_count: The number of replies to merge; 0 if none is merged.
            target_latency_s: The target latency.
            now_s: The time.
        """
        lookups = self.lookups
        return AnswerTiming(
            self.reserve_s(shard_count, target_latency_s, now_s),
            lookups.duration_s(now_s),
            lookups.share(now_s),
        )
