"""Changes against a store whose answers are lost, late or missing."""

import itertools
import math
from collections.abc import Callable
from typing import Any

import pytest
from expression import Error, Ok, Result

from mulberrybay_core.addresses import Address
from mulberrybay_core.configuration import EMPTY_CONFIGURATION, Configuration
from mulberrybay_core.configuration_change import ChangeRequest, SetDomainState
from mulberrybay_core.documents import encode_configuration
from mulberrybay_core.errors import Failure, FailureKind, RunState, Step
from mulberrybay_core.fleet import EntryVm, Fleet
from mulberrybay_core.operator_messages import ChangeAccepted, ChangeRefused
from mulberrybay_core.platform_messages import (
    StoredObject,
    WriteOutcome,
    WriteResult,
)
from mulberrybay_daemon.operator_desk import OperatorDesk
from mulberrybay_runtime.timers import Timers

FIRST = EMPTY_CONFIGURATION._replace(revision=7, change_id="first")
CHANGE = ChangeRequest(
    "mine", "amina", None, SetDomainState("d1", False), limit_s=0.5
)


def failure(run_state: RunState) -> Failure:
    return Failure(
        FailureKind.PLATFORM, Step.RECORD, "platform", "", 1.0, run_state
    )


class FakeStore:
    """An object store that takes its faults from a script."""

    def __init__(self, script: str) -> None:
        """Takes what happens first and, after a bar, for ever after."""
        first, _, rest = script.partition("|")
        last = itertools.cycle(rest.split() or ["ok"])
        self._script = itertools.chain(first.split(), last)
        self.objects: dict[tuple[str, str], StoredObject] = {}
        self.writes: list[tuple[str, str]] = []
        self._late: list[Callable[[], WriteResult]] = []
        self.put("configuration", "current", encode_configuration(FIRST), 0)

    def put(
        self, kind: str, name: str, value: dict[str, Any], expected: int
    ) -> WriteResult:
        current = self.objects.get((kind, name))
        version = current.version if current else 0
        if version != expected:
            return WriteResult(WriteOutcome.CONFLICT, version)
        stored = StoredObject(kind, name, version + 1, value)
        self.objects[kind, name] = stored
        self.writes.append((kind, name))
        return WriteResult(WriteOutcome.WRITTEN, version + 1)

    def read(self, kind: str, name: str, reply: Callable[..., None]) -> None:
        if next(self._script) == "fail":
            reply(Error(failure(RunState.NOT_RUN)))
        else:
            reply(Ok(self.objects.get((kind, name))))

    def write(
        self,
        kind: str,
        name: str,
        value: dict[str, Any],
        expected: int,
        reply: Callable[..., None],
    ) -> None:
        if kind == "audit":
            reply(Ok(self.put(kind, name, value, expected)))
            return
        for late in self._late:
            late()
        match next(self._script):
            case "ok":
                reply(Ok(self.put(kind, name, value, expected)))
            case "lost_answer":
                self.put(kind, name, value, expected)
                reply(Error(failure(RunState.UNKNOWN)))
            case "late":
                self._late.append(lambda: self.put(kind, name, value, expected))
                reply(Error(failure(RunState.UNKNOWN)))
            case "lost_request":
                reply(Error(failure(RunState.UNKNOWN)))
            case _:
                reply(Error(failure(RunState.NOT_RUN)))


class Owner:
    """Keeps what was offered."""

    current: Configuration = EMPTY_CONFIGURATION

    def apply_if_newer(self, configuration: Configuration) -> None:
        if configuration.revision > self.current.revision:
            self.current = configuration


def submit(
    script: str, *, has_lease: bool = True, in_force: int = 0
) -> tuple[Result[ChangeAccepted, ChangeRefused], FakeStore, Owner]:
    store, owner, timers = FakeStore(script), Owner(), Timers()
    owner.current = EMPTY_CONFIGURATION._replace(revision=in_force)
    desk = OperatorDesk(store, timers, owner, lambda: has_lease)  # type: ignore[arg-type]
    vm = EntryVm("node-1", "d1", Address("127.0.0.1", 1), "live")
    desk.set_fleet(Fleet((vm,), ()))
    results: list[Any] = []
    desk.submit(CHANGE, results.append)
    while not results:
        timers.run_due(math.inf)
    assert len(results) == 1
    return results[0], store, owner


@pytest.mark.parametrize(
    "script",
    [
        "ok ok",
        "fail ok fail ok ok",
        "ok lost_answer ok",
        "ok lost_answer fail fail ok",
        "ok lost_request ok ok",
        "ok late ok ok",
        "ok late ok lost_answer ok",
    ],
)
def test_accepted_once_whatever_is_lost(script: str) -> None:
    result, store, owner = submit(script)
    assert result.ok == ChangeAccepted("mine", 8, was_repeat=False)
    stored = store.objects["configuration", "current"]
    assert (stored.version, stored.value["revision"]) == (2, 8)
    assert owner.current.revision == 8
    # The entry of the revision that was replaced had been kept before.
    assert store.writes[1:] == [("audit", "7"), ("configuration", "current")]


@pytest.mark.parametrize(
    ("script", "has_lease", "in_force", "kind", "run_state"),
    [
        ("ok", False, 0, FailureKind.NO_LEASE, RunState.NOT_RUN),
        ("| fail", True, 0, FailureKind.PLATFORM, RunState.NOT_RUN),
        ("| ok fail", True, 0, FailureKind.PLATFORM, RunState.NOT_RUN),
        ("| ok", True, 9, FailureKind.PLATFORM, RunState.NOT_RUN),
        (
            "ok lost_request | fail",
            True,
            0,
            FailureKind.PLATFORM,
            RunState.UNKNOWN,
        ),
    ],
)
def test_not_accepted_and_not_known_are_told_apart(
    script: str,
    has_lease: bool,
    in_force: int,
    kind: FailureKind,
    run_state: RunState,
) -> None:
    result, store, owner = submit(
        script, has_lease=has_lease, in_force=in_force
    )
    assert result.error.failure.kind is kind
    assert result.error.failure.run_state is run_state
    assert result.error.failure.retry_after_s == 1.0
    assert store.objects["configuration", "current"].version == 1
    assert owner.current.revision <= max(in_force, 7)
