"""Callers that send bookings at random until they are stopped."""

from __future__ import annotations

import random
import threading
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import Final

from mulberrybay_testing.bookings import Bookings

CALLER_COUNT: Final = 6
CALL_PERIOD_S: Final = 0.02
BODIES: Final = ("van", "van", "van", "another van")
DEADLINES_MS: Final = (300, 1000, 2000)
SEEDS_PER_LOAD: Final = 100


class BookingLoad:
    """Sends the same keys again and again; a context manager."""

    def __init__(
        self,
        bookings: Bookings,
        keys: Sequence[str],
        seed: int,
        *,
        at_two_nodes: bool = False,
    ) -> None:
        """Plans the load.

        Args:
            bookings: Where the requests are sent from.
            keys: The idempotency keys.
            seed: Chooses keys, nodes, bodies and deadlines.
            at_two_nodes: Whether each request goes to two nodes at once.
        """
        self._bookings = bookings
        self._keys = keys
        self._seed = seed
        self._at_two_nodes = at_two_nodes
        self._stopping = threading.Event()
        self._pool = ThreadPoolExecutor(CALLER_COUNT)

    def __enter__(self) -> BookingLoad:
        """Starts the callers."""
        self._callers = [
            self._pool.submit(self._call, caller)
            for caller in range(CALLER_COUNT)
        ]
        return self

    def __exit__(self, *_: object) -> None:
        """Stops the callers and waits for their last answers."""
        self.stop()
        for caller in self._callers:
            caller.result()
        self._pool.shutdown()

    def stop(self) -> None:
        """Lets the callers end after their present requests."""
        self._stopping.set()

    def _call(self, caller: int) -> None:
        source = random.Random(self._seed * SEEDS_PER_LOAD + caller)
        node_count = len(self._bookings.deployment.nodes)
        while not self._stopping.wait(CALL_PERIOD_S):
            body = source.choice(BODIES)
            deadline_ms = source.choice(DEADLINES_MS)
            index, key = source.randrange(node_count), source.choice(self._keys)
            arguments = (key, body, deadline_ms)
            others = [(index + 1) % node_count] if self._at_two_nodes else []
            repeats = [self._bookings.start(i, *arguments) for i in others]
            self._bookings.send(index, *arguments)
            for repeat in repeats:
                repeat.result()
