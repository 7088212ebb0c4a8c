"""The clock that all code of a process uses."""

import functools
import time
from collections.abc import Callable
from typing import Final

# Returns the seconds since the VM booted. The clock includes the time in which
# the VM was suspended, so leases also expire while the whole VM is paused.
read_clock_s: Final[Callable[[], float]] = functools.partial(
    time.clock_gettime, time.CLOCK_BOOTTIME
)
