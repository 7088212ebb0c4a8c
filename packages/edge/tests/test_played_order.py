"""Urgent look-ups and scans share servers through a burst, on a played clock.

`python test_played_order.py` prints the figures of docs/design/overload-order.md.
"""

import functools
import itertools
import random
import sys
from collections import deque
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Final, NamedTuple

import pytest
from played_servers import PlayedNode, PlayedServer
from request_fakes import FakeTimers

from mulberrybay_core.overload import admission
from mulberrybay_core.overload.admission import (
    Decision,
    ServerRoom,
    ServiceOrder,
    Urgency,
)
from mulberrybay_core.routing import Route, RouteKind
from mulberrybay_edge import dispatcher, exchange, send_order
from mulberrybay_edge.exchange import Exchange
from mulberrybay_runtime.http_exchange import HttpReply

SHARD_COUNT: Final = 45
SHARDS: Final = tuple(f"s{number}" for number in range(SHARD_COUNT))
SLOT_COUNT: Final = 2
NODE_COUNT: Final = 2
ROUND_TRIP_S: Final = 0.002
# Processor time at a server by route.
WORK_S: Final = {"lookup": 0.0057, "scan": 0.0165}
# Both servers of a shard run four requests at a time.
CAPACITY: Final = 2 * SLOT_COUNT
SCAN_WORK_RATIO: Final = 0.6
SLOW_RATIO: Final = 0.15


def _route(name: str, target_latency_s: float, priority: int) -> Route:
    return Route(
        name,
        "a.example",
        f"/{name}/",
        RouteKind.IDEMPOTENT,
        timeout_s=6 * target_latency_s,
        target_latency_s=target_latency_s,
        priority=priority,
        max_server_count=2,
        shards=SHARDS,
        top_hit_count=5,
        min_coverage=0.5,
    )


LOOKUP: Final = _route("lookup", 0.087, 0)
SCAN: Final = _route("scan", 0.170, 1)


class _Link:
    """A connection that carries one request.

    Attributes:
        is_closed: Whether the node has closed it.
    """

    def __init__(self) -> None:
        self.is_closed = False

    def abandon(self) -> None:
        """Closes the connection."""
        self.is_closed = True


class LoadedServer(PlayedServer):
    """A server that runs requests in the order of arrival and tells its load.

    It drops a request whose connection was closed before its turn.
    """

    def __init__(
        self,
        timers: FakeTimers,
        service: str,
        number: int,
        numbers: random.Random,
        figure_count: int = 4,
    ) -> None:
        super().__init__(timers, service, number, lambda: 0.0)
        self._numbers = numbers
        self._figure_count = figure_count
        self._running_count = 0
        self._waiting: deque[tuple[Exchange, _Link]] = deque()
        # How long work takes on its machine, and until when.
        self._pace = 1.0
        self._pace_until_s = 0.0

    def _current_pace(self) -> float:
        now_s = self._timers.now_s
        if now_s >= self._pace_until_s:
            is_slow = self._numbers.random() < SLOW_RATIO
            self._pace = 3.0 if is_slow else 1.0
            self._pace_until_s = now_s + self._numbers.expovariate(4.0)
        return self._pace

    def receive(self, exchange: Exchange) -> None:
        """Queues a request that a node has sent."""
        link = _Link()
        exchange.connection = link  # type: ignore[assignment]
        exchange.sent_at_s = self._timers.now_s
        self._waiting.append((exchange, link))
        self._run()

    def _run(self) -> None:
        while self._waiting and self._running_count < SLOT_COUNT:
            running, link = self._waiting.popleft()
            if link.is_closed:
                continue
            self._running_count += 1
            work_s = WORK_S[running.request_id.partition("-")[0]]
            spread = self._numbers.lognormvariate(-0.06, 0.35)
            end_s = self._timers.now_s + work_s * spread * self._current_pace()
            self._timers.call_at(end_s, functools.partial(self._end, running))

    def _end(self, ended: Exchange) -> None:
        figures = (
            self._running_count,
            len(self._waiting),
            SLOT_COUNT,
            round(100 * self._current_pace()),
        )
        headers = {
            "signature": f"{self.entry.server_id}-{next(_SIGNATURES)}",
            "load": ",".join(map(str, figures[: self._figure_count])),
        }
        self._running_count -= 1
        self._reply_at(
            self._timers.now_s + ROUND_TRIP_S,
            ended,
            HttpReply(200, headers, b"", True),
        )
        self._run()


_SIGNATURES: Final = itertools.count()


class Figures(NamedTuple):
    """What the callers of a class got.

    Attributes:
        in_time: The share that got an answer in time.
        worth: The mean worth of an answer; see `PlayedNode.worth`.
        served: The share that got an answer.
        refused: The share that was refused, also by a repeat.
    """

    in_time: float
    worth: float
    served: float
    refused: float


def play(
    patch: pytest.MonkeyPatch,
    load: float,
    seed: int,
    *,
    burst: float = 2.0,
    length_s: float = 3.0,
    figure_count: int = 4,
    routes: tuple[Route, ...] = (LOOKUP, SCAN),
) -> tuple[dict[str, Figures], list[PlayedNode]]:
    """Plays a load, given as a part of the capacity, with a burst in between."""
    timers = FakeTimers()
    for module in (dispatcher, exchange):
        patch.setattr(module, "read_clock_s", timers.clock)
    numbers = random.Random(seed)
    paces = random.Random(seed + 1000)
    servers = [
        LoadedServer(timers, shard, number, paces, figure_count)
        for shard in SHARDS
        for number in range(2)
    ]
    nodes = [
        PlayedNode(timers, servers, routes, seed + number)
        for number in range(NODE_COUNT)
    ]
    scan_per_s = SCAN_WORK_RATIO * load * CAPACITY / WORK_S["scan"]
    lookup_per_s = (1 - SCAN_WORK_RATIO) * load * CAPACITY / WORK_S["lookup"]
    per_s = scan_per_s + lookup_per_s
    start_s = timers.now_s
    while (at_s := timers.now_s - start_s) < length_s:
        is_burst = length_s / 3 <= at_s < 2 * length_s / 3
        timers.advance(numbers.expovariate(per_s * (burst if is_burst else 1)))
        is_scan = numbers.random() < scan_per_s / per_s
        numbers.choice(nodes).submit("scan" if is_scan else "lookup")
    timers.advance(3.0)
    figures = {}
    for route in routes:
        answers = [
            answer
            for node in nodes
            for answer in node.answers
            if answer.route == route.name
        ]
        count = len(answers)
        served = [answer for answer in answers if answer.status == 200]
        # A target plus a reserve of a millisecond for the timer.
        in_time = [
            a for a in served if a.took_s <= route.target_latency_s + 1e-6
        ]
        figures[route.name] = Figures(
            len(in_time) / count,
            sum(a.coverage**2 for a in in_time) / count,
            len(served) / count,
            sum(a.status == 503 for a in answers) / count,
        )
    return figures, nodes


# The orders that were weighed, as changes of the one that is built.


def _before(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(dispatcher.Dispatcher, "has_order", False)


def _built(patch: pytest.MonkeyPatch) -> None:
    del patch


def _only_hedges(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(ServiceOrder, "decide", lambda *_: Decision.ROOM)


def _only_hold(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(send_order, "may_hedge", lambda _: True)


_Rank = Callable[[Urgency], object]


def _hold(
    patch: pytest.MonkeyPatch,
    rank: _Rank,
    hold_ratio: float,
    *,
    holds_urgent: bool = False,
    reserved_count: int = 0,
) -> None:
    """Holds first attempts back whenever servers are full; hedges as before."""
    _only_hold(patch)

    def decide(
        self: ServiceOrder,
        urgency: Urgency,
        rooms: Iterable[ServerRoom],
        now_s: float,
    ) -> Decision:
        is_urgent = urgency.priority == 0
        slot_count = SLOT_COUNT - (0 if is_urgent else reserved_count)
        if any(room.request_count < slot_count for room in rooms):
            return Decision.ROOM
        if now_s >= urgency.hold_until_s:
            return Decision.DUE
        if is_urgent and not holds_urgent:
            return Decision.URGENT
        return Decision.WAIT

    patch.setattr(ServiceOrder, "decide", decide)
    patch.setattr(admission, "MAX_HOLD_RATIO", hold_ratio)
    patch.setattr(Urgency, "rank", property(rank))


_ARRIVALS: Final = itertools.count()


def _weighted(patch: pytest.MonkeyPatch, hold_ratio: float) -> None:
    """Divides slots 3 to 1 by the work that each class was given."""
    given: dict[int, float] = {0: 0.0, 1: 0.0}

    def rank(urgency: Urgency) -> tuple[float, float]:
        weight = 3.0 if urgency.priority == 0 else 1.0
        start = max(given[urgency.priority], min(given.values()))
        given[urgency.priority] = start + urgency.typical_latency_s / weight
        return given[urgency.priority], urgency.due_at_s

    _hold(patch, rank, hold_ratio, holds_urgent=True)


_Change = Callable[[pytest.MonkeyPatch], None]


def _holding_orders(hold_ratio: float) -> dict[str, _Change]:
    """Returns the orders that hold requests back for a part of the target."""
    orders: dict[str, _Change] = {
        "last in first out": lambda patch: _hold(
            patch, lambda _: -next(_ARRIVALS), hold_ratio, holds_urgent=True
        ),
        "earliest deadline first": lambda patch: _hold(
            patch, lambda u: u.due_at_s, hold_ratio, holds_urgent=True
        ),
        "weighted shares": lambda patch: _weighted(patch, hold_ratio),
        "reserved slots": lambda patch: _hold(
            patch, lambda _: next(_ARRIVALS), hold_ratio, reserved_count=1
        ),
        "plain hold-back": lambda patch: _hold(
            patch, lambda _: next(_ARRIVALS), hold_ratio
        ),
    }
    return {f"{name}, {hold_ratio}": order for name, order in orders.items()}


ORDERS: Final[dict[str, _Change]] = {
    "before": _before,
    "built": _built,
    "only hedges held": _only_hedges,
    "only first attempts held": _only_hold,
    **_holding_orders(0.1),
    **_holding_orders(0.5),
}


def print_orders(loads: Sequence[float], seeds: Sequence[int]) -> None:
    """Prints the figures of each order: in time, worth, served, refused."""
    for load in loads:
        for name, change in ORDERS.items():
            rows = []
            for seed in seeds:
                with pytest.MonkeyPatch.context() as patch:
                    change(patch)
                    rows.append(play(patch, load, seed)[0])
            cells = [
                " ".join(
                    f"{sum(row[route][i] for row in rows) / len(rows):.3f}"
                    for i in range(4)
                )
                for route in ("lookup", "scan")
            ]
            print(f"{load:.2f} | {name:28} | {' | '.join(cells)}", flush=True)


def play_as(change: _Change, load: float, seed: int) -> Mapping[str, Figures]:
    """Plays a load with an order."""
    with pytest.MonkeyPatch.context() as patch:
        change(patch)
        figures, nodes = play(patch, load, seed)
        # Nothing waits for ever, nor stays queued when it has ended.
        for node in nodes:
            assert node.dispatcher.order.waiting_count() == 0
        return figures


@pytest.mark.parametrize("seed", [1, 2])
def test_urgent_lookups_gain_and_scans_lose_nothing(seed: int) -> None:
    before = play_as(_before, 0.35, seed)
    after = play_as(_built, 0.35, seed)
    print(before, after)

    assert after["lookup"].worth > before["lookup"].worth + 0.01
    assert after["scan"].worth > before["scan"].worth - 0.015
    for route in ("lookup", "scan"):
        assert after[route].in_time >= before[route].in_time - 0.005


def test_no_class_is_starved_beyond_saturation() -> None:
    """Less urgent requests could wait behind urgent ones for ever."""
    before = play_as(_before, 0.7, 3)
    after = play_as(_built, 0.7, 3)
    print(before, after)

    assert after["scan"].worth >= 0.25 * before["scan"].worth
    assert after["scan"].served >= 0.25
    assert after["lookup"].served >= after["scan"].served - 0.02
    assert after["lookup"].worth >= before["lookup"].worth - 0.02


@pytest.mark.parametrize(
    ("figure_count", "routes"),
    [
        (3, (LOOKUP, SCAN)),
        (4, (LOOKUP._replace(priority=0), SCAN._replace(priority=0))),
    ],
)
def test_nothing_changes_without_priorities_or_reports_of_work(
    figure_count: int, routes: tuple[Route, ...]
) -> None:
    answers = []
    for change in (_before, _built):
        with pytest.MonkeyPatch.context() as patch:
            change(patch)
            _, nodes = play(
                patch,
                0.5,
                4,
                length_s=0.9,
                figure_count=figure_count,
                routes=routes,
            )
            answers.append([node.answers for node in nodes])

    assert answers[0] == answers[1]


if __name__ == "__main__":
    print_orders([float(v) for v in sys.argv[1].split(",")], [1, 2, 3])
