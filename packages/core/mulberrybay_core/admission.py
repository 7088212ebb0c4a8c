"""Admission control: decides which queries a node accepts.

A node refuses a query that it cannot answer in time immediately, with the
delay after which the caller may retry. Each class of work may always use an
equal fraction of the node's query slots; slots that other classes leave idle
are available to all classes.
"""

from collections.abc import Sequence
from typing import Final, NamedTuple

from mulberrybay_core.refusals import RefusalReason
from mulberrybay_core.server_waits import WaitEstimate

# Weight of the newest query in the moving average of a class's latency.
LATENCY_WEIGHT: Final = 0.1
MIN_RETRY_AFTER_S: Final = 0.05
# In service times; a query is not refused for a shorter expected wait.
MIN_QUEUE_RATIO: Final = 1.5
# Fraction of the remaining time that the expected wait may use. The rest is
# reserve, because other nodes send to the same queues.
MAX_WAIT_RATIO: Final = 0.4
# The same while queues are long only for a moment, so that less is added to them.
MAX_BURST_WAIT_RATIO: Final = 0.8


class AdmissionSettings(NamedTuple):
    """Limits on the queries that one node processes.

    Attributes:
        max_query_count: Limit on the queries in progress, over all classes.
    """

    max_query_count: int = 128


class Refusal(NamedTuple):
    """Why a query is refused, and the delay before the caller may retry."""

    reason: RefusalReason
    detail: str
    retry_after_s: float


class Admission:
    """Counts the queries in progress and admits or refuses new ones."""

    def __init__(self, settings: AdmissionSettings) -> None:
        self._settings = settings
        self._counts: dict[str, int] = {}
        self._latency_s: dict[str, float] = {}

    def try_admit(self, class_name: str, time_left_s: float) -> Refusal | None:
        """Admits a query and counts it as in progress, or refuses it.

        Args:
            class_name: The query's class of work.
            time_left_s: Time until the query's deadline.

        Returns:
            None if the query is admitted. Each admitted query must be ended
            with `release`.
        """
        total_count = sum(self._counts.values())
        count = self._counts.get(class_name, 0)
        active_count = sum(
            1
            for class_query_count in self._counts.values()
            if class_query_count
        )
        class_count = active_count + (0 if count else 1)
        fair_share_count = max(1, self._settings.max_query_count // class_count)
        latency_s = self._latency_s.get(class_name, 0.0)
        if time_left_s <= 0:
            return Refusal(
                RefusalReason.DEADLINE_PASSED,
                "the deadline has passed",
                MIN_RETRY_AFTER_S,
            )
        is_full = total_count >= self._settings.max_query_count
        if is_full and count >= fair_share_count:
            return Refusal(
                RefusalReason.NODE_FULL,
                "too many queries in progress",
                max(MIN_RETRY_AFTER_S, latency_s),
            )
        self._counts[class_name] = count + 1
        return None

    def release(self, class_name: str, latency_s: float) -> None:
        """Ends an admitted query, which took `latency_s`."""
        self._counts[class_name] -= 1
        average_s = self._latency_s.get(class_name, latency_s)
        change_s = LATENCY_WEIGHT * (latency_s - average_s)
        self._latency_s[class_name] = average_s + change_s

    @property
    def query_count(self) -> int:
        """The number of queries in progress."""
        return sum(self._counts.values())


def required_delay_s(
    estimates: Sequence[WaitEstimate],
    needed_count: int,
    lateness_left_s: float,
    deadline_left_s: float,
    max_wait_ratio: float = MAX_WAIT_RATIO,
) -> float:
    """Returns by how much queues exceed the wait that a query can afford.

    Args:
        estimates: The expected wait at the best replica of each shard.
        needed_count: Number of shards that the coverage target requires.
        lateness_left_s: Time until the query counts as late.
        deadline_left_s: Time until the query's deadline.
        max_wait_ratio: Fraction of the time left that the wait may use.

    Returns:
        The delay before a retry is worthwhile, in seconds; 0 if the query is
        expected to be answered in time. Only queues cause a delay: if the
        service itself is too slow, a later retry would not help.
    """
    if not estimates or needed_count <= 0:
        return 0.0
    ordered = sorted(estimates)
    worst = ordered[min(needed_count, len(ordered)) - 1]
    left_s = deadline_left_s
    # The estimate for a server that has not replied yet is only a guess. A
    # query that may be in time is not refused because of it.
    if worst.is_known and 2 * worst.service_s <= lateness_left_s:
        left_s = min(left_s, lateness_left_s)
    has_queue = worst.total_s >= MIN_QUEUE_RATIO * worst.service_s
    allowed_s = max_wait_ratio * left_s
    if not has_queue or worst.total_s <= allowed_s:
        return 0.0
    return max(MIN_RETRY_AFTER_S, worst.total_s - allowed_s)
