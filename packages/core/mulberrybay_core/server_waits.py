"""Estimates how long another attempt at a backend server takes.

The estimate uses the replies to this coordinator's own attempts, which report
the server's load as its holder sees it. Between replies, the server is assumed
to process the reported queue at its usual rate.
"""

import math
from collections import defaultdict
from typing import Final, NamedTuple

from mulberrybay_core.attempts import AttemptOutcome, AttemptReply, ServerLoad

# Weight of the newest reply in the moving average of a server's latency.
LATENCY_WEIGHT: Final = 0.2
INITIAL_LATENCY_S: Final = 0.01
# Assumed by admission for a server that has not replied yet, as it may be
# cold. The choice of replicas uses INITIAL_LATENCY_S instead, so that each
# server is tried.
UNKNOWN_LATENCY_S: Final = 0.1
MEDIAN_STEP_RATIO: Final = 0.05
# A server with at least this concurrency limit is warm, as measured by its
# holder.
WARM_LIMIT_COUNT: Final = 2
# Cost of each request that the server processes concurrently, in service
# times.
CONCURRENT_COST_RATIO: Final = 0.3
FAILURE_WEIGHT: Final = 0.2
FAILURE_PENALTY_S: Final = 0.5
# The penalty decays with this half-life, so that a server that failed is tried
# again.
FAILURE_HALF_LIFE_S: Final = 2.0


class WaitEstimate(NamedTuple):
    """The expected duration of another attempt at a server.

    Attributes:
        total_s: Time from sending the attempt to its reply.
        service_s: The service time, without queueing.
        is_known: Whether the server has replied before; if not, the estimate
            is a default.
    """

    total_s: float
    service_s: float
    is_known: bool = True


class _ServerView:
    """This coordinator's view of one backend server."""

    def __init__(self) -> None:
        self.sent_count = 0
        self.sent_since_load_count = 0
        self.load = ServerLoad(0, 0, 1)
        self.load_at_s = 0.0
        self.latency_s = INITIAL_LATENCY_S
        self.is_known = False
        self.warm_latency_s: float | None = None
        self.failure_ratio = 0.0
        self.failure_at_s = 0.0

    def service_time_count(self, now_s: float) -> float:
        """Returns the duration of another attempt, in service times."""
        limit_count = max(1, self.load.limit_count)
        waiting_count = self.waiting_count(now_s)
        return 1 + max(0, waiting_count + 1 - limit_count) / limit_count

    def waiting_count(self, now_s: float) -> float:
        """Returns the expected number of queued and outstanding attempts."""
        limit_count = max(1, self.load.limit_count)
        reported_count = self.load.outstanding_count + self.load.queued_count
        max_count = reported_count + self.sent_since_load_count
        if max_count <= self.sent_count:
            return self.sent_count
        elapsed_s = max(0.0, now_s - self.load_at_s)
        completed_count = elapsed_s * limit_count / max(self.latency_s, 0.001)
        return max(
            reported_count - completed_count + self.sent_since_load_count,
            self.sent_count,
        )

    def record_latency(self, latency_s: float) -> None:
        """Records the service time of a complete reply."""
        self.is_known = True
        self.latency_s += LATENCY_WEIGHT * (latency_s - self.latency_s)
        if self.load.limit_count >= WARM_LIMIT_COUNT:
            self.warm_latency_s = _step_median(self.warm_latency_s, latency_s)

    def failure_penalty_s(self, now_s: float) -> float:
        """Returns the penalty for recent failures, which decays over time."""
        if self.failure_ratio == 0:
            return 0.0
        age_s = max(0.0, now_s - self.failure_at_s)
        decay_ratio = math.pow(0.5, age_s / FAILURE_HALF_LIFE_S)
        return self.failure_ratio * decay_ratio * FAILURE_PENALTY_S


def _step_median(median_s: float | None, latency_s: float) -> float:
    """Moves a running median one step; stragglers shift it only little."""
    if median_s is None:
        return latency_s
    return median_s * (
        1 + math.copysign(MEDIAN_STEP_RATIO, latency_s - median_s)
    )


class ServerWaits:
    """The expected waits at backend servers, for one class of work.

    Each coordinator has its own estimates.
    """

    def __init__(self) -> None:
        self._views: defaultdict[str, _ServerView] = defaultdict(_ServerView)
        self._class_warm_latency_s: float | None = None

    def estimate(self, server_id: str, now_s: float) -> WaitEstimate:
        """Returns the expected duration of another attempt."""
        view = self._views[server_id]
        service_s = view.latency_s if view.is_known else UNKNOWN_LATENCY_S
        total_s = view.service_time_count(now_s) * service_s
        return WaitEstimate(total_s, service_s, view.is_known)

    def warm_latency_s(self, server_id: str) -> float | None:
        """Returns the median service time of a server while it is warm.

        Without replies of the warm server, returns the median over all warm
        servers of the class; None if no warm server has replied.
        """
        return (
            self._views[server_id].warm_latency_s or self._class_warm_latency_s
        )

    def cost_s(self, server_id: str, now_s: float) -> float:
        """Returns the expected duration of another attempt plus penalties.

        There are penalties for recent failures and for requests that the
        server already has. The server may have become cold, and a cold
        server can handle only one request at a time.
        """
        view = self._views[server_id]
        limit_count = max(1, view.load.limit_count)
        concurrent_count = min(view.waiting_count(now_s), limit_count - 1)
        service_time_count = (
            view.service_time_count(now_s)
            + CONCURRENT_COST_RATIO * concurrent_count
        )
        return service_time_count * view.latency_s + view.failure_penalty_s(
            now_s
        )

    def has_queue(self, server_id: str, now_s: float) -> bool:
        """Returns whether another attempt is expected to be queued."""
        return self._views[server_id].service_time_count(now_s) > 1

    def on_sent(self, server_id: str) -> None:
        """Records that an attempt was sent."""
        view = self._views[server_id]
        view.sent_count += 1
        view.sent_since_load_count += 1

    def on_cancelled(self, server_id: str, age_s: float, now_s: float) -> None:
        """Records that an attempt was abandoned `age_s` after it was sent."""
        view = self._views[server_id]
        view.sent_count = max(0, view.sent_count - 1)
        # The attempt would have taken longer than `age_s`. Only the time that
        # queues do not explain raises the latency.
        wait_s = view.service_time_count(now_s) * view.latency_s
        if age_s > wait_s:
            view.latency_s += LATENCY_WEIGHT * (age_s - wait_s)

    def on_reply(self, reply: AttemptReply, now_s: float) -> None:
        """Records the end of an attempt and the reported load."""
        view = self._views[reply.server_id]
        view.sent_count = max(0, view.sent_count - 1)
        view.load = reply.load
        view.load_at_s = now_s
        view.sent_since_load_count = 0
        succeeded = reply.outcome is AttemptOutcome.OK
        if succeeded:
            latency_s = reply.service_time_ms / 1000
            view.record_latency(latency_s)
            if reply.load.limit_count >= WARM_LIMIT_COUNT:
                self._class_warm_latency_s = _step_median(
                    self._class_warm_latency_s, latency_s
                )
        if reply.outcome is AttemptOutcome.QUEUE_FULL:
            # Not a failure of the server; the reported load suffices.
            return
        failure = 0.0 if succeeded else 1.0
        view.failure_ratio += FAILURE_WEIGHT * (failure - view.failure_ratio)
        view.failure_at_s = now_s
