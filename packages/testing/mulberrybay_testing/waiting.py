"""Waits for conditions in tests."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Final

POLL_PERIOD_S: Final = 0.01


def wait_until(
    condition: Callable[[], bool], timeout_s: float, description: str
) -> float:
    """Waits until a condition is true.

    Args:
        condition: Called repeatedly until it returns True.
        timeout_s: Longest time to wait.
        description: Describes the condition in the error text.

    Returns:
        The time waited, in seconds.

    Raises:
        TimeoutError: The condition was not true within the timeout.
    """
    started_at_s = time.monotonic()
    while not condition():
        if time.monotonic() - started_at_s > timeout_s:
            raise TimeoutError(f"{description}: not within {timeout_s} s")
        time.sleep(POLL_PERIOD_S)
    return time.monotonic() - started_at_s
