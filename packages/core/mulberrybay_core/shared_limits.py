"""This node's share of limits that apply to all nodes together.

Each node uses a fixed share, so the nodes keep to the limit without exchanging
messages.
"""

from collections import deque
from typing import Final, NamedTuple

# The ratio of its share that a node uses. The rest is a margin for nodes that
# this node does not know of yet, and for requests that arrive in another window
# than the one in which they were sent.
USED_SHARE_RATIO: Final = 0.8
BUCKET_COUNT: Final = 20


class RetryBudgetSettings(NamedTuple):
    """The retry budget of each service, for all nodes together.

    Attributes:
        ratio: The number of retries allowed for each request.
        window_s: The sliding window in which requests and retries are counted.
        slack_count: The number of retries allowed beyond the ratio.
    """

    ratio: float
    window_s: float
    slack_count: float


class _WindowCount:
    """A count over a sliding window, divided into buckets."""

    __slots__ = ("_buckets", "_total")

    def __init__(self) -> None:
        self._buckets: deque[tuple[float, int]] = deque()
        self._total = 0

    def add(self, now_s: float, bucket_s: float) -> None:
        if self._buckets and now_s - self._buckets[-1][0] < bucket_s:
            started_at_s, count = self._buckets[-1]
            self._buckets[-1] = (started_at_s, count + 1)
        else:
            self._buckets.append((now_s, 1))
        self._total += 1

    def remove(self) -> None:
        """Takes back the last count, unless its bucket is gone."""
        if self._buckets:
            started_at_s, count = self._buckets[-1]
            if count > 0:
                self._buckets[-1] = (started_at_s, count - 1)
                self._total -= 1

    def total(self, since_s: float) -> int:
        while self._buckets and self._buckets[0][0] < since_s:
            self._total -= self._buckets.popleft()[1]
        return self._total


class RetryBudget:
    """Limits the retries that this node sends to each service.

    Attributes:
        settings: The retry budget of all nodes together.
        share_divisor: The slack of all nodes is divided by this to get this
            node's share.
    """

    def __init__(self, settings: RetryBudgetSettings) -> None:
        self.settings = settings
        self._bucket_s = settings.window_s / BUCKET_COUNT
        self._requests: dict[str, _WindowCount] = {}
        self._retries: dict[str, _WindowCount] = {}
        self.share_divisor = 1.0

    def record_request(self, service: str, now_s: float) -> None:
        """Counts a caller's request to a service."""
        count = self._requests.get(service)
        if count is None:
            count = self._requests[service] = _WindowCount()
        count.add(now_s, self._bucket_s)

    def available_count(self, service: str, now_s: float) -> float:
        """Returns how many retries may still be sent now."""
        since_s = now_s - self.settings.window_s
        requests = self._requests.get(service)
        retries = self._retries.get(service)
        request_count = requests.total(since_s) if requests else 0
        # One bucket longer than the window: a bucket is dropped by the time of
        # its first retry, so a later retry in it may still be in the window.
        retry_count = retries.total(since_s - self._bucket_s) if retries else 0
        allowed_count = self.settings.ratio * request_count
        allowed_count += self.settings.slack_count / max(
            1.0, self.share_divisor
        )
        return allowed_count * USED_SHARE_RATIO - retry_count

    def reserve(self, service: str, now_s: float) -> bool:
        """Counts a retry if the budget allows it.

        Returns:
            Whether the retry may be sent.
        """
        if self.available_count(service, now_s) < 1:
            return False
        count = self._retries.get(service)
        if count is None:
            count = self._retries[service] = _WindowCount()
        count.add(now_s, self._bucket_s)
        return True

    def give_back(self, service: str) -> None:
        """Takes back a retry that reached no server."""
        count = self._retries.get(service)
        if count is not None:
            count.remove()


class ColdServerRateLimit:
    """Limits the rate of requests from this node to each cold backend server.

    Attributes:
        node_count: The number of nodes among which the rate is divided.
    """

    def __init__(self) -> None:
        self._next_at_s: dict[str, float] = {}
        self.node_count = 1

    def next_at_s(self, server_id: str) -> float:
        """Returns when the next request may be sent to a cold server."""
        return self._next_at_s.get(server_id, 0.0)

    def reserve(self, server_id: str, max_per_s: float, now_s: float) -> None:
        """Counts a request to a cold server.

        Args:
            server_id: The backend server.
            max_per_s: The request rate that the server can handle, from all
                nodes together.
            now_s: The time of the request.
        """
        gap_s = max(1, self.node_count) / (max_per_s * USED_SHARE_RATIO)
        self._next_at_s[server_id] = (
            max(now_s, self.next_at_s(server_id)) + gap_s
        )

    def forget(self, server_id: str) -> None:
        """Drops the state of a server."""
        self._next_at_s.pop(server_id, None)
