"""Bounds the connections of callers by the descriptors of a node.

A new connection beyond the limit closes the one that has been idle for the
longest time, or else one without progress. If there is none, the new one is
turned away.
"""

from collections.abc import Iterable
from typing import Final, Generic, NamedTuple, Protocol, TypeVar

from mulberrybay_core.callers.memory import ConnectionAccount

C = TypeVar("C")

# What the platform counts as files of a process.
FILE_COUNT: Final = 200
# The rest is for backend servers, the store and other nodes.
SERVER_RATIO: Final = 0.25
MIN_SERVER_COUNT: Final = 64
# The part of these for links that other nodes have dialled.
PEER_RATIO: Final = 0.5
# Each listener that answers by itself has a part of its own, so that callers
# don't keep the platform's checks out.
OWN_ANSWER_RATIO: Final = 1 / 16
MIN_OWN_ANSWER_COUNT: Final = 16
# The listeners for readiness, directory and metrics.
OWN_ANSWER_LISTENER_COUNT: Final = 3
MIN_CONNECTION_COUNT: Final = 16


class ConnectionLimits(NamedTuple):
    """How many connections each listener accepts at a time.

    Attributes:
        caller_count: The limit of the listener for callers.
        own_answer_count: The limit of each listener for requests that the node
            answers by itself.
        peer_count: The limit of the listener for links of other nodes.
    """

    caller_count: int
    own_answer_count: int
    peer_count: int

    @classmethod
    def from_descriptors(cls, max_descriptor_count: int) -> "ConnectionLimits":
        """Returns the limits of a node with so many descriptors."""
        socket_count = max_descriptor_count - FILE_COUNT
        server_count = max(MIN_SERVER_COUNT, int(SERVER_RATIO * socket_count))
        accepted_count = socket_count - server_count
        own_answer_count = max(
            MIN_OWN_ANSWER_COUNT, int(OWN_ANSWER_RATIO * accepted_count)
        )
        return cls(
            max(
                MIN_CONNECTION_COUNT,
                accepted_count - OWN_ANSWER_LISTENER_COUNT * own_answer_count,
            ),
            own_answer_count,
            int(PEER_RATIO * server_count),
        )


class Accounted(Protocol):
    """A connection whose caller makes the node hold something.

    Attributes:
        account: What it holds.
        awaits_turn: Whether the node has yet to process what came.
    """

    account: ConnectionAccount
    awaits_turn: bool


A = TypeVar("A", bound=Accounted)


def find_longest_stalled(connections: Iterable[A], now_s: float) -> A | None:
    """Returns the connection to close if none is idle.

    It has an incomplete request, or unread answers, and has made no progress
    for the longest time; None if all make progress or await answers.
    """
    stalled = [
        connection
        for connection in connections
        if connection.account.is_stalled(now_s) and not connection.awaits_turn
    ]
    if not stalled:
        return None
    return min(stalled, key=lambda connection: connection.account.progress_at_s)


class ConnectionLimit(Generic[C]):
    """Decides which connection of one listener gives way to a new one."""

    def __init__(self, max_count: int) -> None:
        self._max_count = max_count
        self._open: set[C] = set()
        # In the order in which they became idle.
        self._idle: dict[C, None] = {}

    @property
    def is_full(self) -> bool:
        """Whether another connection has to give way to a new one."""
        return len(self._open) >= self._max_count

    def connections(self) -> list[C]:
        """Returns the open connections."""
        return [*self._open]

    def longest_idle(self) -> C | None:
        """Returns the connection to close for a new one, if there is one."""
        return next(iter(self._idle), None)

    def add(self, connection: C) -> None:
        """Adds a new connection, which is idle."""
        self._open.add(connection)
        self._idle[connection] = None

    def remove(self, connection: C) -> None:
        """Removes a connection that was closed."""
        self._open.discard(connection)
        self._idle.pop(connection, None)

    def record_busy(self, connection: C) -> None:
        """Records that a request is being read or answered."""
        self._idle.pop(connection, None)

    def record_idle(self, connection: C) -> None:
        """Records that no request is being read or answered any more."""
        if connection in self._open and connection not in self._idle:
            self._idle[connection] = None
