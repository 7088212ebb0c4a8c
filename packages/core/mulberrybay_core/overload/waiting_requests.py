"""The requests that a node holds back for one service, in their order."""

import heapq
import itertools
from collections.abc import Callable, Hashable
from typing import NamedTuple

from mulberrybay_core.overload.admission import Urgency


class WaitingRequest(NamedTuple):
    """A request that waits to be sent.

    Attributes:
        key: Identifies it.
        resume: Tries to send it.
        since_s: When it began to wait.
    """

    key: Hashable
    resume: Callable[[], None]
    since_s: float


class WaitingRequests:
    """A queue by priority, then due time, then work."""

    def __init__(self) -> None:
        self._numbers = itertools.count()
        self._heap: list[
            tuple[tuple[int, float, float], int, WaitingRequest]
        ] = []
        # By key; those in the heap that aren't here have been removed.
        self._open: dict[Hashable, WaitingRequest] = {}

    def __len__(self) -> int:
        return len(self._open)

    def add(self, urgency: Urgency, request: WaitingRequest) -> bool:
        """Adds a request; returns False if it waits already."""
        if request.key in self._open:
            return False
        self._open[request.key] = request
        heapq.heappush(self._heap, (urgency.rank, next(self._numbers), request))
        return True

    def remove(self, key: Hashable) -> WaitingRequest | None:
        """Removes a request that was sent or given up."""
        request = self._open.pop(key, None)
        if len(self._heap) > 2 * len(self._open) + 8:
            self._heap = [entry for entry in self._heap if self._has(entry[2])]
            heapq.heapify(self._heap)
        return request

    def _has(self, request: WaitingRequest) -> bool:
        return self._open.get(request.key) is request

    def first(self) -> WaitingRequest | None:
        """Returns the request to send next."""
        while self._heap and not self._has(self._heap[0][2]):
            heapq.heappop(self._heap)
        return self._heap[0][2] if self._heap else None

    def oldest_since_s(self) -> float | None:
        """Returns since when the oldest request waits."""
        # Requests are added in the order of time.
        return next((r.since_s for r in self._open.values()), None)
