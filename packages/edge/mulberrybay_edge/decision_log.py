"""The rate-limited log of request outcomes and view changes.

Each kind of line has its own rate limit. Lines beyond it are dropped and
counted; the counts are logged from time to time. Failed requests have the
highest limit, so that their lines are the last to be dropped.
"""

from collections import Counter
from collections.abc import Callable
from typing import Final, NamedTuple

from mulberrybay_runtime.logs import StructuredLog

REPORT_PERIOD_S: Final = 5.0


class LineRate(NamedTuple):
    """The rate limit for one kind of line, as a token bucket.

    Attributes:
        per_s: Tokens added per second.
        burst_count: The largest number of tokens.
    """

    per_s: float
    burst_count: float


# A single successful request says little. View changes are rare unless many
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
    """Token bucket for one kind of line."""

    __slots__ = ("_rate", "_tokens", "_updated_at_s")

    def __init__(self, rate: LineRate, now_s: float) -> None:
        self._rate = rate
        self._tokens = rate.burst_count
        self._updated_at_s = now_s

    def take_token(self, now_s: float) -> bool:
        gained = (now_s - self._updated_at_s) * self._rate.per_s
        self._updated_at_s = now_s
        self._tokens = min(self._rate.burst_count, self._tokens + gained)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class DecisionLog:
    """Logs request outcomes and view changes, rate-limited by kind."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._request_log = StructuredLog("requests")
        self._view_log = StructuredLog("beliefs")
        self._buckets: dict[str, _TokenBucket] = {}
        self._unreported_counts: Counter[str] = Counter()
        self.dropped_line_counts: Counter[str] = Counter()
        self._report_at_s = clock() + REPORT_PERIOD_S

    def log_request_end(
        self, request_id: str, outcome: str, **fields: object
    ) -> None:
        """Logs the outcome of a caller's request; omits empty fields."""
        rate = _OUTCOME_RATES.get(outcome, FAILED_RATE)
        if self._may_write(outcome, rate):
            shown = {name: value for name, value in fields.items() if value}
            self._request_log.info(outcome, request_id=request_id, **shown)

    def log_view_change(self, message: str, **fields: object) -> None:
        """Logs a change of the node's view."""
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
        self.dropped_line_counts[kind] += 1
        return False

    def _report(self, now_s: float) -> None:
        self._report_at_s = now_s + REPORT_PERIOD_S
        if self._unreported_counts:
            self._view_log.info(
                "lines were left out, to bound the log",
                counts=dict(self._unreported_counts),
            )
            self._unreported_counts.clear()
