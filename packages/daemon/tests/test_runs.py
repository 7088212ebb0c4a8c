"""How a run finds a backend server while holders change.

Servers briefly have no holder while a node stops or starts. A run must not fail
for that reason while it has time left, nor wait if another server has a holder.
"""

import random
from typing import Any

from expression import Error, Ok, Result

from mulberrybay_core.addresses import Address
from mulberrybay_core.attempts import (
    AttemptBatch,
    AttemptOutcome,
    AttemptReply,
    AttemptReplyHandler,
)
from mulberrybay_core.errors import Failure, FailureKind, RunState, Step
from mulberrybay_core.fleet import BackendServer, Fleet
from mulberrybay_core.platform_messages import WriteOutcome, WriteResult
from mulberrybay_core.queries import RunAnswer, RunRequest
from mulberrybay_core.refusals import RefusalReason
from mulberrybay_core.replica_choice import LeastExpectedWait
from mulberrybay_core.server_waits import ServerWaits
from mulberrybay_core.write_budget import RunSettings
from mulberrybay_daemon.runs import RunCoordinator
from mulberrybay_runtime.clock import read_clock_s
from mulberrybay_runtime.timers import Timers
from mulberrybay_testing.http_caller import make_key

SERVERS = tuple(
    BackendServer(
        f"server-{number}",
        "d1",
        Address("127.0.0.1", number),
        "route-planner",
        2,
        10,
        "live",
    )
    for number in (1, 2, 3)
)
DEADLINE_S = 0.3


class FakeStore:
    """Accepts every write."""

    is_failing = False

    def write(self, *arguments: Any) -> None:  # noqa: ANN401
        arguments[-1](Ok(WriteResult(WriteOutcome.WRITTEN, 1)))


class RejectingStore:
    """Rejects every write, before it is known to be failing."""

    is_failing = False

    def write(self, *arguments: Any) -> None:  # noqa: ANN401
        arguments[-1](
            Error(
                Failure(
                    FailureKind.PLATFORM,
                    Step.RECORD,
                    "platform",
                    "unavailable",
                    run_state=RunState.NOT_RUN,
                )
            )
        )


class PermissiveGate:
    """Allows new work at every server."""

    def may_use(self, server: BackendServer, now_s: float) -> bool:
        del server, now_s
        return True


class FakeTransport:
    """Replies that the first attempts have no holder; later ones succeed."""

    def __init__(self, unheld_count: int) -> None:
        self._unheld_count = unheld_count
        self.request_ids: list[tuple[str, int]] = []

    def send(self, batch: AttemptBatch, reply: AttemptReplyHandler) -> None:
        attempt = batch.attempts[0]
        self.request_ids.append((batch.query_id, attempt.attempt_id))
        answer = AttemptReply(
            attempt.attempt_id,
            attempt.server_id,
            AttemptOutcome.NOT_HOLDER,
            RunState.NOT_RUN,
        )
        if len(self.request_ids) > self._unheld_count:
            answer = answer._replace(
                outcome=AttemptOutcome.OK, run_state=RunState.RAN, body=b"1"
            )
        reply(answer)


class RunCase:
    """One run and its results."""

    def __init__(self, unheld_count: int, store: Any = None) -> None:  # noqa: ANN401
        self.timers = Timers()
        self.transport: Any = FakeTransport(unheld_count)
        gate: Any = PermissiveGate()
        self.runs = runs = RunCoordinator(
            "process",
            RunSettings(),
            gate,
            self.transport,
            store or FakeStore(),
            self.timers,
            LeastExpectedWait(random.Random(0), ServerWaits()),
        )
        runs.set_fleet(Fleet((), SERVERS))
        self.results: list[Result[RunAnswer, Failure]] = []
        now_s = read_clock_s()
        self.request = RunRequest(
            request_id="r",
            class_name="route-planner",
            failure_domain="",
            deadline_at_s=now_s + DEADLINE_S,
            received_at_s=now_s,
            body=b"1",
            idempotency_key=make_key(),
        )
        runs.submit(self.request, self.results.append)

    def fire_timers(self) -> None:
        """Fires the timers that are due before the deadline."""
        self.timers.run_due(self.request.deadline_at_s - 0.01)


def test_run_waits_for_a_server_that_is_held_again() -> None:
    case = RunCase(unheld_count=5)
    assert case.results == []
    case.fire_timers()
    assert [result.is_ok() for result in case.results] == [True]
    assert len(set(case.transport.request_ids)) == 6


def test_run_that_finds_a_holder_at_another_server_does_not_wait() -> None:
    case = RunCase(unheld_count=2)
    assert [result.is_ok() for result in case.results] == [True]


def test_run_without_any_holder_is_refused_before_its_deadline() -> None:
    case = RunCase(unheld_count=10**9)
    while not case.results and read_clock_s() < case.request.deadline_at_s:
        case.timers.run_due(read_clock_s())
    [result] = case.results
    assert result.error.kind is FailureKind.NO_REPLICA
    assert result.error.run_state is RunState.NOT_RUN


def test_run_whose_record_the_platform_rejects_is_counted_as_refused() -> None:
    case = RunCase(unheld_count=0, store=RejectingStore())
    [result] = case.results
    assert result.error.run_state is RunState.NOT_RUN
    assert case.runs.refusal_counts == {RefusalReason.PLATFORM_LOST: 1}
