"""Limits the writes to the platform that one node may use for runs.

The platform accepts a few hundred writes a second from all nodes together.
A node that has used up its share refuses further runs before it writes
anything, so that "not run" is a correct answer.
"""

from typing import Final, NamedTuple

# Writes the pending record and the outcome, and later deletes the record.
WRITES_PER_RUN: Final = 3
BURST_S: Final = 1.0


class RunSettings(NamedTuple):
    """Limits on non-idempotent requests.

    Attributes:
        platform_writes_per_s: Limit on the writes for runs of all nodes
            together.
    """

    platform_writes_per_s: float = 300.0


class WriteBudget:
    """A token bucket for runs, refilled at the rate of this node's share."""

    def __init__(self, settings: RunSettings, now_s: float) -> None:
        self._settings = settings
        self._refilled_at_s = now_s
        self._runs_per_s = settings.platform_writes_per_s / WRITES_PER_RUN
        self._token_count = self._runs_per_s * BURST_S

    def set_node_count(self, node_count: int) -> None:
        """Sets the number of live nodes that share the limit."""
        total_runs_per_s = self._settings.platform_writes_per_s / WRITES_PER_RUN
        self._runs_per_s = total_runs_per_s / max(1, node_count)

    def reserve_run(self, now_s: float) -> float:
        """Removes one token from the bucket, if there is one.

        Returns:
            0 if there was a token, else the seconds until there will be one.
        """
        capacity = max(1.0, self._runs_per_s * BURST_S)
        refill_count = (now_s - self._refilled_at_s) * self._runs_per_s
        self._refilled_at_s = now_s
        self._token_count = min(capacity, self._token_count + refill_count)
        if self._token_count >= 1:
            self._token_count -= 1
            return 0.0
        return (1 - self._token_count) / self._runs_per_s
