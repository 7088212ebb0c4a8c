"""Decides whose bytes are processed next, and for how long.

The load it answers: many connections with requests that are slow to parse and
to start, beside others with small ones. Each turn of the event loop spends a
bounded time on callers' bytes. Within it, time is shared by weighted fair
queueing, first between the addresses of callers, then between the connections
of an address. What was spent is charged; what is next is estimated, so that a
small request on a new connection goes before all large ones.
"""

import heapq
import itertools
from typing import Final, Generic, TypeVar

C = TypeVar("C")
K = TypeVar("K")

# The time of one turn of the event loop that is spent on callers' bytes, apart
# from the end of what was begun.
TURN_S: Final = 0.01
# Connections are served as they come until a turn has taken so long; keeping
# an order costs more than it gains while there is little to do.
UNORDERED_S: Final = 0.002
# The estimated cost of a request or of the bytes that wait on a connection.
# Only the order of connections that were not charged yet depends on it.
MIN_COST_S: Final = 0.0002
COST_PER_BYTE_S: Final = 0.5e-6
# Addresses whose shares are remembered before those that matter no more are
# looked for.
MAX_REMEMBERED_COUNT: Final = 1024


def estimate_cost_s(waiting_bytes: int) -> float:
    """Returns about how long it takes to process so many bytes."""
    return MIN_COST_S + COST_PER_BYTE_S * waiting_bytes


class _FairQueue(Generic[K]):
    """Orders keys so that each gets the same share of time.

    A key's due time is when it would be finished if all that wait were served
    at the same time, each at an equal part of the speed. The virtual time
    advances accordingly: more slowly, the more keys wait.
    """

    def __init__(self, *, accumulates: bool) -> None:
        """Creates an empty queue.

        Args:
            accumulates: Whether a key pays for all that it has used beyond its
                share; else for what it used last, so that one with many small
                requests in a row still goes before large ones.
        """
        self._accumulates = accumulates
        self._heap: list[tuple[float, int, K]] = []
        self._sequence = itertools.count()
        self._virtual_s = 0.0
        # The due times and estimated costs of the keys that wait.
        self._waiting: dict[K, tuple[float, float]] = {}
        # Until when the keys that were served have used up their share.
        self._used_until_s: dict[K, float] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def is_unused(self) -> bool:
        """Whether nothing is known of any key."""
        return not self._waiting and not self._used_until_s

    def push(self, key: K, cost_s: float) -> None:
        """Adds a key; an earlier place that it has is kept."""
        used_until_s = self._used_until_s.get(key, 0.0)
        due_s = max(self._virtual_s, used_until_s) + cost_s
        place = self._waiting.get(key)
        if place is None or due_s < place[0]:
            self._waiting[key] = due_s, cost_s
            heapq.heappush(self._heap, (due_s, next(self._sequence), key))

    def first_cost_s(self) -> float | None:
        """Returns the estimated cost of the first key; None if none waits."""
        self._drop_outdated()
        return self._waiting[self._heap[0][2]][1] if self._heap else None

    def pop(self) -> K:
        """Removes the first key and returns it.

        Raises:
            IndexError: No key waits.
        """
        self._drop_outdated()
        key = heapq.heappop(self._heap)[2]
        del self._waiting[key]
        return key

    def _drop_outdated(self) -> None:
        """Drops places at the front that their keys don't have any more."""
        heap = self._heap
        while heap:
            due_s, _, key = heap[0]
            place = self._waiting.get(key)
            if place is not None and place[0] == due_s:
                return
            heapq.heappop(heap)

    def charge(self, key: K, cost_s: float) -> None:
        """Charges what it took to serve a key that was removed by `pop`."""
        used_until_s = self._virtual_s
        if self._accumulates:
            used_until_s = max(used_until_s, self._used_until_s.get(key, 0.0))
        self._used_until_s[key] = used_until_s + cost_s
        self._virtual_s += cost_s / (len(self._waiting) + 1)

    def withdraw(self, key: K) -> None:
        """Removes a key that waits; what it has used is remembered."""
        self._waiting.pop(key, None)

    def remove(self, key: K) -> None:
        """Removes a key that won't come back."""
        self._waiting.pop(key, None)
        self._used_until_s.pop(key, None)

    def forget_past(self) -> None:
        """Forgets the keys whose share isn't used up any more."""
        if len(self._used_until_s) > MAX_REMEMBERED_COUNT:
            self._used_until_s = {
                key: used_until_s
                for key, used_until_s in self._used_until_s.items()
                if used_until_s > self._virtual_s
            }


class CallerTurns(Generic[C]):
    """Shares the time of the event loop between the connections of callers."""

    def __init__(self) -> None:
        self._addresses: _FairQueue[str] = _FairQueue(accumulates=True)
        self._connections: dict[str, _FairQueue[C]] = {}
        self._began_at_s = 0.0
        self._has_served = False

    @property
    def is_waiting(self) -> bool:
        """Whether any connection waits."""
        return len(self._addresses) > 0

    def add(self, connection: C, address: str, cost_s: float) -> None:
        """Adds a connection with something to do, or does nothing if it waits.

        Args:
            connection: The connection.
            address: Where its caller is.
            cost_s: The estimated cost of what is next; see `estimate_cost_s`.
        """
        queue = self._connections.get(address)
        if queue is None:
            queue = self._connections[address] = _FairQueue(accumulates=False)
        queue.push(connection, cost_s)
        self._addresses.push(address, cost_s)

    def begin(self, now_s: float) -> None:
        """Begins a turn of the event loop."""
        self._began_at_s = now_s
        self._has_served = False

    def needs_order(self, now_s: float) -> bool:
        """Whether connections have to wait for others, so that order matters."""
        return self.is_waiting or now_s - self._began_at_s >= UNORDERED_S

    def pop(self, now_s: float) -> tuple[C, str] | None:
        """Returns who is next, with the address; None at the end of the turn.

        At least one connection is served in each turn. The caller must report
        the cost with `charge`.
        """
        if not self.is_waiting:
            return None
        if self._has_served and now_s - self._began_at_s >= TURN_S:
            return None
        self._has_served = True
        address = self._addresses.pop()
        return self._connections[address].pop(), address

    def charge(
        self, connection: C, address: str, cost_s: float, *, is_open: bool
    ) -> None:
        """Charges the time that a connection took; others wait again."""
        self._addresses.charge(address, cost_s)
        self._addresses.forget_past()
        queue = self._connections.get(address)
        if queue is None:
            return
        if is_open:
            queue.charge(connection, cost_s)
        next_cost_s = queue.first_cost_s()
        if next_cost_s is not None:
            self._addresses.push(address, next_cost_s)

    def remove(self, connection: C, address: str) -> None:
        """Removes a connection that was closed."""
        queue = self._connections.get(address)
        if queue is None:
            return
        queue.remove(connection)
        if not queue:
            # The share that the address has used is remembered.
            self._addresses.withdraw(address)
        if queue.is_unused:
            del self._connections[address]
