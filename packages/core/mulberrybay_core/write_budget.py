"""The share of the platform's writes that one node may use for runs.

The platform takes a few hundred writes a second from all nodes together.
A node that has used its share refuses, truthfully "not run", before anything
is written.
"""

from typing import Final, NamedTuple

# The pending record, the outcome and, much later, the deletion.
WRITES_PER_RUN: Final = 3
BURST_S: Final = 1.0


class RunSettings(NamedTuple):
    """Limits on non-idempotent requests.

    Attributes:
        platform_writes_per_s: What all nodes together may write for runs.
    """

    platform_writes_per_s: float = 300.0


class WriteBudget:
    """A token bucket of runs, filled at this node's share of the writes."""

    def __init__(self, settings: RunSettings, now_s: float) -> None:
        self._settings = settings
        self._filled_at_s = now_s
        self._rate_per_s = settings.platform_writes_per_s / WRITES_PER_RUN
        self._token_count = self._rate_per_s * BURST_S

    def set_node_count(self, node_count: int) -> None:
        """Shares the writes between the nodes that live."""
        total_per_s = self._settings.platform_writes_per_s / WRITES_PER_RUN
        self._rate_per_s = total_per_s / max(1, node_count)

    def take(self, now_s: float) -> float:
        """Takes a token.

        Returns:
            0 if there was one, else the time until there is one.
        """
        capacity = max(1.0, self._rate_per_s * BURST_S)
        gained = (now_s - self._filled_at_s) * self._rate_per_s
        self._filled_at_s = now_s
        self._token_count = min(capacity, self._token_count + gained)
        if self._token_count >= 1:
            self._token_count -= 1
            return 0.0
        return (1 - self._token_count) / self._rate_per_s
