"""Operators' changes when calls to the store fail or arrive late."""

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
from mulberrybay_daemon.change_handler import ChangeHandler
from mulberrybay_runtime.timers import Timers

FIRST = EMPTY_CONFIGURATION._replace(revision=7, change_id="first")
CHANGE = ChangeRequest(
    "mine", "amina", None, SetDomainState("d1", False), timeout_s=0.5
)


def make_failure(run_state: RunState) -> Failure:
    return Failure(
        FailureKind.PLATFORM, Step.RECORD, "platform", "", 1.0, run_state
    )


class FakeStore:
    """An object store whose calls succeed or fail as a script says."""

    def __init__(self, script: str) -> None:
        """Parses the script.

        Args:
            script: The outcome of each call in order; those after a bar are
                repeated without end.
        """
        first, _, rest = script.partition("|")
        last = itertools.cycle(rest.split() or ["ok"])
        self._script = itertools.chain(first.split(), last)
        self.objects: dict[tuple[str, str], StoredObject] = {}
        self.writes: list[tuple[str, str]] = []
        self._late_writes: list[Callable[[], WriteResult]] = []
        self.apply_write(
            "configuration", "current", encode_configuration(FIRST), 0
        )

    def apply_write(
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
            reply(Error(make_failure(RunState.NOT_RUN)))
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
            reply(Ok(self.apply_write(kind, name, value, expected)))
            return
        for late_write in self._late_writes:
            late_write()
        match next(self._script):
            case "ok":
                reply(Ok(self.apply_write(kind, name, value, expected)))
            case "lost_answer":
                self.apply_write(kind, name, value, expected)
                reply(Error(make_failure(RunState.UNKNOWN)))
            case "late":
                self._late_writes.append(
                    lambda: self.apply_write(kind, name, value, expected)
                )
                reply(Error(make_failure(RunState.UNKNOWN)))
            case "lost_request":
                reply(Error(make_failure(RunState.UNKNOWN)))
            case _:
                reply(Error(make_failure(RunState.NOT_RUN)))


class FakeConfiguration:
    """Records the configuration of the highest revision."""

    current: Configuration = EMPTY_CONFIGURATION

    def apply_if_newer(self, configuration: Configuration) -> None:
        if configuration.revision > self.current.revision:
            self.current = configuration


def submit(
    script: str, *, has_lease: bool = True, in_force: int = 0
) -> tuple[Result[ChangeAccepted, ChangeRefused], FakeStore, FakeConfiguration]:
    store, configuration, timers = (
        FakeStore(script),
        FakeConfiguration(),
        Timers(),
    )
    configuration.current = EMPTY_CONFIGURATION._replace(revision=in_force)
    handler = ChangeHandler(store, timers, configuration, lambda: has_lease)  # type: ignore[arg-type]
    vm = EntryVm("node-1", "d1", Address("127.0.0.1", 1), "live")
    handler.set_fleet(Fleet((vm,), ()))
    results: list[Any] = []
    handler.submit(CHANGE, results.append)
    while not results:
        timers.run_due(math.inf)
    assert len(results) == 1
    return results[0], store, configuration


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
def test_change_is_accepted_once_despite_failed_calls(script: str) -> None:
    """Guards against a change that is lost or takes effect twice.

    Requests or answers of the store get lost, or a write takes effect late.
    Each change must lead to exactly one new revision.
    """
    result, store, configuration = submit(script)
    assert result.ok == ChangeAccepted("mine", 8, was_repeat=False)
    stored = store.objects["configuration", "current"]
    assert (stored.version, stored.value["revision"]) == (2, 8)
    assert configuration.current.revision == 8
    # The audit entry of the replaced revision was stored first.
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
def test_result_distinguishes_not_accepted_from_unknown(
    script: str,
    has_lease: bool,
    in_force: int,
    kind: FailureKind,
    run_state: RunState,
) -> None:
    """Guards against a change reported as not accepted that may take effect.

    The run state is UNKNOWN only if the answer to a write was lost and the
    outcome could not be read back.
    """
    result, store, configuration = submit(
        script, has_lease=has_lease, in_force=in_force
    )
    assert result.error.failure.kind is kind
    assert result.error.failure.run_state is run_state
    assert result.error.failure.retry_after_s == 1.0
    assert store.objects["configuration", "current"].version == 1
    assert configuration.current.revision <= max(in_force, 7)
