"""Lives of runs that race on one key of a store that loses answers."""

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
from mulberrybay_core.run_life import (
    Action,
    Dispatch,
    EndRun,
    ReadRecord,
    RunLife,
    SaveOutcome,
    WriteRecord,
    next_outcome_write,
)
from mulberrybay_core.run_record import StoredRecord

DEADLINE_S = 10.0
LOST = Failure(FailureKind.PLATFORM, Step.RECORD, "platform", "no answer")
INDEX = strategies.integers(0, 1_000_000)


class _Try:
    """One life, what was done for it, and what its caller was told."""

    def __init__(self, token: str) -> None:
        request = RunRequest(token, "class", "key", "", DEADLINE_S, 0.0, b"1")
        self.token = token
        self.life = RunLife(request, token, 0.0)
        self.effect_count = 0
        self.is_dispatched = False
        self.answer: RunState | None = None


class _Call(NamedTuple):
    """A call to the store, or a reply of it, that is on its way."""

    owner: _Try
    action: WriteRecord | ReadRecord | SaveOutcome
    result: Result[object, Failure] | None = None
    was_given_up: bool = False


class RunRace(RuleBasedStateMachine):
    """Tries of one key over a store whose calls come late or get lost."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.stored: StoredRecord | None = None
        self.version = 0
        self.tries: list[_Try] = []
        self.calls: list[_Call] = []
        self.replies: list[_Call] = []

    def perform(self, owner: _Try, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case WriteRecord() | ReadRecord() | SaveOutcome():
                    self.calls.append(_Call(owner, action))
                case Dispatch():
                    assert self.now_s < DEADLINE_S
                    assert not owner.is_dispatched
                    owner.is_dispatched = True
                case EndRun(result):
                    assert owner.answer is None
                    owner.answer = _state_of(result)

    @precondition(lambda self: len(self.tries) < 4)
    @rule()
    def begin(self) -> None:
        owner = _Try(f"token-{len(self.tries)}")
        self.tries.append(owner)
        self.perform(owner, owner.life.start())

    @precondition(lambda self: self.calls)
    @rule(index=INDEX, loses_answer=strategies.booleans())
    def take_effect(self, index: int, loses_answer: bool) -> None:
        call = self.calls.pop(index % len(self.calls))
        result = self.apply(call.action)
        if call.was_given_up:
            return
        if loses_answer:
            result = Error(LOST._replace(run_state=RunState.UNKNOWN))
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
        """The caller gives up; what was sent may take effect later."""
        call = self.calls[index % len(self.calls)]
        if call.was_given_up or isinstance(call.action, SaveOutcome):
            return
        state = RunState.UNKNOWN if was_sent else RunState.NOT_RUN
        self.calls.remove(call)
        if was_sent:
            self.calls.append(call._replace(was_given_up=True))
        self.replies.append(
            call._replace(result=Error(LOST._replace(run_state=state)))
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
        present = self.stored.version if self.stored else 0
        if present != action.expected_version:
            return Ok(WriteResult(WriteOutcome.CONFLICT, present))
        self.version += 1
        self.stored = StoredRecord(self.version, action.record)
        return Ok(WriteResult(WriteOutcome.WRITTEN, self.version))

    @precondition(lambda self: self.replies)
    @rule(index=INDEX)
    def deliver(self, index: int) -> None:
        reply = self.replies.pop(index % len(self.replies))
        owner, life = reply.owner, reply.owner.life
        match reply.action:
            case WriteRecord():
                self.perform(owner, life.on_written(reply.result, self.now_s))
            case ReadRecord():
                self.perform(owner, life.on_read(reply.result, self.now_s))

    @precondition(lambda self: any(t.is_dispatched for t in self.tries))
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
        dispatched = [t for t in self.tries if t.is_dispatched]
        owner = dispatched[index % len(dispatched)]
        owner.is_dispatched = False
        owner.effect_count += has_effect
        actions = owner.life.on_reply(state, b'"ok"', "server", self.now_s)
        self.perform(owner, actions)

    @precondition(lambda self: any(t.is_dispatched for t in self.tries))
    @rule(index=INDEX)
    def find_no_server(self, index: int) -> None:
        dispatched = [t for t in self.tries if t.is_dispatched]
        owner = dispatched[index % len(dispatched)]
        owner.is_dispatched = False
        self.perform(owner, owner.life.on_no_server())

    @rule(pauses=strategies.booleans())
    def pass_time(self, pauses: bool) -> None:
        """After a pause, replies may be read before the timers run."""
        self.now_s += 2.0
        if self.now_s >= DEADLINE_S and not pauses:
            for owner in self.tries:
                if owner.answer is None:
                    self.perform(owner, owner.life.on_deadline())

    @invariant()
    def at_most_one_effect(self) -> None:
        assert sum(owner.effect_count for owner in self.tries) <= 1

    @invariant()
    def answers_are_true(self) -> None:
        for owner in self.tries:
            if owner.answer is RunState.NOT_RUN:
                assert owner.effect_count == 0 and not owner.is_dispatched
            if owner.answer is RunState.RAN:
                assert sum(other.effect_count for other in self.tries) == 1

    def teardown(self) -> None:
        """Once all calls have ended, no key stays open for nothing."""
        while self.calls or self.replies:
            while self.calls:
                self.take_effect(0, False)
            while self.replies:
                self.deliver(0)
        if self.stored is None:
            return
        record = self.stored.record
        owner = next(t for t in self.tries if t.token == record.token)
        if record.state is RunState.UNKNOWN:
            assert owner.is_dispatched or owner.answer is not RunState.NOT_RUN


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
