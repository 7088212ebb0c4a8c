"""Notices servers that crash under requests, and keeps such requests from others.

A connection that ends without a reply doesn't show a crash: servers that run also
break off replies, and links are cut. After each such end the node opens a
connection to the server. If it is refused, the server has ended.

`FatalRequests` judges what this node and the others have seen.
"""

import itertools
from collections.abc import (
    Callable,
    Collection,
    Iterable,
    Mapping,
    Sequence,
)
from typing import Final, NamedTuple, Protocol

from mulberrybay_core.addresses import Address
from mulberrybay_core.fatal_requests import (
    MAX_STORED_COUNT,
    TOLD_AFTER_S,
    Crash,
    FatalRequests,
    SuspectReport,
    server_key,
)
from mulberrybay_core.server_directory import ServerEntry
from mulberrybay_core.suspect_turns import SuspectTurns
from mulberrybay_edge.decision_log import DecisionLog
from mulberrybay_edge.sending import RequestTemplate
from mulberrybay_edge.server_connections import ProbeHandler, ProbeOutcome
from mulberrybay_runtime.clock import read_clock_s
from mulberrybay_runtime.timers import Timer

# Changes within this time are told to the other nodes together.
TELL_DELAY_S: Final = 0.02
# While many servers crash, heartbeats of changes are this far apart.
TELL_PERIOD_S: Final = 0.1


class CrashTimers(Protocol):
    """The timers that a crash watch uses."""

    def call_at(self, due_s: float, callback: Callable[[], None]) -> Timer:
        """Schedules a callback at a time of `read_clock_s`."""


class ServerProber(Protocol):
    """Opens connections to servers; see `ServerConnections`."""

    def probe(
        self, server_id: str, address: Address, on_end: ProbeHandler
    ) -> None:
        """Opens a connection, closes it and reports the outcome."""


class RequestInProgress(Protocol):
    """A request that is being handled."""

    def on_crash(self) -> None:
        """Handles that a server crashed under a request of its identity."""

    def on_condemned(self) -> None:
        """Ends the request: no server may get it any more."""


class _LostRequest(NamedTuple):
    """A request to which a server gave no reply.

    Attributes:
        template: The request.
        entry: The server.
        sent_at_s: When the request was sent to it.
        ended_at_s: When the connection ended.
    """

    template: RequestTemplate
    entry: ServerEntry
    sent_at_s: float
    ended_at_s: float

    def crash(self) -> Crash:
        """Returns the crash, if the server crashed."""
        entry = self.entry
        return Crash(
            server_key(entry.server_id, entry.started_at_ms),
            entry.started_at_ms > 0,
            self.sent_at_s,
            self.ended_at_s,
        )


def _tell_nobody() -> None:
    """Does nothing; see `CrashWatch.tell`."""


def _own_nothing(identities: Iterable[bytes]) -> Iterable[bytes]:
    """Leaves requests to other nodes; see `CrashWatch.find_owned`."""
    del identities
    return ()


class CrashWatch:
    """Watches requests and the servers that they are sent to.

    Attributes:
        requests: The requests under which servers have crashed.
        turns: When this node sends suspected and condemned requests.
        tell: Sends heartbeats, as what this node knows has changed.
        find_owned: Returns those of some requests that this node sends for all
            nodes if they are suspected, and tries if they are condemned.
        crash_count: Requests under which a server crashed.
    """

    def __init__(
        self,
        prober: ServerProber,
        timers: CrashTimers,
        log: DecisionLog,
    ) -> None:
        self._prober = prober
        self._timers = timers
        self._log = log
        self.requests = FatalRequests()
        self.turns = SuspectTurns(self.requests)
        self.tell: Callable[[], None] = _tell_nobody
        self.find_owned: Callable[[Iterable[bytes]], Iterable[bytes]] = (
            _own_nothing
        )
        self.crash_count = 0
        self._in_progress: dict[bytes, list[RequestInProgress]] = {}
        # The requests that servers lost which are being checked.
        self._lost_by_server: dict[str, list[_LostRequest]] = {}
        self._will_tell = False
        self._told_at_s = 0.0

    # Requests in progress.

    def admit(self, identity: bytes, handler: RequestInProgress) -> bool:
        """Begins to follow a request, unless no server may get it.

        Args:
            identity: The request.
            handler: Handles it; told of crashes until `release`.

        Returns:
            False if the request is condemned and this isn't a trial.
        """
        now_s = read_clock_s()
        self.requests.record_request(identity, now_s)
        if self.requests.is_condemned(identity):
            if not (
                self.turns.is_trial_due(identity, now_s)
                and identity in self.find_owned([identity])
            ):
                return False
            self.turns.record_trial(identity, now_s)
        self._in_progress.setdefault(identity, []).append(handler)
        return True

    def release(self, identity: bytes, handler: RequestInProgress) -> None:
        """Stops following a request that has ended."""
        self.turns.end_turn(identity, handler)
        handlers = self._in_progress.get(identity, [])
        if handler in handlers:
            handlers.remove(handler)
        if not handlers:
            self._in_progress.pop(identity, None)

    # Observations.

    def record_reply(self, identity: bytes) -> None:
        """Records that a server has run a request and replied to it."""
        condemned = self.requests.condemned
        if self.requests.record_reply(identity, read_clock_s()):
            self._tell_soon()
            self._apply_changes([identity], condemned)

    def check(
        self, entry: ServerEntry, template: RequestTemplate, sent_at_s: float
    ) -> None:
        """Finds out whether a server crashed under a request.

        Args:
            entry: The server.
            template: The request, to which it gave no reply.
            sent_at_s: When the request was sent to it.
        """
        if self.requests.has_replied_since(template.identity, sent_at_s):
            return
        self.turns.begin_check(template.identity)
        lost = self._lost_by_server.setdefault(entry.server_id, [])
        lost.append(_LostRequest(template, entry, sent_at_s, read_clock_s()))
        if len(lost) == 1:
            self._prober.probe(
                entry.server_id,
                entry.address,
                lambda outcome: self._end_check(entry.server_id, outcome),
            )

    def _end_check(self, server_id: str, outcome: ProbeOutcome) -> None:
        lost_requests = self._lost_by_server.pop(server_id)
        for lost in lost_requests:
            self.turns.end_check(lost.template.identity)
        if outcome is ProbeOutcome.REFUSED:
            self._record_crashes(lost_requests)

    def _record_crashes(self, lost_requests: Sequence[_LostRequest]) -> None:
        """Records that a server crashed under all requests that it lost."""
        condemned = self.requests.condemned
        now_s = read_clock_s()
        changed = []
        for lost in lost_requests:
            self.crash_count += 1
            identity = lost.template.identity
            self._log.log_view_change(
                "backend server crashed",
                server=lost.entry.server_id,
                service=lost.entry.service,
                request_id=lost.template.request_id,
                identity=identity.hex(),
                target=lost.template.target,
                ran_ms=round((lost.ended_at_s - lost.sent_at_s) * 1000, 1),
            )
            if self.requests.record_crash(identity, lost.crash(), now_s):
                changed.append(identity)
        if changed:
            self._tell_soon()
            self._apply_changes(changed, condemned)
        for lost in lost_requests:
            identity = lost.template.identity
            for handler in [*self._in_progress.get(identity, ())]:
                handler.on_crash()

    def _apply_changes(
        self, changed: Iterable[bytes], condemned_before: frozenset[bytes]
    ) -> None:
        """Logs changes and ends the requests that are condemned by them.

        A change of one request may condemn another; see `FatalRequests`.
        """
        self._timers.call_at(read_clock_s() + TOLD_AFTER_S, self._judge_again)
        self._end_condemned(changed, condemned_before)

    def _judge_again(self) -> None:
        """Judges what could not be decided before other nodes had told."""
        condemned = self.requests.condemned
        self.requests.pass_time(read_clock_s())
        self._end_condemned((), condemned)

    def _end_condemned(
        self, changed: Iterable[bytes], condemned_before: frozenset[bytes]
    ) -> None:
        affected = {*changed, *(self.requests.condemned ^ condemned_before)}
        for identity in affected:
            self._log_change(identity)
            if self.requests.is_condemned(identity):
                for handler in [*self._in_progress.get(identity, ())]:
                    handler.on_condemned()

    def _log_change(self, identity: bytes) -> None:
        if self.requests.is_condemned(identity):
            message = "request condemned"
        elif self.requests.is_suspected(identity):
            message = "request suspected"
        else:
            message = "request cleared"
        self._log.log_view_change(
            message,
            identity=identity.hex(),
            crashes=self.requests.crash_count(identity),
        )

    # Other nodes.

    def _tell_soon(self) -> None:
        if not self._will_tell:
            self._will_tell = True
            due_s = max(
                read_clock_s() + TELL_DELAY_S, self._told_at_s + TELL_PERIOD_S
            )
            self._timers.call_at(due_s, self._tell)

    def _tell(self) -> None:
        self._will_tell = False
        self._told_at_s = read_clock_s()
        self.tell()

    def reports(self) -> tuple[SuspectReport, ...]:
        """Returns what to tell other nodes."""
        return tuple(self.requests.reports(read_clock_s()))

    def merge(self, reports: Iterable[SuspectReport]) -> None:
        """Takes over what another node has told."""
        condemned = self.requests.condemned
        changed = self.requests.merge(reports, read_clock_s())
        if changed:
            self._apply_changes(changed, condemned)

    # The store.

    def stored(self, kept: Collection[str]) -> Mapping[str, Sequence[int]]:
        """Returns the condemned requests that this node must store.

        They are hexadecimal, with the servers that crashed under each.

        Args:
            kept: Those that it must store though another node owns them.
        """
        condemned = sorted(self.requests.condemned)
        owned = itertools.islice(self.find_owned(condemned), MAX_STORED_COUNT)
        stored = {
            *owned,
            *(identity for identity in condemned if identity.hex() in kept),
        }
        return {
            identity.hex(): self.requests.server_keys(identity)
            for identity in sorted(stored)[:MAX_STORED_COUNT]
        }

    def restore(self, stored: Mapping[str, Sequence[int]]) -> None:
        """Takes over condemned requests that some node has stored."""
        condemned = self.requests.condemned
        now_s = read_clock_s()
        changed = [
            identity
            for identity, server_keys in (
                (bytes.fromhex(text), keys) for text, keys in stored.items()
            )
            if self.requests.restore(identity, server_keys, now_s)
        ]
        if changed:
            self._apply_changes(changed, condemned)

    def expire(self) -> None:
        """Forgets requests that callers have stopped to send."""
        self.requests.expire(read_clock_s())
        self.turns.expire()
