"""The fault of a soak in which uncontrolled callers connect to a node."""

import random
import threading
from typing import Final

from deployment import RunningNode

from mulberrybay_testing.uncontrolled_callers import (
    KINDS,
    MEMORY_MB,
    SILENT_KINDS,
    UncontrolledCallers,
    peak_memory_mb,
)

# A part of the faults that a soak injects comes with such callers.
CALLERS_RATIO: Final = 0.1
# Only kinds whose requests never become complete, so that servers see the
# soak's own requests alone.
KIND_NAMES: Final = (
    "endless trailers",
    "one-byte chunks",
    "endless head",
    "one large chunk",
    "nothing",
    "single bytes",
)
ALL_KINDS: Final = {**KINDS, **SILENT_KINDS}


class CallerFaults:
    """Chooses kinds of callers, apart from the draws of other faults."""

    def __init__(self, seed: int) -> None:
        # Seeds that found violations draw their other faults as before.
        self._random = random.Random(f"callers {seed}")

    def is_due(self) -> bool:
        """Returns whether callers connect now."""
        return self._random.random() < CALLERS_RATIO

    def start(self, node: RunningNode) -> "CallerFault":
        """Lets callers of some kind connect to a node."""
        return CallerFault(node, self._random.choice(KIND_NAMES))


class CallerFault:
    """Callers of one kind that send to a node in a thread."""

    def __init__(self, node: RunningNode, name: str) -> None:
        self._node = node
        self.name = f"callers of {name}"
        self._callers = UncontrolledCallers(
            node.callers_port, [ALL_KINDS[name]]
        )
        self._thread = threading.Thread(
            target=self._callers.send, args=(lambda: None,)
        )
        self._thread.start()

    def end(self) -> list[str]:
        """Ends the connections; returns a line if memory was exceeded."""
        self._callers.stop()
        self._thread.join()
        with self._callers:
            pass
        if self._node.process.returncode is not None:
            return []
        peak_mb = peak_memory_mb(self._node.process.pid)
        if peak_mb < MEMORY_MB:
            return []
        return [f"{self._node.name} took {peak_mb:.0f} MB under {self.name}"]
