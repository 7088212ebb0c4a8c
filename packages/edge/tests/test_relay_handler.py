"""Requests that a node without backend servers hands to another node."""

import itertools
from typing import Any

import pytest
from request_fakes import RequestHarness

from mulberrybay_core.addresses import Address
from mulberrybay_core.edge_nodes import EdgeNodeInfo
from mulberrybay_core.routing import RouteKind
from mulberrybay_edge import exchange as exchange_module
from mulberrybay_edge.exchange import (
    Exchange,
    ExchangeOutcome,
    ExchangeResult,
)
from mulberrybay_edge.relay_handler import (
    CHECK_PERIOD_S,
    CUT_OFF,
    MAX_NODE_COUNT,
    RelayHandler,
    RelayTargets,
)
from mulberrybay_runtime.http_exchange import HttpReply


class _Connections:
    """Keeps the exchanges that were started, by the node's name."""

    def __init__(self) -> None:
        self.started: list[tuple[str, Exchange]] = []

    def start(
        self, name: str, address: Address, exchange: Exchange, max_idle_s: float
    ) -> bool:
        self.started.append((name, exchange))
        return True


def make_info(name: str) -> EdgeNodeInfo:
    address = Address("10.0.0.1", 80)
    return EdgeNodeInfo(name, 1, "domain", address, address)


class _Relay:
    """A started handler among nodes `a`, `b`, and so on."""

    def __init__(
        self,
        monkeypatch: pytest.MonkeyPatch,
        node_names: str = "abcde",
        kind: RouteKind = RouteKind.IDEMPOTENT,
    ) -> None:
        self.harness = RequestHarness(kind=kind)
        monkeypatch.setattr(
            exchange_module, "read_clock_s", self.harness.timers.clock
        )
        self.connections: Any = _Connections()

        def choose(tried: set[str]) -> EdgeNodeInfo | None:
            left = [name for name in node_names if name not in tried]
            return make_info(left[0]) if left else None

        self.silent_names: set[str] = set()
        self.handler = RelayHandler(
            self.harness.context,
            self.harness.job,
            RelayTargets(
                self.connections,
                choose,
                lambda name: name not in self.silent_names,
                CUT_OFF,
            ),
        )
        self.handler.start()

    def lose_node(self, name: str, *, is_sent: bool) -> None:
        """Lets a node that has the request stop to send heartbeats."""
        if is_sent:
            self.connections.started[-1][1].sent_at_s = 100.0
        self.silent_names.add(name)
        self.harness.timers.advance(CHECK_PERIOD_S)

    def finish(
        self, outcome: ExchangeOutcome, reply: HttpReply | None = None
    ) -> None:
        self.connections.started[-1][1].finish(ExchangeResult(outcome, reply))


def test_answer_of_the_other_node_is_passed_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    relay = _Relay(monkeypatch)
    headers = {"retry-after": "0.3", "connection": "close", "id": "id-1"}
    relay.finish(ExchangeOutcome.REPLY, HttpReply(503, headers, b"no", True))

    assert relay.harness.answer.status == 503
    assert relay.harness.answer.body == b"no"
    assert dict(relay.harness.answer.headers) == {
        "Id": "id-1",
        "retry-after": "0.3",
    }


def test_node_that_can_not_be_reached_is_replaced_a_few_times(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    relay = _Relay(monkeypatch)
    for _ in range(MAX_NODE_COUNT):
        assert relay.harness.answers == []
        relay.finish(ExchangeOutcome.NOT_CONNECTED)

    names = [name for name, _ in relay.connections.started]
    assert names == ["a", "b", "c"]
    assert relay.harness.answer.status == 503


def test_request_that_may_have_run_is_neither_repeated_nor_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    relay = _Relay(monkeypatch)
    relay.finish(ExchangeOutcome.LOST)

    assert len(relay.connections.started) == 1
    assert relay.harness.answer.status == 502


def test_other_node_is_told_less_time_than_the_caller_gave(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    relay = _Relay(monkeypatch)
    _, started = relay.connections.started[0]
    data = started.encode(relay.harness.timers.now_s)

    assert data is not None
    head = dict(
        line.split(": ") for line in data.decode().split("\r\n") if ": " in line
    )
    assert 1900 < int(head["Deadline"]) < 1990
    assert head["Server"] == "a"


@pytest.mark.parametrize(("is_sent", "status"), [(True, 504), (False, 503)])
def test_relayed_request_ends_at_its_deadline(
    monkeypatch: pytest.MonkeyPatch, is_sent: bool, status: int
) -> None:
    relay = _Relay(monkeypatch)
    if is_sent:
        relay.connections.started[0][1].sent_at_s = 100.0

    relay.harness.timers.advance(2.0)

    assert relay.harness.answer.status == status


@pytest.mark.parametrize(("is_sent", "status"), [(True, 502), (False, 503)])
def test_relayed_request_gets_an_answer_before_its_node_exits(
    monkeypatch: pytest.MonkeyPatch, is_sent: bool, status: int
) -> None:
    relay = _Relay(monkeypatch)
    if is_sent:
        relay.connections.started[0][1].sent_at_s = 100.0

    relay.handler.give_up()

    assert relay.harness.answer.status == status


def test_caller_that_leaves_cancels_the_relayed_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    relay = _Relay(monkeypatch)
    relay.handler.cancel()
    relay.finish(ExchangeOutcome.REPLY, HttpReply(200, {}, b"late", True))

    assert relay.harness.answers == []


@pytest.mark.parametrize(
    ("is_sent", "status"),
    list(itertools.product((True, False), (200, 413, 429, 431, 503))),
)
def test_request_at_a_node_that_stands_still_does_not_wait_for_its_deadline(
    monkeypatch: pytest.MonkeyPatch, is_sent: bool, status: int
) -> None:
    relay = _Relay(monkeypatch)
    relay.lose_node("a", is_sent=is_sent)
    relay.finish(ExchangeOutcome.REPLY, HttpReply(status, {}, b"", True))

    assert [name for name, _ in relay.connections.started] == ["a", "b"]
    may_have_run = is_sent and status != 200
    assert relay.harness.answer.status == (502 if may_have_run else status)


def test_request_at_nodes_that_all_stand_still_is_not_said_not_to_have_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    relay = _Relay(monkeypatch, "a")
    relay.lose_node("a", is_sent=True)

    assert relay.harness.answer.status == 502


def test_booking_at_a_node_that_stands_still_is_not_repeated(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    relay = _Relay(monkeypatch, kind=RouteKind.NON_IDEMPOTENT)
    relay.lose_node("a", is_sent=True)
    relay.finish(ExchangeOutcome.REPLY, HttpReply(200, {}, b"", True))

    assert [name for name, _ in relay.connections.started] == ["a"]
    assert relay.harness.answer.status == 200
