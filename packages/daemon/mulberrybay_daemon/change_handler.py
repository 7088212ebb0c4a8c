"""Applies operators' configuration changes through the platform's store.

A change is accepted once its conditional write to the configuration object is
confirmed. If the answer to a write is lost, the object is read back and the
write is retried under the same condition. It takes effect at most once, since
a successful write changes the object's version. A change without an expected
revision is applied again to a newer revision that others have written.
"""

import time
from collections.abc import Callable
from typing import Final, Protocol

from expression import Error, Ok, Result

from mulberrybay_core.audit import make_audit_entry
from mulberrybay_core.configuration import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    EMPTY_CONFIGURATION,
    Configuration,
)
from mulberrybay_core.configuration_change import (
    ChangeRequest,
    SetDomainState,
    SetServerState,
    find_change,
    make_successor,
)
from mulberrybay_core.documents import (
    decode_configuration,
    encode_configuration,
)
from mulberrybay_core.errors import Failure, FailureKind, RunState, Step
from mulberrybay_core.fleet import Fleet
from mulberrybay_core.operator_messages import (
    AuditReply,
    ChangeAccepted,
    ChangeRefused,
    ChangeReply,
)
from mulberrybay_core.platform_messages import (
    PlatformStore,
    StoredObject,
    WriteOutcome,
    WriteResult,
)
from mulberrybay_daemon.audit_log import AuditLog
from mulberrybay_runtime.backoff import Backoff
from mulberrybay_runtime.clock import read_clock_s
from mulberrybay_runtime.timers import Timers

CHANGE_RETRY_AFTER_S: Final = 1.0


class CurrentConfiguration(Protocol):
    """The configuration in force at this node."""

    @property
    def current(self) -> Configuration:
        """The configuration in force."""

    def apply_if_newer(self, configuration: Configuration) -> None:
        """Applies a configuration if its revision is above the current one."""


class _PendingChange:
    """One change in progress."""

    def __init__(self, request: ChangeRequest, reply: ChangeReply) -> None:
        self.request = request
        self.reply: ChangeReply | None = reply
        self.retry_until_s = read_clock_s() + request.timeout_s
        self.backoff = Backoff(max_delay_s=0.5)
        # The condition of a write that is not confirmed: it can take effect
        # only while the object has this version.
        self.unconfirmed_version: int | None = None
        self.newest_revision = 0

    def finish(self, result: Result[ChangeAccepted, ChangeRefused]) -> None:
        """Replies with the result; later calls have no effect."""
        reply = self.reply
        self.reply = None
        if reply is not None:
            reply(result)


class ChangeHandler:
    """Handles the changes that operators sent to this node."""

    def __init__(
        self,
        store: PlatformStore,
        timers: Timers,
        configuration: CurrentConfiguration,
        has_lease: Callable[[], bool],
    ) -> None:
        self._store = store
        self._timers = timers
        self._configuration = configuration
        self._has_lease = has_lease
        self._audit = AuditLog(store)
        self.fleet = Fleet((), ())
        self.accepted_count = 0
        self.refused_count = 0
        self.unknown_count = 0

    def set_fleet(self, fleet: Fleet) -> None:
        """Updates the list of VMs, against which names are checked."""
        self.fleet = fleet

    def submit(self, request: ChangeRequest, reply: ChangeReply) -> None:
        """Applies a change; calls `reply` exactly once with the result."""
        change = _PendingChange(request, reply)
        detail = self._check_names(request)
        if detail:
            failure = Failure(
                FailureKind.NOT_FOUND, Step.CONFIGURATION, "operator", detail
            )
            self._refuse(change, failure)
            return
        self._read(change)

    def _check_names(self, request: ChangeRequest) -> str:
        """Returns an error text for an unknown name, or an empty string.

        A change with a mistyped name would be accepted without any effect.
        """
        current = self._configuration.current
        match request.edit:
            case SetDomainState(name, _):
                known = {vm.failure_domain for vm in self.fleet.servers}
                known |= {vm.failure_domain for vm in self.fleet.entry_vms}
                if name not in known | current.out_domains:
                    names = ", ".join(sorted(known))
                    return f"no failure domain {name!r}; known: {names}"
            case SetServerState(server_id, _):
                is_out = server_id in current.out_servers
                if self.fleet.server(server_id) is None and not is_out:
                    return f"no backend server {server_id!r}"
            case _:
                pass
        return ""

    def _read(self, change: _PendingChange) -> None:
        if not self._has_lease():
            failure = Failure(
                FailureKind.NO_LEASE,
                Step.CONFIGURATION,
                "",
                "this node has no lease; ask another",
                retry_after_s=CHANGE_RETRY_AFTER_S,
            )
            self._refuse(change, failure)
            return
        self._store.read(
            CONFIGURATION_KIND,
            CONFIGURATION_NAME,
            lambda result: self._on_read(change, result),
        )

    def _on_read(
        self,
        change: _PendingChange,
        result: Result[StoredObject | None, Failure],
    ) -> None:
        match result:
            case Result(tag="ok", ok=None):
                self._apply(change, EMPTY_CONFIGURATION, 0)
            case Result(tag="ok", ok=StoredObject() as stored):
                match decode_configuration(stored.value):
                    case Result(tag="ok", ok=configuration):
                        self._apply(change, configuration, stored.version)
                    case Result(error=detail):
                        self._refuse(change, _platform_failure(detail))
            case Result(error=failure):
                self._retry(change, failure)

    def _apply(
        self, change: _PendingChange, stored: Configuration, version: int
    ) -> None:
        request = change.request
        change.newest_revision = stored.revision
        was_unconfirmed = change.unconfirmed_version is not None
        if version != change.unconfirmed_version:
            # The version has changed: no earlier write can take effect now.
            change.unconfirmed_version = None
        revision = find_change(stored, request.change_id)
        if revision is not None:
            self._configuration.apply_if_newer(stored)
            self._accept(change, revision, was_repeat=not was_unconfirmed)
            return
        if stored.revision < self._configuration.current.revision:
            detail = (
                f"the store answered revision {stored.revision}, older than "
                f"{self._configuration.current.revision} in force here"
            )
            self._retry(change, _platform_failure(detail))
            return
        self._configuration.apply_if_newer(stored)
        expected = request.expected_revision
        if expected is not None and expected != stored.revision:
            detail = f"revision {stored.revision} is newer than {expected}"
            self._refuse(
                change,
                Failure(FailureKind.CONFLICT, Step.CONFIGURATION, "", detail),
            )
            return
        successor = make_successor(stored, request, time.time())
        self._archive(change, stored, successor, version)

    def _archive(
        self,
        change: _PendingChange,
        stored: Configuration,
        successor: Configuration,
        version: int,
    ) -> None:
        """Stores the newest audit entry separately before it is replaced.

        The entry is part of the configuration object, which the next write
        replaces.
        """

        def on_archived(result: Result[None, Failure]) -> None:
            match result:
                case Result(tag="ok"):
                    self._write(change, successor, version)
                case Result(error=failure):
                    self._retry(change, failure)

        if stored.revision == 0:
            on_archived(Ok(None))
        else:
            self._audit.archive(make_audit_entry(stored), on_archived)

    def _write(
        self, change: _PendingChange, successor: Configuration, version: int
    ) -> None:
        self._store.write(
            CONFIGURATION_KIND,
            CONFIGURATION_NAME,
            encode_configuration(successor),
            version,
            lambda result: self._on_written(change, successor, version, result),
        )

    def _on_written(
        self,
        change: _PendingChange,
        successor: Configuration,
        version: int,
        result: Result[WriteResult, Failure],
    ) -> None:
        match result:
            case Result(tag="ok", ok=write):
                if write.outcome is WriteOutcome.WRITTEN:
                    self._configuration.apply_if_newer(successor)
                    self._accept(change, successor.revision, was_repeat=False)
                else:
                    failure = Failure(
                        FailureKind.OVERLOADED,
                        Step.CONFIGURATION,
                        "",
                        "other changes were accepted first each time",
                        retry_after_s=CHANGE_RETRY_AFTER_S,
                    )
                    self._retry(change, failure)
            case Result(error=failure):
                if failure.run_state is RunState.UNKNOWN:
                    change.unconfirmed_version = version
                self._retry(change, failure)

    def _retry(self, change: _PendingChange, failure: Failure) -> None:
        delay_s = change.backoff.next_delay_s()
        if read_clock_s() + delay_s >= change.retry_until_s:
            self._refuse(change, failure)
            return
        self._timers.call_later(delay_s, lambda: self._read(change))

    def _accept(
        self, change: _PendingChange, revision: int, was_repeat: bool
    ) -> None:
        self.accepted_count += 1
        change.finish(
            Ok(ChangeAccepted(change.request.change_id, revision, was_repeat))
        )

    def _refuse(self, change: _PendingChange, failure: Failure) -> None:
        run_state = RunState.NOT_RUN
        if change.unconfirmed_version is not None:
            self.unknown_count += 1
            run_state = RunState.UNKNOWN
        else:
            self.refused_count += 1
        failure = failure._replace(step=Step.CONFIGURATION, run_state=run_state)
        change.finish(Error(ChangeRefused(failure, change.newest_revision)))

    def read_audit(self, entry_count: int, reply: AuditReply) -> None:
        """Reads the newest audit entries, newest first."""
        self._audit.read_newest(self._configuration.current, entry_count, reply)


def _platform_failure(detail: str) -> Failure:
    return Failure(
        FailureKind.PLATFORM,
        Step.CONFIGURATION,
        "platform",
        detail,
        retry_after_s=CHANGE_RETRY_AFTER_S,
    )
