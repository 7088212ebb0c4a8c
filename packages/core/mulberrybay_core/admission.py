"""Which queries a node takes on.

A node answers a query it cannot serve in time at once, with the time to come
back. Each class of work may always use its fair share of the node; what other
classes leave idle is open to all.
"""

from collections.abc import Sequence
from typing import Final, NamedTuple

from mulberrybay_core.refusals import RefusalReason
from mulberrybay_core.server_waits import WaitEstimate

LATENCY_WEIGHT: Final = 0.1
MIN_RETRY_AFTER_S: Final = 0.05
# Less than this many service times of waiting is no reason to refuse.
MIN_QUEUE_RATIO: Final = 1.5
# The share of the time left that the expected wait may fill: other nodes
# send to the same queues.
WAIT_SHARE: Final = 0.4


class AdmissionSettings(NamedTuple):
    """Limits on the work of one node.

    Attributes:
        max_query_count: Queries in progress at once, over all classes.
    """

    max_query_count: int = 128


class Refusal(NamedTuple):
    """Why a query is refused, and when to come back."""

    reason: RefusalReason
    detail: str
    retry_after_s: float


class Admission:
    """Counts the queries in progress and decides on new ones."""

    def __init__(self, settings: AdmissionSettings) -> None:
        self._settings = settings
        self._counts: dict[str, int] = {}
        self._latency_s: dict[str, float] = {}

    def try_admit(self, class_name: str, time_left_s: float) -> Refusal | None:
        """Counts a query in, or says why not.

        Args:
            class_name: The query's class of work.
            time_left_s: Until the query's deadline.
        """
        total_count = sum(self._counts.values())
        count = self._counts.get(class_name, 0)
        active_count = sum(1 for held in self._counts.values() if held)
        classes_count = active_count + (0 if count else 1)
        share_count = max(1, self._settings.max_query_count // classes_count)
        latency_s = self._latency_s.get(class_name, 0.0)
        if time_left_s <= 0:
            return Refusal(
                RefusalReason.DEADLINE_PASSED,
                "the deadline has passed",
                MIN_RETRY_AFTER_S,
            )
        is_full = total_count >= self._settings.max_query_count
        if is_full and count >= share_count:
            return Refusal(
                RefusalReason.NODE_FULL,
                "too many queries in progress",
                max(MIN_RETRY_AFTER_S, latency_s),
            )
        self._counts[class_name] = count + 1
        return None

    def release(self, class_name: str, latency_s: float) -> None:
        """Counts a query out."""
        self._counts[class_name] -= 1
        known_s = self._latency_s.get(class_name, latency_s)
        change_s = LATENCY_WEIGHT * (latency_s - known_s)
        self._latency_s[class_name] = known_s + change_s

    @property
    def query_count(self) -> int:
        """Queries in progress."""
        return sum(self._counts.values())


def expected_excess_s(
    estimates: Sequence[WaitEstimate],
    needed_count: int,
    lateness_left_s: float,
    deadline_left_s: float,
) -> float:
    """Returns how long a query should wait before it is sent again.

    Args:
        estimates: What the best replica of each shard is expected to take.
        needed_count: Shards that the coverage target asks for.
        lateness_left_s: Until the query is late.
        deadline_left_s: Until the query is given up.

    Returns:
        0 if the query is expected to be in time. Queues alone count: where
        the service itself is too slow, waiting would not help.
    """
    if not estimates or needed_count <= 0:
        return 0.0
    ordered = sorted(estimates)
    worst = ordered[min(needed_count, len(ordered)) - 1]
    left_s = deadline_left_s
    # A guess about a server that has not replied is no reason to refuse what
    # may well be in time.
    if worst.is_known and 2 * worst.service_s <= lateness_left_s:
        left_s = min(left_s, lateness_left_s)
    has_queue = worst.total_s >= MIN_QUEUE_RATIO * worst.service_s
    allowed_s = WAIT_SHARE * left_s
    if not has_queue or worst.total_s <= allowed_s:
        return 0.0
    return max(MIN_RETRY_AFTER_S, worst.total_s - allowed_s)
