"""Reads how long a backend server wants to be left alone.

The value is a number of seconds, possibly with a fraction. A value that can't
be followed is bounded and reported as malformed.
"""

import re
from typing import Final, NamedTuple

# Longer requests are cut to this, so that no reply takes a server out of use
# for good.
MAX_PAUSE_S: Final = 3600.0
_SECONDS: Final = re.compile(r"[0-9]+(\.[0-9]*)?|\.[0-9]+")


class RetryAfter(NamedTuple):
    """The value of a Retry-After header.

    Attributes:
        pause_s: How long to send nothing, in seconds.
        is_malformed: Whether the value is no number of seconds or too large.
    """

    pause_s: float
    is_malformed: bool


def read_retry_after(text: str) -> RetryAfter:
    """Returns the pause that a header asks for; none if it is no number."""
    if not _SECONDS.fullmatch(text.strip()):
        return RetryAfter(0.0, is_malformed=True)
    pause_s = float(text)
    return RetryAfter(
        min(pause_s, MAX_PAUSE_S), is_malformed=pause_s > MAX_PAUSE_S
    )
