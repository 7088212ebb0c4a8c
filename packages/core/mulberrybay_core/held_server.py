"""The queue and the outstanding attempts of a backend server at its holder."""

import heapq
import itertools
import math
from typing import Final, NamedTuple

from mulberrybay_core.attempts import (
    Attempt,
    AttemptBatch,
    AttemptReplyHandler,
    ServerLoad,
)
from mulberrybay_core.concurrency_limit import ConcurrencyLimit
from mulberrybay_core.fleet import BackendServer

MAX_QUEUED_COUNT: Final = 64
# Relative to the baseline latency.
REPLY_TIMEOUT_RATIO: Final = 20.0
# Relative to the duration of the last attempt, up to the lateness.
SLOW_REPLY_TIMEOUT_RATIO: Final = 2.0
# A reply proves that the server is warm for this multiple of the baseline
# latency, counted from the dispatch of its request.
WARM_PROOF_RATIO: Final = 2.5


class QueuedAttempt(NamedTuple):
    """An attempt that is queued or was dispatched.

    Attributes:
        batch: The batch that contained the attempt.
        attempt: The attempt.
        reply: The callback for the result of the attempt.
        request_id: The ID of the request to the backend server.
    """

    batch: AttemptBatch
    attempt: Attempt
    reply: AttemptReplyHandler
    request_id: str


class HeldServer:
    """The queue, limit and outstanding attempts of a backend server."""

    def __init__(self, server: BackendServer) -> None:
        self.server = server
        self.limit = ConcurrencyLimit(server.slot_count)
        self.outstanding: dict[str, QueuedAttempt] = {}
        self._dispatched_at_s: dict[str, float] = {}
        # How long the last attempt took that was replied to or timed out.
        self._last_duration_s = 0.0
        self._proven_warm_at_s = -math.inf
        self._queue: list[tuple[float, int, QueuedAttempt]] = []
        self._sequence = itertools.count()

    def load(self) -> ServerLoad:
        """Returns the load of the server, as reported to coordinators."""
        return ServerLoad(
            outstanding_count=len(self.outstanding),
            queued_count=len(self._queue),
            # A suspension ends with the next reply, which comes before a
            # coordinator could make use of this report.
            limit_count=self.limit.unsuspended_limit_count,
        )

    def enqueue(self, item: QueuedAttempt) -> bool:
        """Queues an attempt by deadline; returns False if the queue is full."""
        if len(self._queue) >= MAX_QUEUED_COUNT:
            return False
        entry = (item.batch.deadline_at_s, next(self._sequence), item)
        heapq.heappush(self._queue, entry)
        return True

    def pop_next(self, now_s: float) -> QueuedAttempt | None:
        """Removes and returns the attempt to dispatch now; None if none is."""
        if not self._queue or now_s < self.limit.paused_until_s:
            return None
        self.limit.restart_if_idle(now_s)
        if len(self.outstanding) >= self._current_limit_count(now_s):
            return None
        return heapq.heappop(self._queue)[2]

    def _current_limit_count(self, now_s: float) -> int:
        """Returns the limit; one while the server may have become cold."""
        if self._is_overdue(now_s) or not self._is_proven_warm(now_s):
            return 1
        return self.limit.limit_count

    def _is_proven_warm(self, now_s: float) -> bool:
        """Returns whether a recent reply proves the server warm."""
        baseline_s = self.limit.baseline_s
        if baseline_s is None:
            return True
        return now_s - self._proven_warm_at_s <= WARM_PROOF_RATIO * baseline_s

    def _is_overdue(self, now_s: float) -> bool:
        # The first entry is the oldest: entries are added at dispatch.
        oldest_at_s = next(iter(self._dispatched_at_s.values()), now_s)
        return self.limit.is_overdue(now_s - oldest_at_s)

    def reply_timeout_s(self, lateness_ms: float) -> float:
        """Returns how long to wait for the reply to a search.

        An unresponsive connection must leave enough time for another replica
        to answer. The timeout is still well above the server's usual latency,
        and above that of the last attempt: a server that has become slow would
        otherwise never reply.

        Args:
            lateness_ms: The latency from which a caller's answer counts as
                late; a target of the class of work.
        """
        baseline_s = self.limit.baseline_s
        if baseline_s is None:
            return math.inf
        return max(
            REPLY_TIMEOUT_RATIO * baseline_s,
            lateness_ms / 2000,
            min(
                SLOW_REPLY_TIMEOUT_RATIO * self._last_duration_s,
                lateness_ms / 1000,
            ),
        )

    def record_duration(self, duration_s: float) -> None:
        """Records how long an attempt took that was replied to or timed out."""
        self._last_duration_s = duration_s

    def may_be_cold(self, now_s: float) -> bool:
        """Returns whether the server may be cold, which is not yet confirmed.

        New attempts should go to another replica instead of waiting here.
        """
        return bool(self.outstanding) and (
            self.limit.is_suspended
            or (self.limit.limit_count > 1 and self._is_overdue(now_s))
        )

    def begin(self, item: QueuedAttempt, now_s: float) -> None:
        """Records that an attempt is dispatched."""
        self.outstanding[item.request_id] = item
        self._dispatched_at_s[item.request_id] = now_s
        self.limit.on_dispatch(now_s)

    def end(self, request_id: str, *, has_replied: bool) -> None:
        """Records that a dispatched attempt has ended."""
        self.outstanding.pop(request_id, None)
        dispatched_at_s = self._dispatched_at_s.pop(request_id, -math.inf)
        if has_replied:
            self._proven_warm_at_s = max(
                self._proven_warm_at_s, dispatched_at_s
            )

    def pop_expired(self, now_s: float) -> list[QueuedAttempt]:
        """Removes and returns the queued attempts whose deadline has passed."""
        expired = []
        while self._queue and self._queue[0][0] <= now_s:
            expired.append(heapq.heappop(self._queue)[2])
        return expired

    def pop_all(self) -> list[QueuedAttempt]:
        """Removes and returns all queued attempts."""
        items = [entry[2] for entry in self._queue]
        self._queue.clear()
        return items

    def remove_queued(self, request_id: str) -> QueuedAttempt | None:
        """Removes and returns a queued attempt; None if it is not queued."""
        for index, entry in enumerate(self._queue):
            if entry[2].request_id == request_id:
                self._queue.pop(index)
                heapq.heapify(self._queue)
                return entry[2]
        return None
