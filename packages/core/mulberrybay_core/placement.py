"""Placing: which backend server of a service gets a request.

Answers stragglers and pauses: replicas of a shard differ in speed, slow down
when their slots are full, and stop now and then for longer than a request
takes. Takes the time and a random source as arguments.
"""

import math
import random
from collections.abc import Sequence
from typing import Final, NamedTuple

from mulberrybay_core.server_directory import KnownServer

SPEED_WEIGHT: Final = 0.15
ABANDONED_FACTOR: Final = 2.0
MIN_RELATIVE_LATENCY: Final = 0.3
MAX_RELATIVE_LATENCY: Final = 12.0
# How long an estimate of a server lasts without new samples.
ESTIMATE_LIFE_S: Final = 3.0
# A reported load says little after this; requests take tens of milliseconds.
LOAD_REPORT_LIFE_S: Final = 0.25
# A request this many times older than usual shows a paused server.
STALL_FACTOR: Final = 3.0
MIN_STALL_S: Final = 0.03
STALL_COST: Final = 4.0
COLD_COST: Final = 0.6
OTHER_DOMAIN_COST: Final = 0.08
# Weight of one outcome in the share of failures, and the largest share that
# is believed: a server that fails always is still tried now and then.
FAILURE_WEIGHT: Final = 0.3
MAX_FAILURE_SHARE: Final = 0.95
# Breaks ties, so that nodes with like knowledge don't all pick one server.
JITTER: Final = 0.06


class LoadReport(NamedTuple):
    """What a backend server says of its load."""

    running_count: int
    waiting_count: int
    slot_count: int


class ServerState:
    """What this node has seen of one backend server."""

    __slots__ = (
        "_failed_at_s",
        "_failure_share",
        "_report",
        "_report_at_s",
        "_report_own_count",
        "_sampled_at_s",
        "_slowness",
        "in_flight",
    )

    def __init__(self) -> None:
        # When each request that runs now was sent, by a key of the sender.
        self.in_flight: dict[int, float] = {}
        # The latency beyond the usual one, as a multiple of that.
        self._slowness = 0.0
        self._sampled_at_s = 0.0
        self._failure_share = 0.0
        self._failed_at_s = 0.0
        self._report: LoadReport | None = None
        self._report_at_s = 0.0
        self._report_own_count = 0

    def relative_latency(self, now_s: float) -> float:
        """Returns the latency to expect as a multiple of the usual one.

        An estimate without new samples returns to 1, so that a server that
        was avoided is tried again.
        """
        age_s = now_s - self._sampled_at_s
        return 1 + self._slowness * math.exp(-age_s / ESTIMATE_LIFE_S)

    def note_success(self, relative_latency: float, now_s: float) -> None:
        """Takes a latency, as a multiple of what is usual on its route."""
        self._note_latency(relative_latency, now_s)
        self._note_outcome(now_s, failed=False)

    def note_abandoned(self, relative_latency: float, now_s: float) -> None:
        """Takes how long a request had waited that was given up.

        Its reply would have taken longer, by as much again on the average.
        """
        expected = ABANDONED_FACTOR * relative_latency
        if expected > self.relative_latency(now_s):
            self._note_latency(expected, now_s)

    def _note_latency(self, relative_latency: float, now_s: float) -> None:
        bounded = min(
            max(relative_latency, MIN_RELATIVE_LATENCY), MAX_RELATIVE_LATENCY
        )
        estimate = self.relative_latency(now_s)
        self._slowness = estimate + SPEED_WEIGHT * (bounded - estimate) - 1
        self._sampled_at_s = now_s

    def note_failure(self, now_s: float) -> None:
        """Takes that a request came to nothing at the server."""
        self._note_outcome(now_s, failed=True)

    def failure_share(self, now_s: float) -> float:
        """Returns the share of requests that is expected to fail."""
        age_s = now_s - self._failed_at_s
        return self._failure_share * math.exp(-age_s / ESTIMATE_LIFE_S)

    def _note_outcome(self, now_s: float, *, failed: bool) -> None:
        share = self.failure_share(now_s)
        share += FAILURE_WEIGHT * (float(failed) - share)
        self._failure_share = share
        self._failed_at_s = now_s

    def note_load(self, report: LoadReport, now_s: float) -> None:
        """Takes the load that the server reported with a reply."""
        self._report = report
        self._report_at_s = now_s
        self._report_own_count = len(self.in_flight)

    def load_of_others(self, now_s: float) -> float:
        """Returns the requests of other nodes that the server may have."""
        if self._report is None:
            return 0.0
        age_s = now_s - self._report_at_s
        if age_s >= LOAD_REPORT_LIFE_S:
            return 0.0
        total = self._report.running_count + self._report.waiting_count
        others = max(0, total - self._report_own_count - 1)
        return others * (1 - age_s / LOAD_REPORT_LIFE_S)

    def is_stalled(self, now_s: float, usual_s: float) -> bool:
        """Whether a request to the server has been out unusually long."""
        if not self.in_flight:
            return False
        oldest_at_s = next(iter(self.in_flight.values()))
        usual_s *= self.relative_latency(now_s)
        return now_s - oldest_at_s > max(MIN_STALL_S, STALL_FACTOR * usual_s)


class PlacementQuery(NamedTuple):
    """What a choice depends on, apart from the servers.

    Attributes:
        now_s: The time.
        usual_s: The usual latency of a request on this route.
        failure_domain: Where this node runs.
    """

    now_s: float
    usual_s: float
    failure_domain: str


def placement_cost(
    known: KnownServer, state: ServerState, query: PlacementQuery
) -> float:
    """Returns the latency to expect, as a multiple of the usual one."""
    slots = max(1, known.entry.slot_count)
    now_s = query.now_s
    ahead = len(state.in_flight) + state.load_of_others(now_s)
    queued = max(0.0, ahead + 1 - slots) / slots
    # A server that is nearly full is slower, before anything queues.
    busy = 0.3 * min(1.0, ahead / slots)
    cost = state.relative_latency(now_s) * (1 + busy + queued)
    if state.is_stalled(now_s, query.usual_s):
        cost += STALL_COST
    # A failed request is sent again and takes its time once more.
    share = min(state.failure_share(now_s), MAX_FAILURE_SHARE)
    cost /= 1 - share
    if now_s < known.cold_until_s:
        cost += COLD_COST
    if known.entry.failure_domain != query.failure_domain:
        cost += OTHER_DOMAIN_COST
    return cost


def choose_server(
    candidates: Sequence[tuple[KnownServer, ServerState]],
    query: PlacementQuery,
    random_source: random.Random,
) -> KnownServer | None:
    """Returns the server with the lowest cost; None without candidates."""
    best: KnownServer | None = None
    best_cost = 0.0
    for known, state in candidates:
        cost = placement_cost(known, state, query)
        cost *= 1 + JITTER * random_source.random()
        if best is None or cost < best_cost:
            best, best_cost = known, cost
    return best
