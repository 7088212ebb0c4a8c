"""The load that a backend server names in its replies."""

import functools
import re
from typing import Final, NamedTuple, Self

# No server runs or queues as many requests; larger numbers could not be used
# to compute the cost of a server.
_FIGURES: Final = re.compile(
    r"\s*([0-9]{1,6})\s*,\s*([0-9]{1,6})\s*,\s*([0-9]{1,6})\s*"
    # The fourth, and further ones that are not used.
    r"(?:,\s*([0-9]{1,6}(?:\.[0-9]{1,6})?)\s*(?:,.*)?)?"
)


# Longer headers are not kept in memory.
MAX_TEXT_CHARS: Final = 256


class LoadReport(NamedTuple):
    """The load that a backend server reports with a reply.

    Attributes:
        running_count: The requests that it runs, the answered one included.
        waiting_count: The requests that wait for a slot.
        slot_count: The requests that it runs at the same time.
        work_percent: How long work takes on its machine now; 100 as usual,
            None if the server doesn't say.
    """

    running_count: int
    waiting_count: int
    slot_count: int
    work_percent: float | None = None

    @classmethod
    def from_header(cls, text: str) -> Self | None:
        """Returns the report in a header; None if it can't be read."""
        return None if len(text) > MAX_TEXT_CHARS else cls._parse(text)

    # Servers repeat few values.
    @classmethod
    @functools.lru_cache(maxsize=512)
    def _parse(cls, text: str) -> Self | None:
        match = _FIGURES.fullmatch(text)
        if match is None:
            return None
        *counts, work = match.groups()
        work_percent = float(work) if work is not None else None
        # Work that takes no time is no statement.
        running, waiting, slots = map(int, counts)
        return cls(running, waiting, slots, work_percent or None)
