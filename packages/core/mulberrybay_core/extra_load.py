"""The budget of sub-requests beyond one per shard.

Hedges and retries draw on one token bucket per class of work, which every
first attempt fills by the class's extra-load target. The bucket has a cap, so
that quiet hours do not save up for a burst.
"""

from typing import Final

BURST_TOKEN_COUNT: Final = 10.0


class ExtraLoadBudget:
    """The token bucket of one class of work."""

    def __init__(self) -> None:
        """Starts with half of the burst, so that first failures can retry."""
        self._token_count = BURST_TOKEN_COUNT / 2

    def on_first_attempts(
        self, attempt_count: int, extra_load_percent: float
    ) -> None:
        """Fills the bucket for attempts that are not extra."""
        filled = self._token_count + attempt_count * extra_load_percent / 100
        self._token_count = min(BURST_TOKEN_COUNT, filled)

    @property
    def is_low(self) -> bool:
        """Whether the tokens left had better go to the slowest shards."""
        return self._token_count < BURST_TOKEN_COUNT / 2

    def try_spend(self) -> bool:
        """Takes one token; False if there is none."""
        if self._token_count < 1:
            return False
        self._token_count -= 1
        return True

    def refund(self) -> None:
        """Returns the token of an attempt that reached no backend server."""
        self._token_count = min(BURST_TOKEN_COUNT, self._token_count + 1)
