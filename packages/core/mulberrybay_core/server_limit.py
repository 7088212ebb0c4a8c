"""The request rate that a backend server in need has named.

A server names it in its replies, for all nodes together, for as long as it
needs it. The value is a decimal number of requests per second.
"""

import re
from typing import Final, NamedTuple

# Higher limits are cut to this; no server gets as many requests.
MAX_LIMIT_PER_S: Final = 1e6
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
    """A limit that a server has named, as this node knows it.

    Attributes:
        per_s: The limit, for all nodes together.
        since_s: When the server first named it.
        named_at_s: When the server last named it.
        sent_count: The requests that this node has sent to it since.
    """

    __slots__ = ("named_at_s", "per_s", "sent_count", "since_s")

    def __init__(self, per_s: float, now_s: float) -> None:
        self.per_s = per_s
        self.since_s = self.named_at_s = now_s
        self.sent_count = 0
