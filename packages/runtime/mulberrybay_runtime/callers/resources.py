"""What the listeners of a node share: memory and connections for callers."""

import resource
from collections import Counter
from collections.abc import Callable
from typing import Final

from mulberrybay_core.callers.connection_limit import ConnectionLimits
from mulberrybay_core.callers.machine_limits import (
    DEFAULT_MACHINE_LIMITS,
    MachineLimits,
)
from mulberrybay_core.callers.memory import CallerMemory
from mulberrybay_runtime.clock import read_clock_s
from mulberrybay_runtime.logs import StructuredLog

BYTES_PER_MB: Final = 1024 * 1024
# At most one line in this time, so that callers don't fill the log.
LOG_PERIOD_S: Final = 10.0

# Reasons for which a caller is refused or its connection is closed.
REFUSED_FOR_MEMORY: Final = "memory: request refused"
CLOSED_FOR_MEMORY: Final = "memory: connection closed"
IDLE_CLOSED: Final = "descriptors: idle connection closed"
STALLED_CLOSED: Final = "descriptors: connection without progress closed"
TURNED_AWAY: Final = "descriptors: connection turned away"
UNREAD: Final = "answer not read"
SLOW_HEAD: Final = "head too slow"
SLOW_BODY: Final = "body too slow"
HEADERS_TOO_LARGE: Final = "headers too large"
BODY_TOO_LARGE: Final = "body too large"
MALFORMED: Final = "not valid HTTP"


class CallerResources:
    """The budget and the limits of all listeners of a node.

    Attributes:
        memory: The bytes that callers make the node hold.
        connection_limits: The connections that listeners accept.
        counts: Callers refused or closed, by reason.
    """

    def __init__(
        self,
        machine: MachineLimits = DEFAULT_MACHINE_LIMITS,
        clock: Callable[[], float] = read_clock_s,
    ) -> None:
        self._clock = clock
        self._log = StructuredLog("callers")
        self.memory = CallerMemory(int(machine.memory_mb * BYTES_PER_MB))
        process_count, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if process_count == resource.RLIM_INFINITY:
            process_count = machine.max_descriptors
        self.connection_limits = ConnectionLimits.from_descriptors(
            min(machine.max_descriptors, process_count)
        )
        self.counts: Counter[str] = Counter()
        self._logged_counts: Counter[str] = Counter()
        self._log_at_s = 0.0

    def record(self, reason: str) -> None:
        """Counts a caller that was refused or closed; logs now and then."""
        self.counts[reason] += 1
        now_s = self._clock()
        if now_s < self._log_at_s:
            return
        self._log_at_s = now_s + LOG_PERIOD_S
        self._log.warning(
            "callers refused or closed",
            counts=dict(self.counts - self._logged_counts),
            held_bytes=self.memory.held_bytes,
            budget_bytes=self.memory.budget_bytes,
        )
        self._logged_counts = self.counts.copy()
