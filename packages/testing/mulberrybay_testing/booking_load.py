"""Sends random bookings from several callers until it is stopped."""

from __future__ import annotations

import random
import threading
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import Final

from mulberrybay_testing.bookings import Bookings

CALLER_COUNT: Final = 6
REQUEST_PERIOD_S: Final = 0.02
BODIES: Final = ("van", "van", "van", "another van")
DEADLINES_MS: Final = (300, 1000, 2000)
SEEDS_PER_LOAD: Final = 100


class BookingLoad:
    """Repeatedly sends requests with a fixed set of idempotency keys.

    As a context manager, it starts the callers on entry and stops them on exit.
    """

    def __init__(
        self,
        bookings: Bookings,
        keys: Sequence[str],
        seed: int,
        *,
        at_two_nodes: bool = False,
    ) -> None:
        """Prepares the load; the callers start when the context is entered.

        Args:
            bookings: Sends the requests and records their outcomes.
            keys: The idempotency keys.
            seed: Seed for the random keys, nodes, bodies and deadlines.
            at_two_nodes: Whether each request is sent to two nodes at once.
        """
        self._bookings = bookings
        self._keys = keys
        self._seed = seed
        self._at_two_nodes = at_two_nodes
        self._stopping = threading.Event()
        self._pool = ThreadPoolExecutor(CALLER_COUNT)

    def __enter__(self) -> BookingLoad:
        """Starts the callers."""
        self._caller_futures = [
            self._pool.submit(self._send_bookings, caller)
            for caller in range(CALLER_COUNT)
        ]
        return self

    def __exit__(self, *_: object) -> None:
        """Stops the callers and waits for their last answers to arrive."""
        self.stop()
        for caller in self._caller_futures:
            caller.result()
        self._pool.shutdown()

    def stop(self) -> None:
        """Makes the callers stop once their current requests have ended."""
        self._stopping.set()

    def _send_bookings(self, caller: int) -> None:
        random_source = random.Random(self._seed * SEEDS_PER_LOAD + caller)
        node_count = len(self._bookings.deployment.nodes)
        while not self._stopping.wait(REQUEST_PERIOD_S):
            body = random_source.choice(BODIES)
            deadline_ms = random_source.choice(DEADLINES_MS)
            index, key = (
                random_source.randrange(node_count),
                random_source.choice(self._keys),
            )
            arguments = (key, body, deadline_ms)
            other_indexes = (
                [(index + 1) % node_count] if self._at_two_nodes else []
            )
            duplicates = [
                self._bookings.start(i, *arguments) for i in other_indexes
            ]
            self._bookings.send(index, *arguments)
            for duplicate in duplicates:
                duplicate.result()
