"""Which tenants are refused and served worst, by the answers of this node."""

from collections import Counter
from typing import Final

# The most tenants with a label of their own in the metrics. The others share one.
MAX_LABEL_COUNT: Final = 16
OTHERS_LABEL: Final = "(others)"
WORST_RATIO: Final = 0.1
# Of tenants with fewer requests, the ratio that was served says little.
MIN_REQUEST_COUNT: Final = 5


class TenantCounts:
    """Counts the requests of each tenant, those served and those not run.

    Attributes:
        refused: Requests that were not run, by the tenant's label and reason.
    """

    def __init__(self) -> None:
        self._ended: Counter[str] = Counter()
        self._served: Counter[str] = Counter()
        self._labels: set[str] = set()
        self.refused: Counter[tuple[str, str]] = Counter()

    def record_end(self, name: str, *, is_served: bool) -> None:
        """Counts an answer to a request of a tenant."""
        self._ended[name] += 1
        self._served[name] += is_served

    def record_refusal(self, name: str, reason: str) -> None:
        """Counts a request that was not run.

        The first tenants that are refused have labels, so that counters under
        a label never fall.
        """
        if name not in self._labels:
            if len(self._labels) >= MAX_LABEL_COUNT:
                name = OTHERS_LABEL
            else:
                self._labels.add(name)
        self.refused[name, reason] += 1

    def worst_served_ratio(self) -> float | None:
        """Returns the mean served ratio of the worst-served tenth of tenants.

        Returns:
            The ratio; None before any tenant has had enough requests.
        """
        ratios = sorted(
            self._served[name] / count
            for name, count in self._ended.items()
            if count >= MIN_REQUEST_COUNT
        )
        if not ratios:
            return None
        worst_count = max(1, round(WORST_RATIO * len(ratios)))
        return sum(ratios[:worst_count]) / worst_count
