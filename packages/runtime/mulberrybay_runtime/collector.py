"""The garbage collector of a process that serves requests."""

import gc
from typing import Final

# Objects more than were freed, before the young generation is walked; with a
# few hundred at work on each request that is some dozens of requests.
YOUNG_THRESHOLD_COUNT: Final = 20_000
MIDDLE_THRESHOLD_COUNT: Final = 20
OLD_THRESHOLD_COUNT: Final = 50


def relax_collector() -> None:
    """Lets the collector run seldom and skip what lives for good.

    Requests leave few reference cycles, so a collection mostly walks objects
    that stay.
    """
    gc.freeze()
    gc.set_threshold(
        YOUNG_THRESHOLD_COUNT, MIDDLE_THRESHOLD_COUNT, OLD_THRESHOLD_COUNT
    )
