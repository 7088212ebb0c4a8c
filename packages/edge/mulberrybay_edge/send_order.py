"""Holds back requests for servers that are full, where classes differ."""

import math
from collections import Counter
from collections.abc import Iterable
from typing import Final

from mulberrybay_core.overload.admission import (
    Decision,
    RefusalShares,
    ServerRoom,
    ServiceOrder,
    Urgency,
    may_hedge,
)
from mulberrybay_core.overload.waiting_requests import (
    WaitingRequest,
    WaitingRequests,
)
from mulberrybay_edge.sending import AttemptSpec

# Queues are looked at for this long after servers were seen without room.
FULL_MEMORY_S: Final = 1.0
# Lower priorities are counted together, to bound the metrics' labels.
MAX_PRIORITY_LABEL: Final = 3


def priority_label(priority: int) -> str:
    """Returns the label of a class in the metrics."""
    if priority >= MAX_PRIORITY_LABEL:
        return f"{MAX_PRIORITY_LABEL}+"
    return str(priority)


class _Service:
    """The requests of one service."""

    __slots__ = ("is_reported", "is_resuming", "order", "waiting")

    def __init__(self) -> None:
        self.order = ServiceOrder()
        self.waiting = WaitingRequests()
        self.is_resuming = False
        # Whether its servers report how long work takes.
        self.is_reported = False


class SendOrder:
    """The order in which a node sends requests to full servers.

    Attributes:
        delayed_counts: Attempts held back at one service, by class and by
            why they were then sent, or `hedge` for each check of a hedge.
        refused_counts: Queries that can't be answered in time, refused (late) or
            sent to serve some of the class, by class.
    """

    def __init__(self) -> None:
        self._services: dict[str, _Service] = {}
        # When the servers of a service were last seen without room.
        self._full_at_s = -math.inf
        self.shares = RefusalShares()
        self.delayed_counts: Counter[tuple[str, str]] = Counter()
        self.refused_counts: Counter[tuple[str, str]] = Counter()

    def _service(self, name: str) -> _Service:
        service = self._services.get(name)
        if service is None:
            service = self._services[name] = _Service()
        return service

    def record_request(
        self, service: str, urgency: Urgency, now_s: float
    ) -> None:
        """Counts a caller's request for a service."""
        self._service(service).order.record_request(urgency.priority, now_s)

    def must_wait(
        self, spec: AttemptSpec, rooms: Iterable[ServerRoom], now_s: float
    ) -> bool:
        """Returns whether an attempt may not be sent now."""
        if spec.urgency is None:
            return False
        service = self._service(spec.service)
        service.is_reported = True
        if spec.tried.in_progress:
            if may_hedge(rooms):
                return False
            self._full_at_s = now_s
            label = priority_label(spec.urgency.priority)
            self.delayed_counts["hedge", label] += 1
            return True
        decision = service.order.decide(spec.urgency, rooms, now_s)
        if decision is not Decision.ROOM:
            self._full_at_s = now_s
        if decision is Decision.WAIT:
            return True
        if service.waiting and service.waiting.remove(spec.tried) is not None:
            label = priority_label(spec.urgency.priority)
            self.delayed_counts[decision.value, label] += 1
        return False

    def add(self, spec: AttemptSpec, now_s: float) -> None:
        """Queues an attempt that was not sent, if it can be resumed."""
        service = self._services.get(spec.service)
        if (
            service is not None
            and service.is_reported
            and spec.urgency is not None
            and spec.resume is not None
        ):
            service.waiting.add(
                spec.urgency, WaitingRequest(spec.tried, spec.resume, now_s)
            )

    def withdraw(self, service_name: str, key: object) -> None:
        """Removes a request that is not needed any more."""
        service = self._services.get(service_name)
        if service is not None and service.waiting:
            service.waiting.remove(key)

    def resume(self, service_name: str) -> None:
        """Sends what waits first for a service, as far as it may be sent."""
        service = self._services.get(service_name)
        if service is None or not service.waiting or service.is_resuming:
            return
        service.is_resuming = True
        try:
            for _ in range(len(service.waiting)):
                first = service.waiting.first()
                if first is None:
                    break
                first.resume()
                if service.waiting.first() is first:
                    break
        finally:
            service.is_resuming = False

    def has_seen_full(self, now_s: float) -> bool:
        """Returns whether servers of a service have lately had no room."""
        return now_s < self._full_at_s + FULL_MEMORY_S

    def refuses(self, urgency: Urgency, now_s: float, *, is_late: bool) -> bool:
        """Counts a query; returns whether to refuse it."""
        self.shares.record_request(urgency.priority, now_s)
        if not is_late:
            return False
        label = priority_label(urgency.priority)
        is_refused = self.shares.refuse(urgency.priority, now_s)
        # A class that was refused often is sent although it is late.
        self.refused_counts["late" if is_refused else "sent", label] += 1
        return is_refused

    def waiting_count(self) -> int:
        """Returns the requests that wait, counted for each service."""
        return sum(len(s.waiting) for s in self._services.values())

    def oldest_since_s(self) -> float | None:
        """Returns since when the oldest request waits."""
        times_s = (s.waiting.oldest_since_s() for s in self._services.values())
        return min((at_s for at_s in times_s if at_s is not None), default=None)
