"""What a dispatcher asks of rollouts for each attempt, and what it tells."""

import random
from typing import Any, Final

import pytest
from request_fakes import FakeProbes
from test_dispatcher import DispatchSetup

from mulberrybay_core.rollouts import NodeRollouts, RolloutTerms
from mulberrybay_edge.crash_watch import CrashWatch
from mulberrybay_edge.exchange import ExchangeOutcome, ExchangeResult
from mulberrybay_edge.rollout_traffic import RolloutTraffic
from mulberrybay_edge.sending import SendRefusal
from mulberrybay_runtime.http_exchange import HttpReply

TERMS: Final = RolloutTerms(0.1, 50.0, 5.0)
OK: Final = {"signature": "records-1"}


class _FakeRollouts(NodeRollouts):
    """Notes the calls, and allows what the test says.

    Attributes:
        calls: The name of each call that records something, with its arguments
            but the time.
        selected: The versions that attempts may use.
        forbidden: The versions that may not be sent to any more.
    """

    def __init__(self) -> None:
        super().__init__(TERMS, random.Random(1))
        self.calls: list[tuple[Any, ...]] = []
        self.selected = {"v1", "v2"}
        self.forbidden: set[str] = set()

    def select(self, service: str, servers: Any, now_s: float) -> Any:  # noqa: ANN401
        return [s for s in servers if s.entry.version in self.selected]

    def may_send(self, service: str, version: str, now_s: float) -> bool:
        return version not in self.forbidden

    def record_request(self, service: str, now_s: float) -> None:
        self.calls.append(("request", service))

    def record_sent(self, service: str, version: str, now_s: float) -> None:
        self.calls.append(("sent", service, version))

    def give_back(self, service: str, version: str) -> None:
        self.calls.append(("give back", service, version))

    def record_reply(
        self,
        service: str,
        version: str,
        route: str,
        is_bad: bool,
        latency_ratio: float,
        now_s: float,
    ) -> None:
        ratio = round(latency_ratio, 3)
        self.calls.append(("reply", service, version, route, is_bad, ratio))

    def record_abandoned(
        self,
        service: str,
        version: str,
        route: str,
        latency_ratio: float,
        now_s: float,
    ) -> None:
        ratio = round(latency_ratio, 3)
        self.calls.append(("abandoned", service, version, route, ratio))

    def record_refused(
        self,
        service: str,
        version: str,
        route: str,
        is_unexplained: bool,
        now_s: float,
    ) -> None:
        self.calls.append(("refused", service, version, route, is_unexplained))


class _Setup(DispatchSetup):
    """A dispatcher with an old server, 0, and a new one, 1."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        super().__init__(monkeypatch)
        self.rollouts = _FakeRollouts()
        self.traffic = RolloutTraffic(self.rollouts)
        context: Any = self.dispatcher._context
        self.dispatcher._context = context._replace(
            rollouts=self.traffic,
            crash_watch=CrashWatch(FakeProbes(), self.timers, context.log),
        )
        for server in self.directory.usable("records"):
            number = int(server.entry.server_id.rpartition("-")[2])
            entry = server.entry._replace(version=f"v{number + 1}")
            self.directory.put(entry, self.timers.now_s)

    def send_to(self, version: str, **spec: Any) -> Any:  # noqa: ANN401
        """Sends an attempt that may use one version only."""
        self.rollouts.selected = {version}
        return self.send(route_name="record", **spec)

    def end(self, result: ExchangeResult, after_s: float = 0.1) -> None:
        """Sends the request of the last attempt and ends it."""
        exchange, _ = self.connections.started[-1]
        assert exchange.encode(self.timers.now_s) is not None
        exchange.sent_at_s = self.timers.now_s
        self.rollouts.calls.clear()
        self.timers.now_s += after_s
        exchange.finish(result)


@pytest.fixture
def setup(monkeypatch: pytest.MonkeyPatch) -> _Setup:
    """Returns a dispatcher that takes part in rollouts."""
    return _Setup(monkeypatch)


def _reply(status: int, headers: dict[str, str]) -> ExchangeResult:
    reply = HttpReply(status, headers, b"", True)
    return ExchangeResult(ExchangeOutcome.REPLY, reply)


# The typical latency of the route is 0.2 s, until a reply changes it.
@pytest.mark.parametrize(
    ("result", "expected"),
    [
        (_reply(200, OK), ("reply", "records", "v2", "record", False)),
        (_reply(500, {}), ("reply", "records", "v2", "record", True)),
        (_reply(200, {}), ("reply", "records", "v2", "record", True)),
        (
            ExchangeResult(ExchangeOutcome.LOST),
            ("reply", "records", "v2", "record", True),
        ),
        (_reply(421, {}), ("refused", "records", "v2", "record", False)),
        (
            _reply(503, {"not-run": "1"}),
            ("refused", "records", "v2", "record", False),
        ),
        (
            _reply(503, {"not-run": "1", "load": "2,4,2"}),
            ("refused", "records", "v2", "record", False),
        ),
        (
            _reply(503, {"not-run": "1", "load": "1,0,2", "retry-after": "1"}),
            ("refused", "records", "v2", "record", False),
        ),
        (
            _reply(503, {"not-run": "1", "load": "1,0,2", "leaving": "1"}),
            ("refused", "records", "v2", "record", False),
        ),
        (
            _reply(503, {"not-run": "1", "load": "1,0,2"}),
            ("refused", "records", "v2", "record", True),
        ),
    ],
)
def test_only_replies_of_the_version_are_evidence(
    setup: _Setup, result: ExchangeResult, expected: tuple[Any, ...]
) -> None:
    """Guards against a full server, or another one at its address, that counts."""
    setup.send_to("v2")
    setup.end(result)
    requested, ended = setup.rollouts.calls
    assert requested == ("request", "records")
    assert ended[: len(expected)] == expected


def test_attempt_that_reaches_no_server_is_given_back(setup: _Setup) -> None:
    setup.send_to("v2")
    setup.connections.started[-1][0].finish(
        ExchangeResult(ExchangeOutcome.NOT_CONNECTED)
    )
    assert setup.rollouts.calls == [
        ("sent", "records", "v2"),
        ("give back", "records", "v2"),
    ]


@pytest.mark.parametrize("is_sent", [False, True])
def test_cancelled_attempt_counts_with_its_age_once_it_is_sent(
    setup: _Setup, is_sent: bool
) -> None:
    """Guards against slow replies that hedges hide from the evidence."""
    attempt = setup.send_to("v2")
    if is_sent:
        setup.connections.started[-1][0].sent_at_s = setup.timers.now_s
    setup.rollouts.calls.clear()
    setup.timers.now_s += 0.6
    attempt.cancel()
    last = setup.rollouts.calls[-1]
    assert last[0] == ("abandoned" if is_sent else "give back")
    if is_sent:
        assert last[-1] > 1


def test_reply_of_a_cold_server_tells_no_latency(setup: _Setup) -> None:
    for server in setup.directory.usable("records"):
        server.cold_until_s = setup.timers.now_s + 5
    setup.send_to("v2")
    setup.end(_reply(200, OK))
    assert setup.rollouts.calls[-1][-1] == 0.0


def test_time_to_open_a_connection_is_no_latency_of_the_version(
    setup: _Setup,
) -> None:
    """Guards against new servers that look slow since connections are new."""
    for wait_s in (0.0, 0.5):
        setup.send_to("v2")
        setup.timers.now_s += wait_s
        setup.end(_reply(200, OK), after_s=0.02)
        assert setup.rollouts.calls[-1][-1] == pytest.approx(1.0)


def test_latencies_are_relative_to_the_same_one_during_a_rollout(
    setup: _Setup,
) -> None:
    """Guards against a version that looks slow as the route's samples grow."""
    ratios = []
    for _ in range(40):
        setup.send_to("v2")
        setup.end(_reply(200, OK), after_s=0.01)
        ratios.append(setup.rollouts.calls[-1][-1])
    assert {*ratios} == {1.0}
    setup.send_to("v2")
    setup.end(_reply(200, OK), after_s=0.03)
    assert setup.rollouts.calls[-1][-1] == pytest.approx(3.0)


def test_request_counts_once_whatever_is_sent_for_it(setup: _Setup) -> None:
    """Guards against retries that raise the bound of the new version."""
    setup.send_to("v1", is_retry=True)
    setup.end(_reply(500, {}))
    assert ("request", "records") not in setup.rollouts.calls


def test_version_rolled_back_while_a_connection_opens_gets_nothing(
    setup: _Setup,
) -> None:
    setup.send_to("v2")
    setup.rollouts.forbidden = {"v2"}
    exchange, _ = setup.connections.started[-1]
    assert exchange.encode(setup.timers.now_s) is None
    exchange.finish(ExchangeResult(ExchangeOutcome.NOT_SENT))
    kinds = [call[0] for call in setup.rollouts.calls]
    assert kinds.count("sent") == kinds.count("give back")


def test_old_server_is_used_in_the_promote_step_if_no_new_one_can_be(
    setup: _Setup,
) -> None:
    new = next(
        s for s in setup.directory.usable("records") if s.entry.version == "v2"
    )
    setup.directory.pause(new, setup.timers.now_s + 5)
    assert setup.send_to("v2") is SendRefusal.PAUSED
    setup.traffic.promote("records", "v2")
    assert setup.send_to("v2").server_id != new.entry.server_id
    setup.rollouts.forbidden = {"v1"}
    assert setup.send_to("v2") is SendRefusal.PAUSED


@pytest.mark.parametrize(("promoted", "version"), [(False, "v1"), (True, "v2")])
def test_retry_goes_to_an_old_server_in_the_canary_step(
    setup: _Setup, promoted: bool, version: str
) -> None:
    """Guards against requests that fail as all their attempts are the canary."""
    setup.traffic.begin("records", "v2")
    if promoted:
        setup.traffic.promote("records", "v2")
        setup.rollouts.selected = {"v2"}
    for _ in range(20):
        server_id = setup.send(is_retry=True).server_id
        assert server_id == ("records-0" if version == "v1" else "records-1")


def test_leaving_server_is_used_if_no_other_version_may_be(
    setup: _Setup,
) -> None:
    """Guards against a service whose only staying servers are rolled back."""
    old = setup.directory.usable("records")[0]
    setup.directory._leaving_service_s = 5.0
    setup.directory.announce_leaving(old, setup.timers.now_s)
    setup.rollouts.selected = {"v1"}
    setup.rollouts.forbidden = {"v2"}
    assert setup.send().server_id == old.entry.server_id


def test_service_is_paused_until_a_server_of_a_usable_version_accepts(
    setup: _Setup,
) -> None:
    """Guards against requests that wait for servers that are rolled back."""
    old = setup.directory.usable("records")[0]
    paused_until_s = setup.timers.now_s + 5
    setup.directory.pause(old, paused_until_s)
    setup.rollouts.forbidden = {"v2"}
    assert setup.dispatcher.available_at_s("records") == paused_until_s
    setup.rollouts.forbidden = {"v1"}
    assert setup.dispatcher.available_at_s("records") == setup.timers.now_s
