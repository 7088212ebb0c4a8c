"""Which requests a node sends, holds back or refuses while servers are full.

A server runs requests in the order of arrival, so only what a node holds back can
be ordered. Urgent requests are sent at once; others wait shortly while they would be late
behind what each server that could take them has already. Second attempts beside late ones are
not sent to servers with a queue. The time is an argument.
"""

import enum
import math
from collections.abc import Iterable, Sequence
from typing import Final, NamedTuple

# Less urgent requests are held back only if this many urgent ones are expected
# to come while one of them occupies a slot.
MIN_URGENT_COUNT: Final = 0.05
# Time constant of the rates and shares of a class.
RATE_DECAY_S: Final = 2.0
# At least this share of the requests of a class is not refused.
MIN_SERVED_RATIO: Final = 0.25
# The time kept for the reply of a request that was held back, as a multiple of
# the typical latency: a query needs the slowest of many replies.
REPLY_RATIO: Final = 2.0
# A request is not held back for a larger part of its latency budget. With 0.5,
# played scans beyond saturation lost twice what look-ups gained.
MAX_HOLD_RATIO: Final = 0.1
# A second attempt beside one that is late is sent to a server with no more
# requests in excess of its slots: behind a longer queue it wins little, and
# delays first attempts.
HEDGE_EXCESS_COUNT: Final = 1


class Urgency(NamedTuple):
    """What the order of a request depends on.

    Attributes:
        priority: The priority of its class; 0 is the highest.
        due_at_s: When its answer must leave to be in time.
        typical_latency_s: The typical latency of a reply on its route.
        hold_until_s: How long it may be held back.
    """

    priority: int
    due_at_s: float
    typical_latency_s: float
    hold_until_s: float

    @property
    def rank(self) -> tuple[int, float, float]:
        """What requests are sorted by: priority, due time, work."""
        return self.priority, self.due_at_s, self.typical_latency_s


def find_hold_until_s(
    received_at_s: float, due_at_s: float, typical_latency_s: float
) -> float:
    """Returns until when a request can wait and still be in time."""
    budget_s = due_at_s - received_at_s
    hold_s = min(
        budget_s - REPLY_RATIO * typical_latency_s, MAX_HOLD_RATIO * budget_s
    )
    return received_at_s + max(0.0, hold_s)


class ServerRoom(NamedTuple):
    """What a node knows of the load of a server.

    Attributes:
        request_count: The requests that it probably has, of all nodes.
        slot_count: The requests that it runs at the same time.
        mean_latency_s: The mean latency of the requests sent to it.
    """

    request_count: float
    slot_count: int
    mean_latency_s: float

    def has_room(self, excess_count: int = 0) -> bool:
        """Whether it has few enough requests, beyond its slots by a number."""
        return self.request_count < self.slot_count + excess_count

    @property
    def wait_s(self) -> float:
        """How long a request probably waits for a slot."""
        excess = max(0.0, self.request_count + 1 - self.slot_count)
        return excess / self.slot_count * self.mean_latency_s


class Decision(enum.Enum):
    """What to do with a request now, and why."""

    ROOM = "room"
    IN_TIME = "in_time"
    URGENT = "urgent"
    DUE = "due"
    WAIT = "wait"


class _DecayingCount:
    """A count that loses its memory over time."""

    __slots__ = ("_at_s", "_value")

    def __init__(self) -> None:
        self._value = self._at_s = 0.0

    def value(self, now_s: float) -> float:
        return self._value * math.exp((self._at_s - now_s) / RATE_DECAY_S)

    def add(self, now_s: float) -> None:
        self._value = self.value(now_s) + 1
        self._at_s = now_s


class ServiceOrder:
    """Decides on the requests for one service."""

    def __init__(self) -> None:
        self._seen: dict[int, _DecayingCount] = {}

    def record_request(self, priority: int, now_s: float) -> None:
        """Counts a caller's request of a class."""
        self._seen.setdefault(priority, _DecayingCount()).add(now_s)

    def more_urgent_per_s(self, priority: int, now_s: float) -> float:
        """Returns the recent rate of requests of more urgent classes."""
        return sum(
            count.value(now_s) / RATE_DECAY_S
            for other, count in self._seen.items()
            if other < priority
        )

    def decide(
        self,
        urgency: Urgency,
        rooms: Iterable[ServerRoom],
        now_s: float,
    ) -> Decision:
        """Decides whether to send the first attempt of a request now.

        Args:
            urgency: What its order depends on.
            rooms: The load of the servers that it could be sent to.
            now_s: The time.
        """
        wait_s = math.inf
        for room in rooms:
            if room.has_room():
                return Decision.ROOM
            wait_s = min(wait_s, room.wait_s)
        if now_s >= urgency.hold_until_s:
            return Decision.DUE
        urgent_per_s = self.more_urgent_per_s(urgency.priority, now_s)
        if urgent_per_s * urgency.typical_latency_s < MIN_URGENT_COUNT:
            return Decision.URGENT
        # Behind a queue that it can afford, it is sent: held back for any queue,
        # urgent requests were served no better in played loads.
        if now_s + wait_s + urgency.typical_latency_s <= urgency.due_at_s:
            return Decision.IN_TIME
        return Decision.WAIT


def may_hedge(rooms: Iterable[ServerRoom]) -> bool:
    """Returns whether a second attempt may be sent beside one that is late."""
    return any(room.has_room(HEDGE_EXCESS_COUNT) for room in rooms)


def enough_wait_s(waits_s: Sequence[float], needed_count: int) -> float:
    """Returns how long a query waits for as many shards as it needs."""
    return sorted(waits_s)[needed_count - 1]


class RefusalShares:
    """Bounds the share of each class that is refused."""

    def __init__(self) -> None:
        self._asked: dict[int, _DecayingCount] = {}
        self._refused: dict[int, _DecayingCount] = {}

    def record_request(self, priority: int, now_s: float) -> None:
        """Counts a caller's request of a class."""
        self._asked.setdefault(priority, _DecayingCount()).add(now_s)

    def _share(self, priority: int, now_s: float, extra: int = 0) -> float:
        asked = self._asked[priority].value(now_s)
        refused = self._refused.get(priority)
        count = refused.value(now_s) if refused is not None else 0.0
        return (count + extra) / max(asked, 1.0)

    def refuse(self, priority: int, now_s: float) -> bool:
        """Counts a refusal of a request that was recorded, if it is allowed.

        It is not if too few of the class would be served, or fewer than of a
        less urgent class with recent requests.
        """
        share = self._share(priority, now_s, 1)
        if share > 1 - MIN_SERVED_RATIO:
            return False
        if any(
            other > priority
            and asked.value(now_s) >= 1
            and self._share(other, now_s) < share
            for other, asked in self._asked.items()
        ):
            return False
        self._refused.setdefault(priority, _DecayingCount()).add(now_s)
        return True
