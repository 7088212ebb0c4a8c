"""What a dispatcher charges, keeps and gives back for each attempt."""

from typing import Any

import pytest
from played_servers import PlayedNode, PlayedServer
from request_fakes import NAMES, FakeTimers

from mulberrybay_core.caller_messages import CallerRequest
from mulberrybay_core.route_history import RouteHistory
from mulberrybay_core.routing import Route, RouteKind, WeightedService
from mulberrybay_core.server_limit import ServerLimit
from mulberrybay_edge import dispatcher, exchange
from mulberrybay_edge.dispatcher import Dispatcher
from mulberrybay_edge.exchange import (
    Exchange,
    ExchangeOutcome,
    ExchangeResult,
)
from mulberrybay_edge.sending import (
    AttemptOutcome,
    AttemptResult,
    AttemptSpec,
    RequestTemplate,
    SendRefusal,
    TriedServers,
)
from mulberrybay_runtime.http_exchange import HttpReply

ROUTE = Route(
    "record",
    "a.example",
    "/",
    RouteKind.IDEMPOTENT,
    timeout_s=2.0,
    target_latency_s=0.2,
    max_server_count=2,
    split=(WeightedService("records", 1.0),),
)


class _Connections:
    """Keeps the exchanges that were started; the test ends them.

    Attributes:
        started: The exchanges and whether their connection is kept.
        is_open: Whether connections are open already.
    """

    def __init__(self) -> None:
        self.started: list[tuple[Exchange, bool]] = []
        self.is_open = False

    def can_start(self, server_id: str, cap_count: int) -> bool:
        return True

    def start(
        self,
        server_id: str,
        address: object,
        exchange: Exchange,
        max_idle_s: float,
        *,
        keeps_idle: bool,
    ) -> bool:
        if self.is_open and exchange.encode(0.0) is None:
            return False
        self.started.append((exchange, keeps_idle))
        return True


class Setup:
    """A dispatcher of one service with two servers, unless told otherwise."""

    def __init__(
        self, monkeypatch: pytest.MonkeyPatch, server_count: int = 2
    ) -> None:
        self.timers = FakeTimers()
        for module in (dispatcher, exchange):
            monkeypatch.setattr(module, "read_clock_s", self.timers.clock)
        servers = [
            PlayedServer(self.timers, "records", number, lambda: 0.1)
            for number in range(server_count)
        ]
        node = PlayedNode(self.timers, servers, [ROUTE], 1)
        self.dispatcher: Dispatcher = node.dispatcher
        self.connections = _Connections()
        context: Any = self.dispatcher._context
        self.dispatcher._context = context._replace(
            connections=self.connections
        )
        self.budget = context.retry_budget
        self.directory = context.directory
        self.results: list[AttemptResult] = []

    def send(
        self, *, is_retry: bool = False, tried: TriedServers | None = None
    ) -> object:
        request = CallerRequest(
            "GET", "/x", "/x", "a.example", (), b"", "id", 0.0, None
        )
        spec = AttemptSpec(
            RequestTemplate(request, NAMES),
            "records",
            RouteHistory(0.2),
            self.timers.now_s + 2.0,
            tried or TriedServers(2),
            is_retry,
            is_retryable=True,
        )
        return self.dispatcher.send(spec, self.results.append)

    def available_count(self) -> float:
        return float(self.budget.available_count("records", self.timers.now_s))


def test_retry_that_reaches_no_server_is_given_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    setup = Setup(monkeypatch)
    count = setup.available_count()
    setup.send(is_retry=True)
    assert setup.available_count() == count - 1

    started, _ = setup.connections.started[0]
    started.finish(ExchangeResult(ExchangeOutcome.NOT_CONNECTED))

    assert not setup.results[0].has_arrived
    assert setup.available_count() == count


def test_retry_that_reached_a_server_stays_charged(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    setup = Setup(monkeypatch)
    count = setup.available_count()
    setup.send(is_retry=True)

    started, _ = setup.connections.started[0]
    started.finish(ExchangeResult(ExchangeOutcome.LOST))

    assert setup.available_count() == count - 1


def test_server_that_may_not_be_used_any_more_costs_no_retry(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The conditions are checked again at the moment of sending."""
    setup = Setup(monkeypatch)
    setup.connections.is_open = True
    count = setup.available_count()
    monkeypatch.setattr(setup.directory, "may_use", lambda *_: False)

    assert setup.send(is_retry=True) is SendRefusal.NOT_ALLOWED
    assert setup.available_count() == count


def test_attempt_whose_connection_is_not_open_has_not_been_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    setup = Setup(monkeypatch)
    attempt: Any = setup.send()
    assert not attempt.is_sent

    started, _ = setup.connections.started[0]
    started.sent_at_s = setup.timers.now_s
    assert attempt.is_sent


@pytest.mark.parametrize(
    ("is_advertised", "share_divisor", "keeps_idle"),
    [(True, 975.0, True), (False, 975.0, False), (False, 5.0, True)],
)
def test_node_without_a_share_of_connections_keeps_none_idle(
    monkeypatch: pytest.MonkeyPatch,
    is_advertised: bool,
    share_divisor: float,
    keeps_idle: bool,
) -> None:
    """The idle connections of many nodes would use up a server's cap."""
    setup = Setup(monkeypatch)
    setup.dispatcher.is_advertised = is_advertised
    setup.dispatcher.share_divisor = share_divisor
    setup.send()

    assert setup.connections.started[0][1] is keeps_idle


def name_limits(setup: Setup, per_s: float) -> None:
    for server in setup.directory.usable("records"):
        server.limit = ServerLimit(0.0, setup.timers.now_s)
        server.limit.name(per_s, setup.timers.now_s)


def test_attempt_that_waits_for_a_connection_keeps_to_a_limit_named_meanwhile(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    setup = Setup(monkeypatch)
    setup.send()
    started, _ = setup.connections.started[0]

    name_limits(setup, 1.0)

    assert started.encode(setup.timers.now_s) is None
    assert started.encode(setup.timers.now_s + 1.5) is not None


def test_hedges_and_retries_are_charged_to_the_limit_too(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    setup = Setup(monkeypatch)
    name_limits(setup, 1.0)
    setup.timers.advance(1.1)

    assert not isinstance(setup.send(), SendRefusal)
    assert not isinstance(setup.send(is_retry=True), SendRefusal)
    assert setup.send(is_retry=True) is SendRefusal.LIMITED


def test_attempt_that_is_cancelled_before_it_is_sent_uses_up_no_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    setup = Setup(monkeypatch)
    name_limits(setup, 1.0)
    setup.timers.advance(1.1)
    attempts: list[Any] = [setup.send(), setup.send()]
    assert setup.send() is SendRefusal.LIMITED

    attempts[0].cancel()

    assert not isinstance(setup.send(), SendRefusal)


def finish(started: Exchange, headers: dict[str, str]) -> None:
    reply = HttpReply(200, {"signature": "sig", **headers}, b"", True)
    started.finish(ExchangeResult(ExchangeOutcome.REPLY, reply))


def test_limit_holds_until_a_reply_to_a_later_request_names_none(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    setup = Setup(monkeypatch)
    server, other = setup.directory.usable("records")
    setup.directory.drop(other.entry.server_id)
    for _ in range(2):
        setup.send()
    setup.timers.advance(0.01)

    finish(setup.connections.started[0][0], {"limit": "2"})
    finish(setup.connections.started[1][0], {})
    assert server.limit.is_in_force

    setup.timers.advance(1.0)
    setup.send()
    finish(setup.connections.started[2][0], {})

    assert not server.limit.is_in_force


@pytest.mark.parametrize("headers", [{}, {"signature": ""}])
def test_success_of_a_program_that_is_no_backend_server_is_not_used(
    monkeypatch: pytest.MonkeyPatch, headers: dict[str, str]
) -> None:
    setup = Setup(monkeypatch)
    setup.send()
    started, _ = setup.connections.started[0]

    reply = HttpReply(200, headers, b"whole", True)
    started.finish(ExchangeResult(ExchangeOutcome.REPLY, reply))

    (result,) = setup.results
    assert (result.outcome, result.reply) == (AttemptOutcome.LOST, None)


def test_hedge_goes_to_the_replica_with_the_shorter_expected_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A hedge at a slow machine uses up the retry budget and comes too late."""
    setup = Setup(monkeypatch, server_count=3)
    tried = TriedServers(2)
    first: Any = setup.send(tried=tried)
    tried.record_sent(first.server_id)
    others = [
        server.entry.server_id
        for server in setup.directory.usable("records")
        if server.entry.server_id != first.server_id
    ]
    for server_id, work in zip(others, ("400", "90"), strict=True):
        reply = HttpReply(200, {"load": f"1,0,2,{work}"}, b"", True)
        state = setup.dispatcher._state(server_id)
        setup.dispatcher._record_load(state, server_id, reply, 100.0)

    hedge: Any = setup.send(is_retry=True, tried=tried)

    assert hedge.server_id == others[1]
    assert hedge.prediction is not None
    started, _ = setup.connections.started[1]
    reply = HttpReply(200, {"signature": "s"}, b"", True)
    error_ratio = setup.dispatcher.forecast.error_ratio
    started.finish(ExchangeResult(ExchangeOutcome.REPLY, reply))
    assert setup.dispatcher.forecast.error_ratio != error_ratio
