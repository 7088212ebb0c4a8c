"""API keys: who is served, and what of a key gets to backend servers."""

from typing import Any

import pytest
from request_fakes import NAMES, FakeAttempt, RequestHarness

from mulberrybay_core.caller_messages import HeaderList
from mulberrybay_core.routing import CallerLimits, RouteKind, RouteTable
from mulberrybay_core.routing import RoutingConfiguration as Configuration
from mulberrybay_core.tenants.keys import Tenant, digest_key
from mulberrybay_core.tenants.quotas import Contact, QuotaTerms
from mulberrybay_core.tenants.service_counts import (
    MAX_LABEL_COUNT,
    OTHERS_LABEL,
    TenantCounts,
)
from mulberrybay_edge.caller_service import RoutedService
from mulberrybay_edge.exchange import Exchange
from mulberrybay_edge.relay_handler import RelayTargets
from mulberrybay_edge.request_access import RequestAccess
from mulberrybay_edge.request_context import OVER_QUOTA
from mulberrybay_edge.sending import AttemptOutcome
from mulberrybay_edge.tenant_gate import TenantGate

TENANTS = (
    Tenant("red", (digest_key(b"key-1"),)),
    Tenant("blu\xe9", (digest_key(b"key-2"),)),
)
GOOD = ("Authorization", "Bearer key-1")
FORGED = ("TENANT", "blue")


class _Service:
    """A service whose configuration the test replaces."""

    def __init__(
        self,
        *,
        shards: tuple[str, ...] = (),
        kind: RouteKind = RouteKind.IDEMPOTENT,
        terms: QuotaTerms | None = None,
    ) -> None:
        self.harness = RequestHarness(shards=shards, kind=kind)
        self.gate = TenantGate(terms, self.harness.timers.clock)
        self.gate.set_contact(Contact(1.0, 1.0, is_hub=True, names=frozenset()))
        self.table: RouteTable | None = None
        self.targets: Any = None
        self.service = RoutedService(
            self.harness.context,
            NAMES,
            lambda: self.table,
            lambda _: self.targets,
            self.harness.timers.clock,
            self.gate,
        )
        self.configure(TENANTS)

    def configure(
        self, tenants: tuple[Tenant, ...] | None, *, is_public: bool = False
    ) -> None:
        route = self.harness.route._replace(is_public=is_public)
        self.table = RouteTable(
            Configuration(1, (route,), (), CallerLimits(), tenants)
        )
        self.gate.set_tenants(self.table.tenants)

    def submit(self, headers: HeaderList, **changes: Any) -> None:  # noqa: ANN401
        request = self.harness.job.request._replace(
            headers=(("Host", "a.example"), *headers),
            received_at_s=self.harness.timers.now_s,
            **changes,
        )
        self.service.submit(request, self.harness.answers.append)

    def status(self) -> int:
        return self.harness.answer.status

    def sent_lines(self) -> list[str]:
        return read_lines(self.harness.sender.attempts[0])


def read_lines(attempt: FakeAttempt) -> list[str]:
    data = attempt.spec.template.encode("server", 1.0)
    return data.decode().split("\r\n")


@pytest.mark.parametrize("shards", [(), ("one", "two")])
@pytest.mark.parametrize(
    ("headers", "is_public", "tenant_line"),
    [
        ((GOOD, FORGED), False, "Tenant: red"),
        ((GOOD, FORGED), True, "Tenant: red"),
        ((("Authorization", "Bearer key-2"),), False, "Tenant: blu\xe9"),
        ((FORGED,), True, None),
        ((("Authorization", "Bearer other"),), True, None),
        ((("Authorization", "Basic x"), FORGED), True, None),
    ],
)
def test_server_gets_the_tenants_name_and_never_a_key(
    shards: tuple[str, ...],
    headers: HeaderList,
    is_public: bool,
    tenant_line: str | None,
) -> None:
    service = _Service(shards=shards)
    service.configure(TENANTS, is_public=is_public)

    service.submit(headers)

    lines = service.sent_lines()
    named = [line for line in lines if line.lower().startswith("tenant")]
    assert named == ([tenant_line] if tenant_line else [])
    assert not [line for line in lines if "authorization" in line.lower()]
    assert not [line for line in lines if "key" in line.lower()]


@pytest.mark.parametrize(
    "headers", [(), (FORGED,), (("Authorization", "Bearer other"),)]
)
def test_unknown_key_is_refused_and_nothing_is_sent(
    headers: HeaderList,
) -> None:
    service = _Service()
    service.submit(headers)
    assert service.status() == 401
    assert service.harness.sender.attempts == []


def test_configuration_and_route_are_looked_up_before_the_key() -> None:
    service = _Service()
    service.submit((), host="b.example")
    service.table = None
    service.submit(())
    assert [answer.status for answer in service.harness.answers] == [404, 503]


def test_credentials_are_passed_on_without_tenants() -> None:
    service = _Service()
    service.configure(None)
    service.submit((GOOD, FORGED))
    assert "Authorization: Bearer key-1" in service.sent_lines()
    assert "TENANT: blue" in service.sent_lines()


@pytest.mark.parametrize(
    ("shards", "cause"),
    [
        ((), "full"),
        ((), "pause"),
        ((), "limit"),
        (("one", "two"), "full"),
        (("one", "two"), "pause"),
    ],
)
def test_key_that_is_revoked_while_its_request_waits_runs_nothing(
    shards: tuple[str, ...], cause: str
) -> None:
    service = _Service(shards=shards)
    sender, now_s = service.harness.sender, service.harness.timers.now_s
    for name in shards or ("one",):
        match cause:
            case "full":
                sender.full_services.add(name)
            case "pause":
                sender.paused_until_s[name] = now_s + 0.02
            case _:
                sender.limited_until_s[name] = now_s + 0.02
    service.submit((GOOD,))
    assert service.harness.answers == []
    service.configure(TENANTS[1:])
    sender.full_services.clear()

    service.harness.timers.advance(0.3)

    assert service.status() == 401
    assert sender.attempts == []


@pytest.mark.parametrize("shards", [(), ("one", "two")])
def test_request_that_was_sent_outlasts_its_key(
    shards: tuple[str, ...],
) -> None:
    service = _Service(shards=shards)
    service.submit((GOOD,))
    service.configure(())
    for attempt in [*service.harness.sender.attempts]:
        attempt.succeed()
    assert service.status() == 200


@pytest.mark.parametrize("shards", [(), ("one", "two")])
def test_hedge_and_retry_of_a_sent_request_keep_its_tenant_without_its_key(
    shards: tuple[str, ...],
) -> None:
    service = _Service(shards=shards)
    service.submit((GOOD, FORGED))
    attempts = service.harness.sender.attempts
    sent_count = len(attempts)
    service.configure(TENANTS[1:])

    attempts[0].end(AttemptOutcome.LOST)

    assert len(attempts) == sent_count + 1
    lines = read_lines(attempts[-1])
    assert [line for line in lines if "tenant" in line.lower()] == [
        "Tenant: red"
    ]
    assert not [line for line in lines if "authorization" in line.lower()]


def test_key_that_is_revoked_while_a_connection_is_opened_is_not_used() -> None:
    service = _Service()
    service.submit((GOOD,))
    may_start = service.harness.sender.attempts[0].spec.may_start
    assert may_start is not None
    service.configure(())
    assert not may_start()


def test_key_that_moved_to_another_tenant_names_the_new_one() -> None:
    service = _Service()
    service.harness.sender.full_services.add("one")
    service.submit((GOOD,))
    service.configure((Tenant("green", TENANTS[0].key_digests),))
    service.harness.sender.full_services.clear()
    service.harness.timers.advance(0.03)
    assert "Tenant: green" in service.sent_lines()


def test_node_that_gets_a_relayed_request_is_sent_its_key() -> None:
    service = _Service()
    started: list[Exchange] = []

    class _Connections:
        def start(self, *arguments: Any, **_: Any) -> bool:  # noqa: ANN401
            started.append(arguments[2])
            return True

    info: Any = type("Info", (), {"name": "n", "caller_address": None})()
    connections: Any = _Connections()
    service.targets = RelayTargets(
        connections, lambda _: info, lambda _: True, ""
    )
    service.submit((GOOD,))
    data = started[0].encode(service.harness.timers.now_s)
    assert data is not None
    assert b"Authorization: Bearer key-1\r\n" in data
    service.submit((), is_relayed=False)
    assert service.status() == 401


# Of one request in any window, and one more as the slack.
ONE = QuotaTerms(5.0, 0.0, 1.0)
LIMITED = (TENANTS[0]._replace(rate_per_s=0.2),)


class _LimitedService(_Service):
    """A service whose tenant may send two requests in a window."""

    def __init__(self, **options: Any) -> None:  # noqa: ANN401
        super().__init__(terms=ONE, **options)
        self.configure(LIMITED)
        self.harness.timers.advance(5.0)

    def use_up(self) -> None:
        """Sends requests until one is refused, and forgets their answers."""
        for _ in range(4):
            self.submit((GOOD,))
        assert 429 in [answer.status for answer in self.harness.answers]
        self.harness.answers.clear()


@pytest.mark.parametrize("shards", [(), ("one", "two")])
def test_request_beyond_the_quota_is_refused_with_a_time_and_not_run(
    shards: tuple[str, ...],
) -> None:
    service = _LimitedService(shards=shards)
    service.use_up()
    sent_count = len(service.harness.sender.attempts)
    assert 1 <= sent_count / max(1, len(shards)) <= 2

    service.submit((GOOD,))

    assert service.status() == 429
    assert 0 < float(service.harness.header("Retry-After") or 0) <= 5.0
    assert len(service.harness.sender.attempts) == sent_count
    service.harness.answers.clear()
    service.harness.timers.advance(6.0)
    service.submit((GOOD,))
    assert len(service.harness.sender.attempts) > sent_count


@pytest.mark.parametrize("shards", [(), ("one", "two")])
@pytest.mark.parametrize("end", ["full", "not run", "not sent"])
def test_request_that_did_not_run_does_not_use_the_quota(
    shards: tuple[str, ...], end: str
) -> None:
    service = _LimitedService(shards=shards)
    sender = service.harness.sender
    sender.is_connecting = end == "not sent"
    for _ in range(5):
        sender.full_services.update(shards or ("one",) if end == "full" else ())
        service.submit((GOOD,))
        for _ in range(100):
            for attempt in [a for a in sender.attempts if not a.is_finished]:
                attempt.end(
                    AttemptOutcome.NOT_RUN, has_arrived=end == "not run"
                )
            service.harness.timers.advance(0.02)
    statuses = {answer.status for answer in service.harness.answers}
    assert statuses == {503}
    service.harness.answers.clear()
    sender.full_services.clear()
    service.submit((GOOD,))
    assert service.harness.answers == []


def test_retries_and_hedges_do_not_use_the_quota_again() -> None:
    service = _LimitedService()
    service.use_up()
    attempt = service.harness.sender.attempts[-1]
    attempt.end(AttemptOutcome.LOST)
    retry = service.harness.sender.attempts[-1]
    assert retry is not attempt
    retry.succeed()
    assert service.status() == 200


def test_request_that_is_served_stays_counted() -> None:
    service = _LimitedService()
    service.use_up()
    for attempt in [*service.harness.sender.attempts]:
        attempt.succeed()
    service.harness.answers.clear()
    service.submit((GOOD,))
    assert service.status() == 429


def test_refusals_and_served_requests_are_counted_by_tenant() -> None:
    service = _LimitedService()
    service.use_up()
    for attempt in [*service.harness.sender.attempts]:
        attempt.succeed()
    counts = service.harness.context.counts.tenants
    served_count = len(service.harness.answers)
    refused_count = counts.refused["red", OVER_QUOTA]
    assert served_count + refused_count == 4
    for _ in range(4):
        service.submit((GOOD,))
    assert counts.worst_served_ratio() == served_count / 8


def test_only_a_few_tenants_have_a_label_in_the_metrics() -> None:
    counts = TenantCounts()
    for number in range(100):
        counts.record_refusal(f"tenant-{number}", "reason")
    assert len(counts.refused) == MAX_LABEL_COUNT + 1
    assert counts.refused[OTHERS_LABEL, "reason"] == 100 - MAX_LABEL_COUNT


@pytest.mark.parametrize(
    ("tenant_priority", "priority"), [(None, 3), (0, 0), (7, 7)]
)
def test_priority_of_the_tenant_goes_before_that_of_the_route(
    tenant_priority: int | None, priority: int
) -> None:
    service = _Service()
    tenant = TENANTS[0]._replace(priority=tenant_priority)
    service.configure((tenant,))
    assert service.table is not None
    job = service.harness.job
    request = job.request._replace(headers=(GOOD,))
    access = RequestAccess(
        request, job.route, service.table, lambda: None, service.gate
    )
    route = job.route._replace(priority=3)
    assert job._replace(route=route, access=access).priority == priority


@pytest.mark.parametrize("shards", [(), ("one", "two")])
def test_request_that_waits_for_a_server_leaves_the_quota_to_others(
    shards: tuple[str, ...],
) -> None:
    service = _LimitedService(shards=shards)
    service.harness.sender.full_services.update(shards or ("one",))
    service.submit((GOOD,))
    quotas, timers = service.gate.quotas, service.harness.timers
    assert quotas is not None
    for _ in range(2):
        assert service.harness.answers == []
        assert quotas.uses(timers.now_s)[0].used_ratio == 0
        timers.advance(0.015)
    service.harness.sender.full_services.clear()
    timers.advance(0.015)
    assert quotas.uses(timers.now_s)[0].used_ratio > 0


@pytest.mark.parametrize("shards", [(), ("one", "two")])
def test_request_whose_start_fails_leaves_no_handler_and_no_charge(
    monkeypatch: pytest.MonkeyPatch, shards: tuple[str, ...]
) -> None:
    service = _LimitedService(shards=shards)

    def fail(*_: object) -> None:
        raise OSError("no address")

    with monkeypatch.context() as patch:
        patch.setattr(service.harness.sender, "send", fail)
        for _ in range(4):
            with pytest.raises(OSError, match="no address"):
                service.submit((GOOD,))
    assert service.service._in_progress == set()
    service.submit((GOOD,))
    assert service.harness.answers == []


def test_request_that_ends_unsent_is_given_back_beside_one_that_waits() -> None:
    """The other one is counted and given back later than the first."""
    service = _LimitedService()
    sender, timers = service.harness.sender, service.harness.timers
    sender.is_connecting = True
    service.submit((GOOD,))
    sender.full_services.add("one")
    timers.advance(0.3)
    service.submit((GOOD,))
    quotas = service.gate.quotas
    assert quotas is not None
    assert quotas.uses(timers.now_s)[0].used_ratio > 0

    sender.attempts[0].end(AttemptOutcome.NOT_RUN, has_arrived=False)

    assert quotas.uses(timers.now_s)[0].used_ratio == 0


def test_request_that_runs_stays_counted_for_a_window_beside_one_given_back() -> (
    None
):
    """A request that was counted before is given back after it was sent."""
    service = _LimitedService()
    gate, timers = service.gate, service.harness.timers
    quotas = gate.quotas
    assert quotas is not None
    taken_at_s = gate.take("red")
    assert taken_at_s is not None
    timers.advance(3.0)
    assert gate.take("red") is not None
    timers.advance(0.5)
    gate.give_back("red", taken_at_s)

    timers.advance(4.0)

    assert quotas.uses(timers.now_s)[0].used_ratio > 0
