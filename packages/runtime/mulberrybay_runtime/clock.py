"""The one clock of a process."""

import functools
import time
from collections.abc import Callable
from typing import Final

# Returns seconds since the machine started. The clock counts the time in
# which the VM was suspended, so a lease also lapses in a VM that was paused as
# a whole.
read_clock_s: Final[Callable[[], float]] = functools.partial(
    time.clock_gettime, time.CLOCK_BOOTTIME
)
