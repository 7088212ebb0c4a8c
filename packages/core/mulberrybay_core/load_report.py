"""The load that a backend server names in its replies."""

import re
from typing import Final, NamedTuple, Self

# No server runs or queues as many requests; larger numbers could not be used
# to compute the cost of a server.
_COUNTS: Final = re.compile(
    r"\s*([0-9]{1,6})\s*,\s*([0-9]{1,6})\s*,\s*([0-9]{1,6})\s*"
)


class LoadReport(NamedTuple):
    """The load that a backend server reports with a reply."""

    running_count: int
    waiting_count: int
    slot_count: int

    @classmethod
    def from_header(cls, text: str) -> Self | None:
        """Returns the report in a header; None if it can't be read."""
        match = _COUNTS.fullmatch(text)
        return None if match is None else cls(*map(int, match.groups()))
