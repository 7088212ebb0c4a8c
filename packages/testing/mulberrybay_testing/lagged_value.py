"""A value whose changes become visible only after a lag."""

from __future__ import annotations

from collections import deque
from typing import Generic, NamedTuple, TypeVar

_T = TypeVar("_T")

# Values recorded within this time of an entry replace its value.
_RESOLUTION_S = 0.05


class _Entry(NamedTuple, Generic[_T]):
    at_s: float
    value: _T


class LaggedValue(Generic[_T]):
    """A value with enough history to be read with a lag."""

    def __init__(self, value: _T, lag_s: float) -> None:
        self.lag_s = lag_s
        self._entries = deque([_Entry(float("-inf"), value)])

    @property
    def current(self) -> _T:
        """The latest value, without the lag."""
        return self._entries[-1].value

    def record(self, value: _T, now_s: float) -> None:
        """Records a new value at the given time."""
        last = self._entries[-1]
        if now_s - last.at_s < _RESOLUTION_S:
            self._entries[-1] = _Entry(last.at_s, value)
        else:
            self._entries.append(_Entry(now_s, value))
        self._drop_old_entries(now_s)

    def read(self, now_s: float) -> _T:
        """Returns the value as it was `lag_s` ago."""
        self._drop_old_entries(now_s)
        return self._entries[0].value

    def _drop_old_entries(self, now_s: float) -> None:
        entries = self._entries
        while len(entries) > 1 and entries[1].at_s <= now_s - self.lag_s:
            entries.popleft()
