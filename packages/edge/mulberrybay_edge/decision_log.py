"""The log of decisions, bounded by kind.

Each kind of line has its own rate. What is beyond it is left out and counted;
a line says how many. Failed requests have the highest rate, so that their
lines are the last to go.
"""

from collections import Counter
from collections.abc import Callable
from typing import Final, NamedTuple

from mulberrybay_runtime.logs import StateLog

REPORT_PERIOD_S: Final = 5.0


class LineRate(NamedTuple):
    """How many lines of a kind are written.

    Attributes:
        per_s: In the long run.
        burst_count: At once.
    """

    per_s: float
    burst_count: float


# Requests that went well say little each; beliefs change seldom unless many
# servers change at once.
SERVED_RATE: Final = LineRate(25, 50)
REFUSED_RATE: Final = LineRate(50, 200)
FAILED_RATE: Final = LineRate(100, 400)
VIEW_CHANGE_RATE: Final = LineRate(50, 400)
_OUTCOME_RATES: Final = {
    "served": SERVED_RATE,
    "whole": SERVED_RATE,
    "refused": REFUSED_RATE,
}


class _TokenBucket:
    """Lines of one kind that may still be written."""

    __slots__ = ("_at_s", "_rate", "_tokens")

    def __init__(self, rate: LineRate, now_s: float) -> None:
        self._rate = rate
        self._tokens = rate.burst_count
        self._at_s = now_s

    def take_token(self, now_s: float) -> bool:
        gained = (now_s - self._at_s) * self._rate.per_s
        self._at_s = now_s
        self._tokens = min(self._rate.burst_count, self._tokens + gained)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class DecisionLog:
    """Writes decisions, each kind at a bounded rate."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._request_log = StateLog("requests")
        self._view_log = StateLog("beliefs")
        self._buckets: dict[str, _TokenBucket] = {}
        self._unreported_counts: Counter[str] = Counter()
        self.left_out_counts: Counter[str] = Counter()
        self._report_at_s = clock() + REPORT_PERIOD_S

    def log_request_end(
        self, request_id: str, outcome: str, **fields: object
    ) -> None:
        """Writes how a caller's request ended, and why."""
        rate = _OUTCOME_RATES.get(outcome, FAILED_RATE)
        if self._may_write(outcome, rate):
            shown = {name: value for name, value in fields.items() if value}
            self._request_log.info(outcome, request_id=request_id, **shown)

    def belief(self, message: str, **fields: object) -> None:
        """Writes a change of what the node believes."""
        if self._may_write(message, VIEW_CHANGE_RATE):
            self._view_log.info(message, **fields)

    def _may_write(self, kind: str, rate: LineRate) -> bool:
        now_s = self._clock()
        bucket = self._buckets.get(kind)
        if bucket is None:
            bucket = self._buckets[kind] = _TokenBucket(rate, now_s)
        if now_s >= self._report_at_s:
            self._report(now_s)
        if bucket.take_token(now_s):
            return True
        self._unreported_counts[kind] += 1
        self.left_out_counts[kind] += 1
        return False

    def _report(self, now_s: float) -> None:
        self._report_at_s = now_s + REPORT_PERIOD_S
        if self._unreported_counts:
            self._view_log.info(
                "lines were left out, to bound the log",
                counts=dict(self._unreported_counts),
            )
            self._unreported_counts.clear()
