"""The one clock of a process."""

import time


def read_clock_s() -> float:
    """Returns seconds since the machine started.

    The clock counts the time in which the VM was suspended, so a lease also
    lapses in a VM that was paused as a whole.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
