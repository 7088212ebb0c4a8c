"""Gathered answers of a node that is busy with replies, on a played clock."""

import heapq
import itertools
import random
from typing import Final

import pytest
from request_fakes import NAMES, FakeAttempt, FakeProbes, FakeSender

from mulberrybay_core.caller_messages import CallerAnswer, CallerRequest
from mulberrybay_core.overload.answer_reserve import (
    MIN_RESERVE_S,
    AnswerReserve,
)
from mulberrybay_core.route_history import RouteHistory
from mulberrybay_core.routing import Route, RouteKind
from mulberrybay_edge.crash_watch import CrashWatch
from mulberrybay_edge.decision_log import DecisionLog
from mulberrybay_edge.gather_handler import GatherHandler
from mulberrybay_edge.request_context import (
    HandlerContext,
    RequestCounts,
    RequestJob,
)
from mulberrybay_edge.sending import (
    AttemptSpec,
    RequestTemplate,
    ResultHandler,
    SendRefusal,
)
from mulberrybay_runtime import timers

SHARDS: Final = tuple(f"s{number}" for number in range(90))
# Processor time of a node: a reply, an attempt, and an answer.
REPLY_S: Final = 0.0002
SEND_S: Final = 0.0002
ANSWER_S: Final = 0.001
LOOKUP_S: Final = 0.012
URGENT: Final = Route(
    "urgent",
    "a.example",
    "/",
    RouteKind.IDEMPOTENT,
    timeout_s=2.0,
    target_latency_s=0.087,
    max_server_count=2,
    split=(),
    shards=SHARDS,
    top_hit_count=10,
    min_coverage=0.5,
)


class _FixedReserve(AnswerReserve):
    """The constant that was used before."""

    def reserve_s(
        self, shard_count: int, target_latency_s: float, now_s: float
    ) -> float:
        return MIN_RESERVE_S


class _SlowSender(FakeSender):
    """Takes processor time for each attempt."""

    def __init__(self, node: "_BusyNode") -> None:
        super().__init__(node.clock)
        self._node = node
        self.has_retry_budget = False

    def send(
        self, spec: AttemptSpec, on_result: ResultHandler
    ) -> FakeAttempt | SendRefusal:
        self._node.now_s += SEND_S
        attempt = super().send(spec, on_result)
        if isinstance(attempt, FakeAttempt):
            self._node.reply_to(attempt)
        return attempt


class _BusyNode:
    """Reads all replies that are ready, then runs the timers that are due.

    Each step takes processor time, in which further replies become ready.
    """

    def __init__(self, reserve: AnswerReserve) -> None:
        self.now_s = 0.0
        self.reserve = reserve
        self.timers = timers.Timers()
        self._random = random.Random(5)
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, object]] = []
        log = DecisionLog(self.clock)
        self._context = HandlerContext(
            _SlowSender(self),
            self.timers,
            NAMES,
            log,
            RequestCounts(),
            CrashWatch(FakeProbes(), self.timers, log),
            0.2,
            self.clock,
            reserve,
        )
        self._history = RouteHistory(URGENT.target_latency_s)
        # When each answer left, relative to its target.
        self.margins_s: list[float] = []
        self.missing_count = 0
        # The share of callers that look up addresses, and what the node knows.
        self.lookup_share = 0.0
        self.known_lookup_share = 0.0

    def clock(self) -> float:
        return self.now_s

    def _push(self, at_s: float, event: object) -> None:
        heapq.heappush(self._events, (at_s, next(self._numbers), event))

    def play(self, query_period_s: float, until_s: float) -> None:
        """Plays queries at random times until a time."""
        at_s = self.now_s
        while at_s < until_s:
            at_s += self._random.expovariate(1 / query_period_s)
            self._push(at_s, None)
        while self._events and self.now_s < until_s:
            due_s = self.timers.next_due_s()
            times_s = [self._events[0][0], *([due_s] if due_s else [])]
            self.now_s = max(self.now_s, min(times_s))
            self._read_ready()
            self.timers.run_due(self.now_s)

    def _read_ready(self) -> None:
        ready_until_s, ready = self.now_s, []
        while self._events and self._events[0][0] <= ready_until_s:
            ready.append(heapq.heappop(self._events))
        for came_at_s, _, event in ready:
            self.timers.run_prompt()
            if event is None:
                self._start(came_at_s)
            elif not event.is_finished:
                self.now_s += REPLY_S
                event.succeed(b"", str(next(self._numbers)))

    def _start(self, came_at_s: float) -> None:
        request_id = f"id-{next(self._numbers)}"
        waited_s = self.now_s - came_at_s
        request = CallerRequest(
            "GET", "/x", "/x", "a.example", (), b"", request_id, self.now_s,
            None, waited_s,
        )  # fmt: skip

        def on_answer(answer: CallerAnswer) -> None:
            self.now_s += ANSWER_S
            took_s = self.now_s - came_at_s + looked_up_s
            self.margins_s.append(URGENT.target_latency_s - took_s)
            self.missing_count += int(dict(answer.headers).get("Missing", 0))

        timing = self.reserve.timing(
            len(SHARDS), URGENT.target_latency_s, self.now_s
        )
        looked_up_s = 0.0
        if self.lookup_share:
            timing = timing._replace(
                lookup_s=LOOKUP_S, lookup_share=self.known_lookup_share
            )
            looks_up = self._random.random() < self.lookup_share
            looked_up_s = LOOKUP_S if looks_up else 0.0
        job = RequestJob(
            request,
            URGENT,
            self._history,
            RequestTemplate(request, NAMES),
            on_answer,
            timing,
        )
        GatherHandler(self._context, job).start()

    def reply_to(self, attempt: FakeAttempt) -> None:
        delay_s = 0.01 + self._random.expovariate(1 / 0.03)
        self._push(self.now_s + delay_s, attempt)

    def in_time_ratio(self) -> float:
        return sum(margin_s >= 0 for margin_s in self.margins_s) / len(
            self.margins_s
        )

    def missing_ratio(self) -> float:
        return self.missing_count / len(self.margins_s) / len(SHARDS)

    def current_reserve_s(self) -> float:
        return self.reserve.reserve_s(
            len(SHARDS), URGENT.target_latency_s, self.now_s
        )


def play(
    node: _BusyNode, monkeypatch: pytest.MonkeyPatch, period_s: float
) -> None:
    """Plays 30 s of queries."""
    monkeypatch.setattr(timers, "read_clock_s", node.clock)
    node.play(period_s, node.now_s + 30.0)


def test_busy_node_answers_in_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """Answers that wait behind replies of other queries leave too late."""
    before = _BusyNode(_FixedReserve())
    reserved, prompt = _BusyNode(AnswerReserve()), _BusyNode(AnswerReserve())
    for node in (before, reserved):
        monkeypatch.setattr(node.timers, "run_prompt", lambda: None)

    for node in (before, reserved, prompt):
        play(node, monkeypatch, 0.12)

    assert before.in_time_ratio() < 0.65
    assert reserved.in_time_ratio() > before.in_time_ratio() + 0.15
    assert 0.006 < reserved.current_reserve_s() < 0.014
    # With timers that run between reads, no shard is left out for it.
    assert prompt.in_time_ratio() > before.in_time_ratio() + 0.2
    assert prompt.missing_ratio() < before.missing_ratio() + 0.01


def test_reserve_of_a_calm_node_returns_to_its_lower_bound(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An answer that leaves early for no reason lacks shards."""
    node = _BusyNode(AnswerReserve())
    with monkeypatch.context() as patch:
        patch.setattr(node.timers, "run_prompt", lambda: None)
        play(node, monkeypatch, 0.06)
    assert node.current_reserve_s() > 2 * MIN_RESERVE_S

    play(node, monkeypatch, 1.0)

    assert node.current_reserve_s() < MIN_RESERVE_S + 1.2 * ANSWER_S


def test_callers_that_look_up_addresses_get_answers_in_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Callers count the lookup, so answers that fill the target come late."""
    before, after = _BusyNode(AnswerReserve()), _BusyNode(AnswerReserve())
    after.known_lookup_share = 0.5
    for node in (before, after):
        node.lookup_share = 0.5
        play(node, monkeypatch, 0.12)
    assert after.in_time_ratio() > before.in_time_ratio() + 0.2
    assert after.missing_ratio() < before.missing_ratio() + 0.1
