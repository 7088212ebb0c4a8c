"""How requests are handled while servers crash under them."""

from typing import Any

import pytest
from request_fakes import NAMES, FakeAttempt, RequestHarness

from mulberrybay_core.addresses import Address
from mulberrybay_core.fatal_requests import (
    CONDEMNED_COUNT,
    MAX_STORED_COUNT,
    TRIAL_DELAYS_S,
)
from mulberrybay_core.request_identity import IDENTITY_BYTES
from mulberrybay_core.routing import RouteKind
from mulberrybay_core.server_directory import ServerEntry
from mulberrybay_edge import crash_watch
from mulberrybay_edge.forward_handler import ForwardHandler
from mulberrybay_edge.gather_handler import GatherHandler
from mulberrybay_edge.request_context import RequestHandler, RequestJob
from mulberrybay_edge.sending import AttemptOutcome, RequestTemplate
from mulberrybay_edge.server_connections import ProbeOutcome

SHARDS = tuple(f"shard-{number}" for number in range(10))


class Play:
    """A node to which the same request comes, at servers that crash.

    Attributes:
        harness: The request and its answers.
    """

    def __init__(
        self,
        monkeypatch: pytest.MonkeyPatch,
        **options: Any,  # noqa: ANN401
    ) -> None:
        self.harness = RequestHarness(**options)
        monkeypatch.setattr(
            crash_watch, "read_clock_s", self.harness.timers.clock
        )
        self.watch = self.harness.context.crash_watch
        self.job = self.harness.job

    @property
    def attempts(self) -> list[FakeAttempt]:
        return self.harness.sender.attempts

    @property
    def open_attempts(self) -> list[FakeAttempt]:
        return [one for one in self.attempts if not one.is_finished]

    def begin(self) -> RequestHandler:
        """Begins the request, as if it had come again."""
        harness = self.harness
        job = self.job._replace(
            request=self.job.request._replace(
                received_at_s=harness.timers.now_s
            )
        )
        handler: RequestHandler
        if job.route.shards:
            handler = GatherHandler(harness.context, job)
        else:
            handler = ForwardHandler(harness.context, job, "one")
        handler.begin()
        return handler

    def lose(self, attempt: FakeAttempt) -> None:
        """Ends an attempt without a reply; the server is being checked."""
        entry = ServerEntry(
            f"{attempt.server_id}-{len(self.attempts)}",
            attempt.spec.service,
            Address("10.0.0.1", 80),
            "domain",
            2,
            False,
            0.0,
            1,
        )
        self.watch.check(entry, attempt.spec.template, attempt.sent_at_s)
        attempt.end(AttemptOutcome.LOST)

    def crash(self, attempt: FakeAttempt) -> None:
        """Lets the server of an attempt crash after some time."""
        self.harness.timers.advance(0.03)
        self.lose(attempt)
        self.harness.connections.end_all(ProbeOutcome.REFUSED)

    def condemn(self) -> None:
        """Condemns the request, by attempts of other handlers."""
        for _ in range(CONDEMNED_COUNT):
            self.begin()
            self.crash(self.attempts[-1])
            self.harness.timers.advance(3.0)
        assert self.watch.requests.is_condemned(
            self.harness.job.template.identity
        )
        self.harness.answers.clear()
        self.attempts.clear()


def test_query_crashes_no_further_replica_while_no_shard_has_replied(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    play = Play(monkeypatch, shards=SHARDS)
    play.begin()
    assert len(play.attempts) == len(SHARDS)
    play.crash(play.attempts[0])
    play.crash(play.attempts[1])
    play.harness.timers.advance(0.3)
    assert len(play.attempts) == len(SHARDS)

    play.crash(play.attempts[2])

    assert [one.is_cancelled for one in play.attempts[3:]] == [True] * 7
    play.harness.timers.advance(0.04)
    (trial,) = play.open_attempts
    play.crash(trial)
    play.harness.timers.advance(0.04)
    (trial,) = play.open_attempts
    play.crash(trial)
    assert play.harness.answer.status == 502
    assert not play.open_attempts
    assert len(play.attempts) == len(SHARDS) + 2


def test_query_that_lost_servers_to_another_cause_is_served_whole(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    play = Play(monkeypatch, shards=SHARDS)
    play.begin()
    play.harness.timers.advance(0.03)
    for attempt in play.attempts[:4]:
        play.lose(attempt)
    play.harness.connections.end_all(ProbeOutcome.REFUSED)
    play.harness.timers.advance(0.04)
    (trial,) = play.open_attempts
    play.watch.record_reply(trial.spec.template.identity)
    trial.succeed()
    for attempt in play.open_attempts:
        attempt.succeed()
    assert play.harness.answer.status == 200
    assert play.harness.header("Missing") == "0"


@pytest.mark.parametrize(
    "outcome", [ProbeOutcome.ACCEPTED, ProbeOutcome.UNKNOWN]
)
def test_reset_links_to_servers_that_run_condemn_no_request(
    monkeypatch: pytest.MonkeyPatch, outcome: ProbeOutcome
) -> None:
    play = Play(monkeypatch)
    for _ in range(4):
        play.begin()
        play.harness.timers.advance(0.02)
        play.lose(play.open_attempts[0])
        play.harness.connections.end_all(outcome)
        play.open_attempts[0].succeed()
    assert [answer.status for answer in play.harness.answers] == [200] * 4


@pytest.mark.parametrize(
    "options", [{}, {"shards": SHARDS}, {"kind": RouteKind.NON_IDEMPOTENT}]
)
def test_condemned_request_is_refused_at_once_and_told_when_to_return(
    monkeypatch: pytest.MonkeyPatch, options: dict[str, Any]
) -> None:
    play = Play(monkeypatch, **options)
    play.condemn()
    play.begin()
    assert play.attempts == []
    assert play.harness.answer.status == 503
    retry_after_s = float(play.harness.header("Retry-After") or 0)
    assert 1 < retry_after_s <= TRIAL_DELAYS_S[0]


@pytest.mark.parametrize("is_sent", [True, False])
def test_request_on_its_way_when_it_is_condemned_is_taken_back(
    monkeypatch: pytest.MonkeyPatch, is_sent: bool
) -> None:
    play = Play(monkeypatch)
    sender = play.harness.sender
    sender.is_connecting = not is_sent
    play.begin()
    (attempt,) = play.attempts
    for _ in range(CONDEMNED_COUNT):
        now_s = play.harness.timers.now_s
        other = FakeAttempt(attempt.spec, "other", lambda _: None, now_s)
        play.crash(other)
        sender.attempts.append(other)
    assert attempt.is_cancelled
    assert play.harness.answer.status == (502 if is_sent else 503)


def test_request_that_waits_for_room_when_it_is_condemned_is_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    play = Play(monkeypatch)
    play.condemn()
    crashes = play.watch.requests.reports(play.harness.timers.now_s)
    late = Play(monkeypatch)
    late.harness.sender.full_services.add("one")
    late.begin()
    assert late.harness.answers == []

    late.watch.merge(crashes)

    assert late.harness.answer.status == 503


def test_only_one_node_tries_a_condemned_request_one_at_a_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    play = Play(monkeypatch)
    play.condemn()
    play.harness.timers.advance(TRIAL_DELAYS_S[0])
    play.begin()
    assert play.harness.answers.pop().status == 503

    play.watch.find_owned = iter
    play.begin()
    play.begin()

    assert play.harness.answers.pop().status == 503
    (trial,) = play.attempts
    play.watch.record_reply(trial.spec.template.identity)
    trial.succeed()
    assert play.harness.answers.pop().status == 200
    play.begin()
    assert len(play.attempts) == 2


def test_second_request_that_lost_a_server_waits_for_the_check(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    play = Play(monkeypatch)
    play.begin()
    play.crash(play.attempts[0])
    play.harness.timers.advance(0.02)
    second = play.attempts[1]
    play.harness.timers.advance(0.03)
    play.lose(second)
    play.harness.timers.advance(0.05)
    assert len(play.attempts) == 2

    play.harness.connections.end_all(ProbeOutcome.ACCEPTED)
    play.harness.timers.advance(0.02)

    assert len(play.attempts) == 3


@pytest.mark.parametrize("options", [{}, {"shards": SHARDS}])
def test_silent_server_does_not_keep_a_suspected_request_from_others(
    monkeypatch: pytest.MonkeyPatch, options: dict[str, Any]
) -> None:
    play = Play(monkeypatch, **options)
    play.begin()
    for attempt in [*play.attempts]:
        play.lose(attempt)
    play.harness.connections.end_all(ProbeOutcome.REFUSED)
    play.harness.timers.advance(0.04)
    (silent,) = play.open_attempts
    play.harness.timers.advance(0.3)
    assert play.open_attempts == [silent]

    play.harness.timers.advance(0.5)

    assert len(play.open_attempts) == 2


def test_trial_without_a_result_is_not_repeated_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    play = Play(monkeypatch)
    play.condemn()
    play.watch.find_owned = iter
    play.harness.timers.advance(TRIAL_DELAYS_S[0])
    play.begin().cancel()
    assert len(play.attempts) == 1

    play.begin()

    assert len(play.attempts) == 1
    assert play.harness.answer.status == 503


@pytest.mark.parametrize(
    "options", [{}, {"shards": SHARDS}, {"kind": RouteKind.NON_IDEMPOTENT}]
)
def test_copies_of_a_suspected_request_do_not_each_crash_a_server(
    monkeypatch: pytest.MonkeyPatch, options: dict[str, Any]
) -> None:
    play = Play(monkeypatch, **options)
    sender = play.harness.sender
    sender.replica_names = "abcdefgh"
    play.begin()
    for attempt in [*play.attempts]:
        play.lose(attempt)
    play.harness.connections.end_all(ProbeOutcome.REFUSED)
    play.harness.timers.advance(3.0)
    play.attempts.clear()

    for _ in range(5):
        play.begin()
    (trial,) = play.attempts
    play.crash(trial)
    play.harness.timers.advance(0.04)
    (trial,) = play.open_attempts
    play.crash(trial)

    assert len(play.attempts) == CONDEMNED_COUNT - 1
    assert play.open_attempts == []
    assert play.harness.timers.now_s < 103.5


def test_copies_of_an_innocent_request_are_all_served_after_one_reply(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    play = Play(monkeypatch)
    play.harness.sender.replica_names = "abcdefgh"
    play.begin()
    play.crash(play.attempts[0])
    for _ in range(3):
        play.begin()
    play.harness.timers.advance(0.04)
    (trial,) = play.open_attempts
    play.watch.record_reply(trial.spec.template.identity)
    trial.succeed()
    play.harness.timers.advance(0.04)
    for attempt in play.open_attempts:
        attempt.succeed()
    assert [answer.status for answer in play.harness.answers] == [200] * 4


def test_owners_are_looked_up_once_for_all_condemned_requests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    watch = Play(monkeypatch).watch
    identities = [bytes([number]) * IDENTITY_BYTES for number in range(40)]
    for number, identity in enumerate(identities):
        keys = [3 * number, 3 * number + 1, 3 * number + 2]
        watch.restore({identity.hex(): keys})
    lookups: list[list[bytes]] = []
    watch.find_owned = lambda asked: lookups.append([*asked]) or asked[::2]  # type: ignore

    stored = watch.stored([identities[1].hex()])

    assert lookups == [identities]
    expected = [*identities[:2], *identities[2 : 2 * MAX_STORED_COUNT : 2]]
    assert [*stored] == [
        identity.hex() for identity in expected[:MAX_STORED_COUNT]
    ]


class Followed:
    """A request in progress that records whether it was condemned."""

    def __init__(self) -> None:
        self.is_condemned = False

    def on_crash(self) -> None:
        """Ignores crashes."""

    def on_condemned(self) -> None:
        """Records it."""
        self.is_condemned = True


def other_job(play: Play) -> RequestJob:
    """Returns the job of another caller's request."""
    job = play.harness.job
    headers = (*job.request.headers, ("Authorization", "other"))
    request = job.request._replace(headers=headers)
    return job._replace(
        request=request, template=RequestTemplate(request, NAMES)
    )


def test_requests_that_one_server_lost_are_judged_together(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    play = Play(monkeypatch)
    innocent = other_job(play).template
    followed = Followed()
    assert play.watch.admit(innocent.identity, followed)
    for _ in range(CONDEMNED_COUNT):
        play.harness.timers.advance(0.1)
        play.begin()
        fatal = play.open_attempts[-1]
        beside = FakeAttempt(
            fatal.spec._replace(template=innocent),
            fatal.server_id,
            lambda _: None,
            fatal.sent_at_s,
        )
        play.harness.timers.advance(0.03)
        play.lose(beside)
        play.lose(fatal)
        play.harness.connections.end_all(ProbeOutcome.REFUSED)

    assert play.watch.requests.crash_count(innocent.identity) == CONDEMNED_COUNT
    assert not followed.is_condemned


@pytest.mark.parametrize("options", [{}, {"shards": SHARDS}])
def test_requests_that_met_at_a_crash_are_not_tried_at_the_same_server(
    monkeypatch: pytest.MonkeyPatch, options: dict[str, Any]
) -> None:
    play = Play(monkeypatch, **options)
    play.begin()
    play.job = other_job(play)
    play.begin()
    for attempt in [*play.attempts]:
        play.lose(attempt)
    play.harness.sender.replica_names = "ab"
    play.harness.connections.end_all(ProbeOutcome.REFUSED)

    play.harness.timers.advance(0.04)

    first, second = play.open_attempts
    assert first.server_id != second.server_id
