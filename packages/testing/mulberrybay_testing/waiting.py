"""Waits on conditions, for tests."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Final

POLL_PERIOD_S: Final = 0.01


def wait_until(
    condition: Callable[[], bool], timeout_s: float, what: str
) -> float:
    """Waits for a condition and returns how long that took.

    Raises:
        TimeoutError: The condition did not come true.
    """
    started_at_s = time.monotonic()
    while not condition():
        if time.monotonic() - started_at_s > timeout_s:
            raise TimeoutError(f"{what}: not within {timeout_s} s")
        time.sleep(POLL_PERIOD_S)
    return time.monotonic() - started_at_s
