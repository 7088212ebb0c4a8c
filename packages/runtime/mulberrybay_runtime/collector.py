"""Garbage collector settings for a process that serves requests."""

import gc
from typing import Final

# The youngest generation is collected when allocations exceed deallocations by
# this count. A request allocates a few hundred objects, so that is every few
# dozen requests.
YOUNG_THRESHOLD_COUNT: Final = 20_000
MIDDLE_THRESHOLD_COUNT: Final = 20
OLD_THRESHOLD_COUNT: Final = 50


def tune_garbage_collector() -> None:
    """Reduces collections and excludes the present objects from them.

    Requests create few reference cycles, so a collection mostly traverses
    long-lived objects.
    """
    gc.freeze()
    gc.set_threshold(
        YOUNG_THRESHOLD_COUNT, MIDDLE_THRESHOLD_COUNT, OLD_THRESHOLD_COUNT
    )
