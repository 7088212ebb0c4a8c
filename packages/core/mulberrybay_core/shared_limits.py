"""This node's part of limits that hold for all nodes together.

Each node takes a fixed part, so the sum holds without a message between them.
"""

from collections import deque
from typing import Final, NamedTuple

# What is left unused covers nodes that this one has not heard of yet, and
# requests that arrive in another window than the one they were sent in.
SAFE_SHARE: Final = 0.8
BUCKET_COUNT: Final = 20


class RetryTerms(NamedTuple):
    """The limit on repeated requests to a service, over all nodes.

    Attributes:
        ratio: Repeats for each request.
        window_s: The sliding window in which both are counted.
        slack_count: Repeats that are allowed beyond the ratio.
    """

    ratio: float
    window_s: float
    slack_count: float


class _WindowCount:
    """A count over a sliding window, in buckets."""

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

    def total(self, since_s: float) -> int:
        while self._buckets and self._buckets[0][0] < since_s:
            self._total -= self._buckets.popleft()[1]
        return self._total


class RetryAllowance:
    """Limits the repeats that this node sends to each service."""

    def __init__(self, terms: RetryTerms) -> None:
        self.terms = terms
        self._bucket_s = terms.window_s / BUCKET_COUNT
        self._requests: dict[str, _WindowCount] = {}
        self._repeats: dict[str, _WindowCount] = {}
        # By what the slack of all nodes is divided for this one.
        self.divisor = 1.0

    def note_request(self, service: str, now_s: float) -> None:
        """Counts a caller's request for a service."""
        count = self._requests.get(service)
        if count is None:
            count = self._requests[service] = _WindowCount()
        count.add(now_s, self._bucket_s)

    def room(self, service: str, now_s: float) -> float:
        """Returns how many repeats may still be sent now."""
        since_s = now_s - self.terms.window_s
        requests = self._requests.get(service)
        repeats = self._repeats.get(service)
        request_count = requests.total(since_s) if requests else 0
        # A bucket more: a repeat counts until its whole bucket is too old.
        repeat_count = repeats.total(since_s - self._bucket_s) if repeats else 0
        allowed = self.terms.ratio * request_count
        allowed += self.terms.slack_count / max(1.0, self.divisor)
        return allowed * SAFE_SHARE - repeat_count

    def take(self, service: str, now_s: float) -> bool:
        """Counts a repeat if there is room for it."""
        if self.room(service, now_s) < 1:
            return False
        count = self._repeats.get(service)
        if count is None:
            count = self._repeats[service] = _WindowCount()
        count.add(now_s, self._bucket_s)
        return True


class ColdAllowance:
    """Limits what this node sends to each cold backend server."""

    def __init__(self) -> None:
        self._next_at_s: dict[str, float] = {}
        self.node_count = 1

    def next_at_s(self, server_id: str) -> float:
        """Returns when the next request may go to a cold server."""
        return self._next_at_s.get(server_id, 0.0)

    def take(self, server_id: str, per_s: float, now_s: float) -> None:
        """Counts a request to a cold server.

        Args:
            server_id: The server.
            per_s: What the server bears, from all nodes.
            now_s: The time.
        """
        gap_s = max(1, self.node_count) / (per_s * SAFE_SHARE)
        self._next_at_s[server_id] = (
            max(now_s, self.next_at_s(server_id)) + gap_s
        )

    def forget(self, server_id: str) -> None:
        """Drops what is kept of a server."""
        self._next_at_s.pop(server_id, None)
