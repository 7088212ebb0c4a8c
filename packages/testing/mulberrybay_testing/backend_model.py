"""A model of one backend server without I/O: warmth, load, service times."""

from __future__ import annotations

import math
import random
import zlib
from typing import NamedTuple, TypedDict

# An overloaded cold server is slower by this factor for this time.
_COLLAPSE_DURATION_S = 2.0
_COLLAPSE_SLOWDOWN_FACTOR = 10.0
_HIT_COUNT = 2
# Further requests are shed.
_MAX_QUEUED_PER_SLOT = 2


class ServerSpec(NamedTuple):
    """The properties of one backend server, as given by its spec file."""

    vm_id: str
    host: str
    port: int
    service: str
    failure_domain: str
    slot_count: int
    connection_cap: int
    connect_cost_ms: float = 0.0
    service_time_ms: float = 5.0
    service_time_sigma: float = 0.0
    straggle_probability: float = 0.0
    straggle_factor: float = 1.0
    index_versions: tuple[int, ...] = (1,)
    cold: bool = False
    warm_up_requests: int = 30
    cold_slowdown: float = 4.0
    seed: int = 0


class Counters(TypedDict):
    """Event counts since the start of a server."""

    requests: int
    max_outstanding: int
    overfed: int
    cancelled: int
    shed: int
    effects: int
    connections_over_cap: int


class ColdOverload(NamedTuple):
    """More requests were outstanding than a cold server can handle.

    Attributes:
        outstanding: The number of outstanding requests.
        bearable: The capacity at that time; named as in the logged event.
        cold_age_s: The time since the server became cold.
    """

    outstanding: int
    bearable: int
    cold_age_s: float


class ServerModel:
    """The state of one backend server; the caller supplies the time."""

    def __init__(self, spec: ServerSpec, now_s: float) -> None:
        self.spec = spec
        self.busy_slot_count = 0
        self.queued_count = 0
        self.slow_factor = 1.0
        self.counters: Counters = {
            "requests": 0,
            "max_outstanding": 0,
            "overfed": 0,
            "cancelled": 0,
            "shed": 0,
            "effects": 0,
            "connections_over_cap": 0,
        }
        self._random = random.Random(spec.seed)
        self._warm_up_count = 0 if spec.cold else spec.warm_up_requests
        self._cold_since_s = now_s
        self._collapsed_until_s = -math.inf

    @property
    def warmth(self) -> float:
        """The progress of the warm-up, from 0 (cold) to 1 (warm)."""
        if self.spec.warm_up_requests <= 0:
            return 1.0
        return min(1.0, self._warm_up_count / self.spec.warm_up_requests)

    @property
    def outstanding_count(self) -> int:
        """The number of requests in progress and in the queue."""
        return self.busy_slot_count + self.queued_count

    @property
    def capacity(self) -> int:
        """How many outstanding requests the server can handle at its warmth."""
        warmth = self.warmth
        if warmth < 0.5:
            return 1
        grown = (self.spec.slot_count - 1) * (warmth - 0.5) * 2
        return 1 + int(grown)

    @property
    def has_free_slot(self) -> bool:
        """Whether another request can start immediately."""
        return self.busy_slot_count < self.spec.slot_count

    @property
    def queue_is_full(self) -> bool:
        """Whether the queue has no place for another request."""
        return self.queued_count >= _MAX_QUEUED_PER_SLOT * self.spec.slot_count

    def set_cold(self, now_s: float) -> None:
        """Resets the warmth to 0."""
        self._warm_up_count = 0
        self._cold_since_s = now_s

    def set_warm(self) -> None:
        """Sets the warmth to 1."""
        self._warm_up_count = self.spec.warm_up_requests

    def record_outstanding(self, now_s: float) -> ColdOverload | None:
        """Updates the maximum; slows the server down if it is overloaded.

        A server that is not warm loses its warmth when more requests are
        outstanding than it can handle.

        Returns:
            The overload, if there is one.
        """
        outstanding = self.outstanding_count
        counters = self.counters
        counters["max_outstanding"] = max(
            counters["max_outstanding"], outstanding
        )
        capacity = self.capacity
        if self.warmth >= 1 or outstanding <= capacity:
            return None
        counters["overfed"] += 1
        self._warm_up_count = 0
        self._collapsed_until_s = now_s + _COLLAPSE_DURATION_S
        return ColdOverload(outstanding, capacity, now_s - self._cold_since_s)

    def draw_service_time_s(self, now_s: float) -> float:
        """Returns a random service time for the next request."""
        spec = self.spec
        time_s = spec.service_time_ms / 1000 * self.slow_factor
        if spec.service_time_sigma > 0:
            time_s *= self._random.lognormvariate(0, spec.service_time_sigma)
        if self._random.random() < spec.straggle_probability:
            time_s *= spec.straggle_factor
        time_s *= 1 + (spec.cold_slowdown - 1) * (1 - self.warmth)
        if now_s < self._collapsed_until_s:
            time_s *= _COLLAPSE_SLOWDOWN_FACTOR
        return time_s

    def record_completion(self) -> None:
        """Counts a completed request towards the warm-up."""
        if self._warm_up_count < self.spec.warm_up_requests:
            self._warm_up_count += 1

    @property
    def load(self) -> float:
        """The ratio of outstanding requests to slots, at most 1."""
        return min(1.0, self.outstanding_count / self.spec.slot_count)


class Hit(TypedDict):
    """One hit of a search."""

    id: str


def expected_hits(index_version: int, shard: str, body: bytes) -> list[Hit]:
    """Returns the hits that a server gives for a query in one shard."""
    query_hash = f"{zlib.crc32(body):08x}"
    return [
        {"id": f"{index_version}/{shard}/{query_hash}/{index}"}
        for index in range(_HIT_COUNT)
    ]
