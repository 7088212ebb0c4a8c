"""The budget for sub-requests beyond one per shard.

Hedges and retries share one token bucket per class of work. Each first attempt
adds the fraction of a token that the class's extra-load target allows. The
bucket is capped, so that a quiet period cannot accumulate tokens for a burst.
"""

from typing import Final

BURST_TOKEN_COUNT: Final = 10.0


class ExtraLoadBudget:
    """The token bucket of one class of work."""

    def __init__(self) -> None:
        """Starts half full, so that the first failures can be retried."""
        self._token_count = BURST_TOKEN_COUNT / 2

    def on_first_attempts(
        self, attempt_count: int, extra_load_percent: float
    ) -> None:
        """Adds tokens for the first attempts of a query."""
        token_count = (
            self._token_count + attempt_count * extra_load_percent / 100
        )
        self._token_count = min(BURST_TOKEN_COUNT, token_count)

    @property
    def is_low(self) -> bool:
        """Whether the remaining tokens are reserved for the slowest shards."""
        return self._token_count < BURST_TOKEN_COUNT / 2

    def try_spend(self) -> bool:
        """Spends one token; returns False if there is none."""
        if self._token_count < 1:
            return False
        self._token_count -= 1
        return True

    def refund(self) -> None:
        """Puts back the token of an attempt that reached no backend server."""
        self._token_count = min(BURST_TOKEN_COUNT, self._token_count + 1)
