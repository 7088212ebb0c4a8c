"""Load reports with a figure for work: reading, learning and placement."""

import copy
import heapq
import itertools
import random
from collections.abc import Callable
from typing import Final

import pytest

from mulberrybay_core.addresses import Address
from mulberrybay_core.load_report import LoadReport
from mulberrybay_core.overload.load_forecast import (
    AGE_BOUNDS_S,
    LoadForecast,
    LoadPrediction,
)
from mulberrybay_core.placement import (
    PlacementQuery,
    ServerState,
    choose_server,
    placement_cost,
)
from mulberrybay_core.server_directory import KnownServer, ServerEntry

TYPICAL_S: Final = 0.013
WORK_S: Final = 0.01
SLOT_COUNT: Final = 2


def make_server(server_id: str) -> KnownServer:
    address = Address("10.0.0.1", 80)
    entry = ServerEntry(
        server_id, "search", address, "domain", SLOT_COUNT, False, 0.0, 1
    )
    return KnownServer(entry, 0.0)


def make_query(
    now_s: float, forecast: LoadForecast | None, typical_s: float = TYPICAL_S
) -> PlacementQuery:
    return PlacementQuery(now_s, typical_s, "domain", forecast)


@pytest.mark.parametrize(
    ("text", "report"),
    [
        ("1, 0,2", LoadReport(1, 0, 2)),
        ("1,0,2,150", LoadReport(1, 0, 2, 150.0)),
        ("1,0,2, 99.5 , 7, later", LoadReport(1, 0, 2, 99.5)),
        ("1,0,2,0", LoadReport(1, 0, 2)),
        ("1,0,2,fast", None),
        ("1,0,2,99," + 256 * "9", None),
        ("1,0,2,-5", None),
        ("1,0", None),
    ],
)
def test_further_figures_do_not_make_a_report_unreadable(
    text: str, report: LoadReport | None
) -> None:
    assert LoadReport.from_header(text) == report


def _cost_of_three_figures(state: ServerState, now_s: float) -> float:
    """The cost before reports of work were used."""
    load = len(state.in_flight) + state.other_nodes_load(now_s)
    queue_cost = max(0.0, load + 1 - SLOT_COUNT) / SLOT_COUNT
    slot_use_cost = 0.3 * min(1.0, load / SLOT_COUNT)
    cost = state.relative_latency(now_s) * (1 + slot_use_cost + queue_cost)
    if state.is_stalled(now_s, TYPICAL_S):
        cost += 4.0
    return cost / (1 - min(state.failure_ratio(now_s), 0.95))


def test_placement_without_a_fourth_figure_decides_as_before() -> None:
    """Other deployments must not notice that the figure can be read."""
    source, forecast = random.Random(3), LoadForecast()
    for _ in range(500):
        forecast.observe(LoadPrediction(0.01, 1.0, 0.0), source.random())
    for _ in range(300):
        candidates, costs, now_s = [], [], 10.0
        for number in range(3):
            state = ServerState()
            for key in range(source.randrange(4)):
                state.in_flight[key] = now_s - 0.2 * source.random()
            if source.random() < 0.7:
                counts = source.randrange(3), source.randrange(9), SLOT_COUNT
                state.record_load(LoadReport(*counts), now_s - source.random())
            state.record_sent(source.random())
            state.record_success(4 * source.random(), now_s - source.random())
            candidates.append((make_server(f"i-{number}"), state))
            costs.append(_cost_of_three_figures(state, now_s))
        query = make_query(now_s, forecast)
        assert costs == [placement_cost(*pair, query) for pair in candidates]
        before, after = copy.deepcopy(source), copy.deepcopy(source)
        jittered = [cost * (1 + 0.06 * before.random()) for cost in costs]
        best = candidates[jittered.index(min(jittered))][0]
        assert choose_server(candidates, query, after) is best
        assert before.getstate() == after.getstate()


def test_report_that_predicts_nothing_loses_its_weight_by_age() -> None:
    """A server that reports nonsense, or long ago, must not be preferred."""
    source, forecast = random.Random(4), LoadForecast()
    for _ in range(2000):
        difference = source.gauss(0.0, 0.7)
        for age_s, is_true in ((0.015, True), (0.3, False)):
            prediction = LoadPrediction(age_s, difference, 0.0)
            log_latency = (difference if is_true else 0) + source.gauss(0, 0.3)
            forecast.observe(prediction, 2.718281828**log_latency)

    weights = [forecast.weight(bound_s) for bound_s in AGE_BOUNDS_S]
    assert forecast.weight(0.015) > 0.8
    assert forecast.weight(0.3) < 0.1
    assert weights == sorted(weights, reverse=True)
    assert forecast.weight(100.0) == 0.0


@pytest.mark.parametrize(
    ("first", "second"),
    [
        (LoadReport(1, 0, 2, 100.0), LoadReport(1, 0, 2, 300.0)),
        (LoadReport(2, 1, 2, 100.0), LoadReport(2, 9, 2, 100.0)),
        (LoadReport(2, 1, 2, 100.0), LoadReport(1, 0, 2, 400.0)),
    ],
)
def test_server_with_the_shorter_expected_time_is_chosen(
    first: LoadReport, second: LoadReport
) -> None:
    """A slow machine is no better than a queue of the same time."""
    states = [ServerState(), ServerState()]
    for state, report in zip(states, (first, second), strict=True):
        state.record_sent(TYPICAL_S)
        state.record_load(report, 9.999)
    query = make_query(10.0, LoadForecast())

    costs = [placement_cost(make_server("i"), state, query) for state in states]

    assert costs[0] < costs[1]


def test_small_request_avoids_a_queue_of_large_ones() -> None:
    """Three scans ahead take far longer than an urgent look-up."""
    state = ServerState()
    for _ in range(100):
        state.record_sent(3 * TYPICAL_S)
    state.record_load(LoadReport(2, 2, 2, 100.0), 9.999)

    costs = [
        placement_cost(
            make_server("i"), state, make_query(10.0, LoadForecast(), typical_s)
        )
        for typical_s in (TYPICAL_S, 3 * TYPICAL_S)
    ]

    assert costs[0] > 1.5 * costs[1]


def test_queue_counts_before_this_node_has_sent_a_request() -> None:
    """A node that starts must not send everything to the longest queue."""
    states = [ServerState(), ServerState()]
    states[1].record_sent(TYPICAL_S)
    for state in states:
        state.record_load(LoadReport(2, 4, 2, 100.0), 9.999)
    query = make_query(10.0, LoadForecast())

    costs = [placement_cost(make_server("i"), state, query) for state in states]

    assert costs[0] == costs[1]


class _Service:
    """Nodes that share servers, whose machines are slow at times."""

    def __init__(self, node_count: int, *, reports_work: bool) -> None:
        self.now_s = 0.0
        self.latencies_s: list[float] = []
        self._reports_work = reports_work
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        # Not shared, so that both kinds of reports meet the same load.
        self._arrivals, self._choices = random.Random(1), random.Random(2)
        self._work, self._machines = random.Random(3), {}
        self._servers = [
            [make_server(f"{shard}-{replica}") for replica in range(2)]
            for shard in range(6)
        ]
        self._slowness: dict[str, float] = {}
        self._running: dict[str, int] = {}
        self._queues: dict[str, list[Callable[[LoadReport], None]]] = {}
        for server in itertools.chain(*self._servers):
            server_id = server.entry.server_id
            self._slowness[server_id] = 1.0
            self._running[server_id] = 0
            self._queues[server_id] = []
            self._machines[server_id] = random.Random(server_id)
            self._change_speed(server_id)
        self._nodes = [
            (
                LoadForecast(),
                {
                    server.entry.server_id: ServerState()
                    for server in itertools.chain(*self._servers)
                },
            )
            for _ in range(node_count)
        ]

    def _later(self, delay_s: float, event: Callable[[], None]) -> None:
        entry = (self.now_s + delay_s, next(self._numbers), event)
        heapq.heappush(self._events, entry)

    def play(self, until_s: float) -> None:
        """Plays requests that use about 0.6 of the slots."""
        self._arrive()
        while self.now_s < until_s:
            self.now_s, _, event = heapq.heappop(self._events)
            event()

    def _change_speed(self, server_id: str) -> None:
        source = self._machines[server_id]
        self._slowness[server_id] = 3.0 if source.random() < 0.3 else 1.0
        delay_s = source.expovariate(1 / 0.2)
        self._later(delay_s, lambda: self._change_speed(server_id))

    def _arrive(self) -> None:
        self._later(self._arrivals.expovariate(900), self._arrive)
        forecast, states = self._arrivals.choice(self._nodes)
        servers = self._arrivals.choice(self._servers)
        candidates = [(s, states[s.entry.server_id]) for s in servers]
        query = make_query(self.now_s, forecast)
        server = choose_server(candidates, query, self._choices)
        assert server is not None
        server_id = server.entry.server_id
        state, key, sent_at_s = (
            states[server_id], next(self._numbers), self.now_s
        )  # fmt: skip
        state.record_sent(TYPICAL_S)
        prediction = state.predict(SLOT_COUNT, query)
        state.in_flight[key] = self.now_s

        def on_reply(report: LoadReport) -> None:
            del state.in_flight[key]
            state.record_load(report, self.now_s)
            latency_s = self.now_s - sent_at_s
            state.record_success(latency_s / TYPICAL_S, self.now_s)
            if prediction is not None:
                forecast.observe(prediction, latency_s / TYPICAL_S)
            self.latencies_s.append(latency_s)

        def receive() -> None:
            self._queues[server_id].append(on_reply)
            self._run_next(server_id)

        self._later(0.001, receive)

    def _run_next(self, server_id: str) -> None:
        queue = self._queues[server_id]
        while queue and self._running[server_id] < SLOT_COUNT:
            on_reply = queue.pop(0)
            self._running[server_id] += 1
            work_s = WORK_S * self._work.uniform(0.7, 1.3)

            def finish(
                on_reply: Callable[[LoadReport], None] = on_reply,
            ) -> None:
                slowness = self._slowness[server_id]
                report = LoadReport(
                    self._running[server_id],
                    len(queue),
                    SLOT_COUNT,
                    100 * slowness if self._reports_work else None,
                )
                self._running[server_id] -= 1
                self._run_next(server_id)
                self._later(0.001, lambda: on_reply(report))

            self._later(work_s * self._slowness[server_id], finish)


@pytest.mark.parametrize("node_count", [3, 30])
def test_reports_of_work_shorten_latencies_and_cause_no_herds(
    node_count: int,
) -> None:
    """Many nodes that see the same idle server at once would fill its queue."""
    before = _Service(node_count, reports_work=False)
    after = _Service(node_count, reports_work=True)

    for service in (before, after):
        service.play(20.0)

    means_s = [sum(s.latencies_s) / len(s.latencies_s) for s in (before, after)]
    late_s = [
        sorted(s.latencies_s)[int(0.99 * len(s.latencies_s))]
        for s in (before, after)
    ]
    assert means_s[1] < 0.97 * means_s[0]
    assert late_s[1] < 1.05 * late_s[0]
