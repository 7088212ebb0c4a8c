"""Concurrent runs with the same key, over a store that loses answers."""

from typing import NamedTuple

from expression import Error, Ok, Result
from hypothesis import settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from mulberrybay_core.errors import Failure, FailureKind, RunState, Step
from mulberrybay_core.platform_messages import WriteOutcome, WriteResult
from mulberrybay_core.queries import RunAnswer, RunRequest
from mulberrybay_core.run_lifecycle import (
    Action,
    Dispatch,
    EndRun,
    ReadRecord,
    RunLifecycle,
    SaveOutcome,
    WriteRecord,
    next_outcome_write,
)
from mulberrybay_core.run_record import StoredRecord

DEADLINE_S = 10.0
UNANSWERED = Failure(FailureKind.PLATFORM, Step.RECORD, "platform", "no answer")
INDEX = strategies.integers(0, 1_000_000)


class _Run:
    """One run: its lifecycle, its effects and its answer to the caller."""

    def __init__(self, token: str) -> None:
        request = RunRequest(token, "class", "key", "", DEADLINE_S, 0.0, b"1")
        self.token = token
        self.lifecycle = RunLifecycle(request, token, 0.0)
        self.effect_count = 0
        self.is_dispatched = False
        self.reported_state: RunState | None = None


class _Call(NamedTuple):
    """A call to the store, or its reply, that is in transit."""

    run: _Run
    action: WriteRecord | ReadRecord | SaveOutcome
    result: Result[object, Failure] | None = None
    is_abandoned: bool = False


class RunRace(RuleBasedStateMachine):
    """Concurrent runs with one key over a store with late and lost calls.

    Guards against a second effect of one key, and against a false answer to a
    caller. Both could come about when a write takes effect after the run has
    ended, or when its answer is lost.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.stored: StoredRecord | None = None
        self.version = 0
        self.runs: list[_Run] = []
        self.calls: list[_Call] = []
        self.replies: list[_Call] = []

    def perform(self, run: _Run, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case WriteRecord() | ReadRecord() | SaveOutcome():
                    self.calls.append(_Call(run, action))
                case Dispatch():
                    assert self.now_s < DEADLINE_S
                    assert not run.is_dispatched
                    run.is_dispatched = True
                case EndRun(result):
                    assert run.reported_state is None
                    run.reported_state = _state_of(result)

    @precondition(lambda self: len(self.runs) < 4)
    @rule()
    def begin(self) -> None:
        run = _Run(f"token-{len(self.runs)}")
        self.runs.append(run)
        self.perform(run, run.lifecycle.start())

    @precondition(lambda self: self.calls)
    @rule(index=INDEX, loses_answer=strategies.booleans())
    def take_effect(self, index: int, loses_answer: bool) -> None:
        call = self.calls.pop(index % len(self.calls))
        result = self.apply(call.action)
        if call.is_abandoned:
            return
        if loses_answer:
            result = Error(UNANSWERED._replace(run_state=RunState.UNKNOWN))
        self.replies.append(call._replace(result=result))

    @precondition(lambda self: self.calls)
    @rule(index=INDEX, loses_answer=strategies.booleans())
    def complete(self, index: int, loses_answer: bool) -> None:
        self.take_effect(index, loses_answer)
        if self.replies:
            self.deliver(-1)

    @precondition(lambda self: self.calls)
    @rule(index=INDEX, was_sent=strategies.booleans())
    def time_out(self, index: int, was_sent: bool) -> None:
        """Abandons a call to the store; if sent, it may take effect later."""
        call = self.calls[index % len(self.calls)]
        if call.is_abandoned or isinstance(call.action, SaveOutcome):
            return
        state = RunState.UNKNOWN if was_sent else RunState.NOT_RUN
        self.calls.remove(call)
        if was_sent:
            self.calls.append(call._replace(is_abandoned=True))
        self.replies.append(
            call._replace(result=Error(UNANSWERED._replace(run_state=state)))
        )

    def apply(self, action: Action) -> Result[object, Failure]:
        if isinstance(action, SaveOutcome):
            write = next_outcome_write(action.record, self.stored)
            if write is not None:
                self.apply(write)
            return Ok(None)
        if isinstance(action, ReadRecord):
            return Ok(self.stored)
        assert isinstance(action, WriteRecord)
        current_version = self.stored.version if self.stored else 0
        if current_version != action.expected_version:
            return Ok(WriteResult(WriteOutcome.CONFLICT, current_version))
        self.version += 1
        self.stored = StoredRecord(self.version, action.record)
        return Ok(WriteResult(WriteOutcome.WRITTEN, self.version))

    @precondition(lambda self: self.replies)
    @rule(index=INDEX)
    def deliver(self, index: int) -> None:
        reply = self.replies.pop(index % len(self.replies))
        run, lifecycle = reply.run, reply.run.lifecycle
        match reply.action:
            case WriteRecord():
                self.perform(
                    run, lifecycle.on_written(reply.result, self.now_s)
                )
            case ReadRecord():
                self.perform(run, lifecycle.on_read(reply.result, self.now_s))

    @precondition(lambda self: any(run.is_dispatched for run in self.runs))
    @rule(
        index=INDEX,
        ending=strategies.sampled_from(
            [
                (RunState.RAN, True),
                (RunState.UNKNOWN, True),
                (RunState.UNKNOWN, False),
                (RunState.NOT_RUN, False),
            ]
        ),
    )
    def end_dispatch(self, index: int, ending: tuple[RunState, bool]) -> None:
        state, has_effect = ending
        dispatched = [run for run in self.runs if run.is_dispatched]
        run = dispatched[index % len(dispatched)]
        run.is_dispatched = False
        run.effect_count += has_effect
        actions = run.lifecycle.on_reply(state, b'"ok"', "server", self.now_s)
        self.perform(run, actions)

    @precondition(lambda self: any(run.is_dispatched for run in self.runs))
    @rule(index=INDEX)
    def find_no_server(self, index: int) -> None:
        dispatched = [run for run in self.runs if run.is_dispatched]
        run = dispatched[index % len(dispatched)]
        run.is_dispatched = False
        self.perform(run, run.lifecycle.on_no_server())

    @rule(pauses=strategies.booleans())
    def pass_time(self, pauses: bool) -> None:
        """Advances the clock; after a pause, replies may precede the timers."""
        self.now_s += 2.0
        if self.now_s >= DEADLINE_S and not pauses:
            for run in self.runs:
                if run.reported_state is None:
                    self.perform(run, run.lifecycle.on_deadline())

    @invariant()
    def at_most_one_effect(self) -> None:
        assert sum(run.effect_count for run in self.runs) <= 1

    @invariant()
    def answers_are_true(self) -> None:
        for run in self.runs:
            if run.reported_state is RunState.NOT_RUN:
                assert run.effect_count == 0 and not run.is_dispatched
            if run.reported_state is RunState.RAN:
                assert sum(other.effect_count for other in self.runs) == 1

    def teardown(self) -> None:
        """Checks that no key stays pending after all calls have ended.

        The exception is a run that may have been dispatched.
        """
        while self.calls or self.replies:
            while self.calls:
                self.take_effect(0, False)
            while self.replies:
                self.deliver(0)
        if self.stored is None:
            return
        record = self.stored.record
        run = next(run for run in self.runs if run.token == record.token)
        if record.state is RunState.UNKNOWN:
            assert (
                run.is_dispatched or run.reported_state is not RunState.NOT_RUN
            )


def _state_of(result: Result[RunAnswer, Failure]) -> RunState:
    match result:
        case Result(tag="ok"):
            return RunState.RAN
        case Result(error=failure):
            return failure.run_state


TestRunRace = RunRace.TestCase
TestRunRace.settings = settings(
    max_examples=300, stateful_step_count=40, deadline=None, derandomize=True
)
