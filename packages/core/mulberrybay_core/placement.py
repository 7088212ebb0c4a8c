"""Chooses the backend server of a service that a request is sent to.

The choice avoids slow and paused servers: replicas of a shard differ in speed,
slow down when their slots are full, and sometimes pause for longer than a
request takes. The time and the source of random numbers are arguments.
"""

import math
import random
from collections.abc import Sequence
from typing import Final, NamedTuple

from mulberrybay_core.load_report import LoadReport
from mulberrybay_core.overload.admission import ServerRoom
from mulberrybay_core.overload.load_forecast import (
    ABANDONED_LATENCY_RATIO,
    LoadForecast,
    LoadPrediction,
)
from mulberrybay_core.server_directory import KnownServer

# Weight of one latency sample in the estimate.
LATENCY_SAMPLE_WEIGHT_RATIO: Final = 0.15
# Bounds of one latency sample, as multiples of the typical latency.
MIN_RELATIVE_LATENCY_RATIO: Final = 0.3
MAX_RELATIVE_LATENCY_RATIO: Final = 12.0
# Time constant with which estimates of a server decay without new samples.
ESTIMATE_DECAY_S: Final = 3.0
# A reported load is ignored after this time, since requests take only tens of
# milliseconds.
MAX_LOAD_REPORT_AGE_S: Final = 0.25
# A server counts as stalled if a request to it is older than this multiple of
# the expected latency, and older than the minimum.
STALL_LATENCY_RATIO: Final = 3.0
MIN_STALL_AGE_S: Final = 0.03
# Added to the cost, which is a multiple of the typical latency.
STALL_COST_RATIO: Final = 4.0
COLD_COST_RATIO: Final = 0.6
OTHER_DOMAIN_COST_RATIO: Final = 0.08
# Weight of one outcome in the failure ratio, and the upper bound of that ratio:
# a server that always fails is still tried from time to time.
FAILURE_WEIGHT_RATIO: Final = 0.3
MAX_FAILURE_RATIO: Final = 0.95
# Random increase of a cost, so that nodes with similar estimates don't all
# choose the same server.
MAX_JITTER_RATIO: Final = 0.06
# Added to it for a cost from a report of work, as a part of the error that such
# costs have: the less reports predict, the more nodes would choose wrongly alike.
REPORT_JITTER_RATIO: Final = 0.7
# Weight of one request in the mean work at a server, and the bounds of that
# mean as a multiple of the work of the request to be sent.
WORK_WEIGHT_RATIO: Final = 0.1
MIN_WORK_RATIO: Final = 0.2
MAX_WORK_RATIO: Final = 5.0


class ServerState:
    """What this node has observed of one backend server.

    Attributes:
        in_flight: When each request in flight was sent, by a key of the sender.
        last_prediction: What `predict` has last returned.
    """

    __slots__ = (
        "_excess_latency_ratio",
        "_failure_ratio",
        "_mean_latency_s",
        "_outcome_at_s",
        "_own_count_at_report",
        "_report",
        "_report_at_s",
        "_sampled_at_s",
        "in_flight",
        "last_prediction",
    )

    def __init__(self) -> None:
        self.in_flight: dict[int, float] = {}
        self.last_prediction: LoadPrediction | None = None
        # The latency in excess of the typical one, as a multiple of that.
        self._excess_latency_ratio = 0.0
        self._sampled_at_s = 0.0
        self._failure_ratio = 0.0
        self._outcome_at_s = 0.0
        self._report: LoadReport | None = None
        self._report_at_s = 0.0
        self._own_count_at_report = 0
        # Of the routes whose requests were sent to the server.
        self._mean_latency_s = 0.0

    @property
    def reports_work(self) -> bool:
        """Whether the last report says how long work takes."""
        report = self._report
        return report is not None and report.work_percent is not None

    def record_sent(self, typical_latency_s: float) -> None:
        """Records a request of a route with a typical latency."""
        if not self._mean_latency_s:
            self._mean_latency_s = typical_latency_s
        self._mean_latency_s += WORK_WEIGHT_RATIO * (
            typical_latency_s - self._mean_latency_s
        )

    def relative_latency(self, now_s: float) -> float:
        """Returns the expected latency as a multiple of the typical one.

        Without new samples, the estimate returns to 1, so that a server that
        was avoided is tried again.
        """
        age_s = now_s - self._sampled_at_s
        return 1 + self._excess_latency_ratio * math.exp(
            -age_s / ESTIMATE_DECAY_S
        )

    def record_success(self, relative_latency: float, now_s: float) -> None:
        """Records the latency of a reply.

        Args:
            relative_latency: As a multiple of the typical latency of the route.
            now_s: The time.
        """
        self._record_latency(relative_latency, now_s)
        self._record_outcome(now_s, failed=False)

    def record_abandoned(self, relative_latency: float, now_s: float) -> None:
        """Records the age of a request that was abandoned without a reply.

        On average, the reply would have taken twice that age. The sample is
        ignored if that is below the current estimate.

        Args:
            relative_latency: The age as a multiple of the typical latency of
                the route.
            now_s: The time.
        """
        expected = ABANDONED_LATENCY_RATIO * relative_latency
        if expected > self.relative_latency(now_s):
            self._record_latency(expected, now_s)

    def _record_latency(self, relative_latency: float, now_s: float) -> None:
        bounded = min(
            max(relative_latency, MIN_RELATIVE_LATENCY_RATIO),
            MAX_RELATIVE_LATENCY_RATIO,
        )
        estimate = self.relative_latency(now_s)
        self._excess_latency_ratio = (
            estimate + LATENCY_SAMPLE_WEIGHT_RATIO * (bounded - estimate) - 1
        )
        self._sampled_at_s = now_s

    def record_failure(self, now_s: float) -> None:
        """Records that a request to the server failed."""
        self._record_outcome(now_s, failed=True)

    def failure_ratio(self, now_s: float) -> float:
        """Returns the expected ratio of requests that fail."""
        if not self._failure_ratio:
            return 0.0
        age_s = now_s - self._outcome_at_s
        return self._failure_ratio * math.exp(-age_s / ESTIMATE_DECAY_S)

    def _record_outcome(self, now_s: float, *, failed: bool) -> None:
        ratio = self.failure_ratio(now_s)
        ratio += FAILURE_WEIGHT_RATIO * (float(failed) - ratio)
        self._failure_ratio = ratio
        self._outcome_at_s = now_s

    def record_load(self, report: LoadReport, now_s: float) -> None:
        """Records the load that the server reported with a reply."""
        self._report = report
        self._report_at_s = now_s
        self._own_count_at_report = len(self.in_flight)

    def other_nodes_load(self, now_s: float) -> float:
        """Returns an estimate of the server's requests from other nodes."""
        if self._report is None:
            return 0.0
        age_s = now_s - self._report_at_s
        if age_s >= MAX_LOAD_REPORT_AGE_S:
            return 0.0
        total = self._report.running_count + self._report.waiting_count
        others = max(0, total - self._own_count_at_report - 1)
        return others * (1 - age_s / MAX_LOAD_REPORT_AGE_S)

    def room(self, slot_count: int, now_s: float) -> ServerRoom:
        """Returns what is known of the server's load."""
        request_count = len(self.in_flight) + self.other_nodes_load(now_s)
        return ServerRoom(request_count, slot_count, self._mean_latency_s)

    def predict(
        self, slot_count: int, query: "PlacementQuery"
    ) -> LoadPrediction | None:
        """Predicts the latency of a request with and without the last report.

        Returns:
            None if that report doesn't say how long work takes.
        """
        report = self._report
        if report is None or report.work_percent is None:
            self.last_prediction = None
            return None
        own_count = len(self.in_flight)
        mean_latency_s = self._mean_latency_s or query.typical_latency_s
        work_ratio = min(
            max(mean_latency_s / query.typical_latency_s, MIN_WORK_RATIO),
            MAX_WORK_RATIO,
        )
        total = report.running_count + report.waiting_count
        others = max(0, total - self._own_count_at_report - 1)
        with_report = (report.work_percent / 100) * _queue_factor(
            own_count + others, slot_count, work_ratio
        )
        without = self.relative_latency(query.now_s) * _queue_factor(
            own_count, slot_count, work_ratio
        )
        self.last_prediction = LoadPrediction(
            query.now_s - self._report_at_s,
            math.log(with_report),
            math.log(without),
        )
        return self.last_prediction

    def is_stalled(self, now_s: float, typical_latency_s: float) -> bool:
        """Returns whether a request to the server is unusually old.

        Args:
            now_s: The time.
            typical_latency_s: The typical latency of a request on its route.
        """
        if not self.in_flight:
            return False
        oldest_at_s = next(iter(self.in_flight.values()))
        typical_latency_s *= self.relative_latency(now_s)
        return now_s - oldest_at_s > max(
            MIN_STALL_AGE_S, STALL_LATENCY_RATIO * typical_latency_s
        )


class PlacementQuery(NamedTuple):
    """The inputs of a choice apart from the servers.

    Attributes:
        now_s: The time.
        typical_latency_s: The typical latency of a request on this route.
        failure_domain: The failure domain of this node.
        forecast: Weighs reports that say how long work takes; None if these
            are used like others.
    """

    now_s: float
    typical_latency_s: float
    failure_domain: str
    forecast: LoadForecast | None = None


def _queue_factor(
    load: float, slot_count: int, work_ratio: float = 1.0
) -> float:
    """Returns the latency as a multiple of that at a server without load.

    Args:
        load: The requests at the server.
        slot_count: The requests that it runs at the same time.
        work_ratio: The work of one of these as a multiple of that of the
            request to be sent.
    """
    queue_cost = max(0.0, load + 1 - slot_count) / slot_count
    # A server that is nearly full is slower even before requests are queued.
    slot_use_cost = 0.3 * min(1.0, load / slot_count)
    return 1 + slot_use_cost + queue_cost * work_ratio


def placement_cost(
    server: KnownServer, state: ServerState, query: PlacementQuery
) -> float:
    """Returns the expected latency as a multiple of the typical one."""
    slots = max(1, server.entry.slot_count)
    now_s = query.now_s
    prediction = state.predict(slots, query) if query.forecast else None
    if query.forecast is not None and prediction is not None:
        cost = query.forecast.cost(prediction)
    else:
        load = len(state.in_flight) + state.other_nodes_load(now_s)
        cost = state.relative_latency(now_s) * _queue_factor(load, slots)
    if state.is_stalled(now_s, query.typical_latency_s):
        cost += STALL_COST_RATIO
    # A failed request is retried, which takes the same time again.
    failure_ratio = min(state.failure_ratio(now_s), MAX_FAILURE_RATIO)
    cost /= 1 - failure_ratio
    if now_s < server.cold_until_s:
        cost += COLD_COST_RATIO
    if server.entry.failure_domain != query.failure_domain:
        cost += OTHER_DOMAIN_COST_RATIO
    return cost


def choose_server(
    candidates: Sequence[tuple[KnownServer, ServerState]],
    query: PlacementQuery,
    random_source: random.Random,
) -> KnownServer | None:
    """Returns the server with the lowest cost; None without candidates.

    Costs are increased at random by up to MAX_JITTER_RATIO. Those that use a
    report of work vary more; see REPORT_JITTER_RATIO.
    """
    best: KnownServer | None = None
    best_cost = 0.0
    for server, state in candidates:
        cost = placement_cost(server, state, query)
        jitter_ratio = MAX_JITTER_RATIO
        if query.forecast is not None and state.reports_work:
            jitter_ratio += REPORT_JITTER_RATIO * query.forecast.error_ratio
        cost *= 1 + jitter_ratio * random_source.random()
        if best is None or cost < best_cost:
            best, best_cost = server, cost
    return best
