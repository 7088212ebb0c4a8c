"""The request rate to which a backend server limits all nodes together.

A server names it in its replies, for as long as it needs it. Each node takes its
share of the rate from a token bucket. The bucket starts without a whole token and
holds little, so that the nodes together keep to the limit in any few seconds, also
when all of them were idle before.
"""

import math
import re
from typing import Final, NamedTuple

# Higher limits are cut to this; no server gets as many requests.
MAX_LIMIT_PER_S: Final = 1e6
# Lower limits are raised to this: only a reply shows the end of a limit.
MIN_LIMIT_PER_S: Final = 0.25
# A bucket holds the tokens of this time, or one.
BURST_S: Final = 1.0
_DECIMAL: Final = re.compile(r"[0-9]+(\.[0-9]*)?|\.[0-9]+")


class NamedLimit(NamedTuple):
    """The limit in a reply.

    Attributes:
        per_s: The requests per second; None if it can't be read.
        is_malformed: Whether the value is no decimal number or too large.
    """

    per_s: float | None
    is_malformed: bool


def read_server_limit(text: str) -> NamedLimit:
    """Returns the limit that a header names."""
    if not _DECIMAL.fullmatch(text.strip()):
        return NamedLimit(None, is_malformed=True)
    per_s = float(text)
    return NamedLimit(
        min(per_s, MAX_LIMIT_PER_S), is_malformed=per_s > MAX_LIMIT_PER_S
    )


class ServerLimit:
    """A limit that a server has named, and what this node has sent under it.

    The bucket outlives the end of the limit, so that a server that names one by
    turns doesn't get a burst each time.

    Attributes:
        per_s: The limit, for all nodes together.
        is_in_force: Whether the server's last reply named it.
        since_s: When it came into force.
        named_at_s: When a reply last named it.
        sent_count: The requests that this node has sent since.
    """

    __slots__ = (
        "_refilled_at_s",
        "_token_count",
        "is_in_force",
        "named_at_s",
        "per_s",
        "sent_count",
        "since_s",
    )

    def __init__(self, token_count: float, now_s: float) -> None:
        """Creates a bucket; `name` brings the limit into force.

        Args:
            token_count: The first tokens, between -0.5 and 0.5. At random, this
                keeps nodes that learn the limit together from sending together.
            now_s: The time.
        """
        self.per_s = 0.0
        self.is_in_force = False
        self.since_s = self.named_at_s = now_s
        self.sent_count = 0
        self._token_count = token_count
        self._refilled_at_s = now_s

    def name(self, per_s: float, now_s: float) -> bool:
        """Records that a reply names the limit.

        Returns:
            Whether it was another limit before, or none.
        """
        is_new = not self.is_in_force or per_s != self.per_s
        if not self.is_in_force:
            self.is_in_force = True
            self.since_s = now_s
            self.sent_count = 0
        self.per_s = per_s
        self.named_at_s = now_s
        return is_new

    def end(self, sent_at_s: float) -> bool:
        """Records a reply that names no limit.

        Args:
            sent_at_s: When its request was sent. A reply to an earlier request
                than the last that named the limit may be older than that one.

        Returns:
            Whether a limit has ended.
        """
        if not self.is_in_force or sent_at_s < self.named_at_s:
            return False
        self.is_in_force = False
        return True

    def _rate_per_s(self, share_ratio: float) -> float:
        return max(self.per_s, MIN_LIMIT_PER_S) * share_ratio

    def _refill(self, share_ratio: float, now_s: float) -> None:
        rate_per_s = self._rate_per_s(share_ratio)
        elapsed_s = max(0.0, now_s - self._refilled_at_s)
        self._refilled_at_s = now_s
        self._token_count = min(
            max(1.0, rate_per_s * BURST_S),
            self._token_count + elapsed_s * rate_per_s,
        )

    def next_at_s(self, share_ratio: float, now_s: float) -> float:
        """Returns from when on this node may send a request.

        Args:
            share_ratio: This node's share of the limit, 0 to 1.
            now_s: The time.
        """
        if not self.is_in_force:
            return now_s
        self._refill(share_ratio, now_s)
        rate_per_s = self._rate_per_s(share_ratio)
        if self._token_count >= 1:
            return now_s
        if rate_per_s <= 0:
            return math.inf
        return now_s + (1 - self._token_count) / rate_per_s

    def take(self, share_ratio: float, now_s: float) -> bool:
        """Takes a token for a request.

        Returns:
            False if there is none.
        """
        self._refill(share_ratio, now_s)
        if self._token_count < 1:
            return False
        self._token_count -= 1
        self.sent_count += 1
        return True

    def give_back(self) -> None:
        """Gives back the token of a request that reached no server."""
        self._token_count += 1
        self.sent_count -= 1
