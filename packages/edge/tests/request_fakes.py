"""A fake sender, fake timers and a fake clock for tests of the handlers."""

import heapq
import itertools
import math
from collections.abc import Callable
from typing import Final

from mulberrybay_core.addresses import Address
from mulberrybay_core.caller_messages import (
    CallerAnswer,
    CallerRequest,
    HeaderNames,
)
from mulberrybay_core.overload.admission import Urgency
from mulberrybay_core.overload.answer_reserve import AnswerReserve
from mulberrybay_core.route_history import RouteHistory
from mulberrybay_core.routing import Route, RouteKind, WeightedService
from mulberrybay_edge.crash_watch import CrashWatch
from mulberrybay_edge.decision_log import DecisionLog
from mulberrybay_edge.request_context import (
    HandlerContext,
    RequestCounts,
    RequestJob,
)
from mulberrybay_edge.sending import (
    AttemptOutcome,
    AttemptResult,
    AttemptSpec,
    RequestTemplate,
    ResultHandler,
    SendRefusal,
    TriedServers,
)
from mulberrybay_edge.server_connections import ProbeHandler, ProbeOutcome
from mulberrybay_runtime.http_exchange import HttpReply
from mulberrybay_runtime.timers import Timer

NAMES: Final = HeaderNames(
    request_id="Id",
    deadline_ms="Deadline",
    expected_server="Server",
    signature="Signature",
    shard_reply_signatures="Parts",
    missing_shard_count="Missing",
    not_run="Not-Run",
    load="Load",
    leaving="Leaving",
    rate_limit="Limit",
    tenant="Tenant",
)


class FakeTimers:
    """Timers on a clock that the test advances."""

    def __init__(self) -> None:
        self.now_s = 100.0
        self._heap: list[tuple[float, int, Timer]] = []
        self._numbers = itertools.count()

    def clock(self) -> float:
        """Returns the time."""
        return self.now_s

    def call_at(self, due_s: float, callback: Callable[[], None]) -> Timer:
        """Schedules a callback."""
        timer = Timer(callback)
        heapq.heappush(self._heap, (due_s, next(self._numbers), timer))
        return timer

    def call_promptly_at(
        self, due_s: float, callback: Callable[[], None]
    ) -> Timer:
        """Schedules a callback like any other."""
        return self.call_at(due_s, callback)

    def run_prompt(self) -> None:
        """Does nothing: no callback is late."""

    def advance(self, span_s: float) -> None:
        """Advances the clock and fires the timers that become due."""
        end_s = self.now_s + span_s
        while self._heap and self._heap[0][0] <= end_s:
            due_s, _, timer = heapq.heappop(self._heap)
            self.now_s = max(self.now_s, due_s)
            timer.fire()
        self.now_s = end_s


class FakeProbes:
    """Probes of servers, whose outcomes the test sets."""

    def __init__(self) -> None:
        self.handlers: list[ProbeHandler] = []

    def probe(
        self, server_id: str, address: Address, on_end: ProbeHandler
    ) -> None:
        """Keeps the probe until the test ends it."""
        del server_id, address
        self.handlers.append(on_end)

    def end_all(self, outcome: ProbeOutcome) -> None:
        """Ends all probes with an outcome."""
        handlers, self.handlers = self.handlers, []
        for on_end in handlers:
            on_end(outcome)


class FakeAttempt:
    """An attempt whose result the test sets."""

    def __init__(
        self,
        spec: AttemptSpec,
        server_id: str,
        on_result: ResultHandler,
        sent_at_s: float,
    ) -> None:
        self.spec = spec
        self.sent_at_s = sent_at_s
        self.server_id = server_id
        self._on_result = on_result
        self.is_finished = False
        self.is_sent = True
        self.is_cancelled = False

    def cancel(self) -> None:
        """Records that the handler cancelled the attempt."""
        self.is_finished = self.is_cancelled = True

    def end(
        self,
        outcome: AttemptOutcome,
        reply: HttpReply | None = None,
        *,
        has_arrived: bool = True,
    ) -> None:
        """Ends the attempt with a result."""
        self.is_finished = True
        self._on_result(
            AttemptResult(outcome, self.server_id, reply, "", has_arrived)
        )

    def succeed(self, body: bytes = b"body", signature: str = "") -> None:
        """Ends the attempt with a successful reply."""
        signature = signature or f"signature-of-{self.server_id}"
        reply = HttpReply(200, {"signature": signature}, body, True)
        self.end(AttemptOutcome.OK, reply)


class FakeSender:
    """Sends to two replicas of each service, `a` first.

    Attributes:
        attempts: All attempts, in order.
        empty_services: Services without a backend server.
        full_services: Services whose servers are all full.
        paused_until_s: When the pause of all servers of a service ends.
        limited_until_s: When the limits of all servers of a service allow the
            next request.
        used_ids: Servers that were used before; others are preferred.
        is_connecting: Whether attempts wait for their connection.
        has_retry_budget: Whether retries are sent.
        replica_names: One character for each replica of a service.
        is_cut_off: Whether only other nodes reach backend servers.
        has_order: Whether requests differ in priority.
        waits_s: How long a request of a service waits for a slot.
        may_be_refused: Whether a query may be refused as servers are full.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self.paused_until_s: dict[str, float] = {}
        self.limited_until_s: dict[str, float] = {}
        self.attempts: list[FakeAttempt] = []
        self.empty_services: set[str] = set()
        self.full_services: set[str] = set()
        self.used_ids: set[str] = set()
        self.is_connecting = False
        self.has_retry_budget = True
        self.replica_names = "ab"
        self.is_cut_off = False
        self.has_order = False
        self.waits_s: dict[str, float] = {}
        self.may_be_refused = True

    def record_request(
        self, service: str, urgency: Urgency | None = None
    ) -> None:
        """Ignores the count."""

    def expected_wait_s(self, service: str) -> float:
        """Returns how long a request waits for a slot."""
        return self.waits_s.get(service, 0.0)

    def refuses(self, urgency: Urgency, *, is_late: bool) -> bool:
        """Whether a query is refused."""
        return is_late and self.may_be_refused

    def withdraw(self, service: str, tried: TriedServers) -> None:
        """Does nothing: no request waits."""

    def available_at_s(self, service: str) -> float:
        """Returns from when on a service has a server to use."""
        if service in self.empty_services:
            return math.inf
        return max(
            self._clock(),
            self.paused_until_s.get(service, 0.0),
            self.limited_until_s.get(service, 0.0),
        )

    def is_limited(self, service: str) -> bool:
        """Returns whether limits keep requests from a service."""
        return self.limited_until_s.get(service, 0.0) > self._clock()

    def send(
        self, spec: AttemptSpec, on_result: ResultHandler
    ) -> FakeAttempt | SendRefusal:
        """Records the attempt for the test."""
        service = spec.service
        servers = [f"{service}-{name}" for name in self.replica_names]
        allowed = [
            name
            for name in servers
            if spec.tried.allows(name) and name not in spec.avoided_ids
        ]
        # The real sender avoids a server that has just failed.
        allowed.sort(key=lambda name: name in self.used_ids)
        if service in self.empty_services or not allowed:
            return SendRefusal.NO_SERVER
        if self.is_limited(service):
            return SendRefusal.LIMITED
        if self.available_at_s(service) > self._clock():
            return SendRefusal.PAUSED
        if service in self.full_services:
            return SendRefusal.FULL
        if spec.is_retry and not self.has_retry_budget:
            return SendRefusal.NO_ALLOWANCE
        attempt = FakeAttempt(spec, allowed[0], on_result, self._clock())
        attempt.is_sent = not self.is_connecting
        self.used_ids.add(allowed[0])
        self.attempts.append(attempt)
        return attempt

    def attempts_at(self, service: str) -> list[FakeAttempt]:
        """Returns the attempts at a service."""
        return [
            attempt
            for attempt in self.attempts
            if attempt.spec.service == service
        ]


class RequestHarness:
    """A request with its route and handler context, and its answers."""

    def __init__(
        self,
        *,
        shards: tuple[str, ...] = (),
        kind: RouteKind = RouteKind.IDEMPOTENT,
        min_coverage: float = 0.0,
        deadline_s: float | None = None,
    ) -> None:
        self.timers = FakeTimers()
        self.sender = FakeSender(self.timers.clock)
        self.answers: list[CallerAnswer] = []
        self.route = Route(
            "route",
            "a.example",
            "/",
            kind,
            timeout_s=2.0,
            target_latency_s=0.2,
            max_server_count=2,
            split=() if shards else (WeightedService("one", 1.0),),
            shards=shards,
            top_hit_count=2,
            min_coverage=min_coverage,
        )
        log = DecisionLog(self.timers.clock)
        self.connections = FakeProbes()
        self.context = HandlerContext(
            self.sender,
            self.timers,
            NAMES,
            log,
            RequestCounts(),
            CrashWatch(self.connections, self.timers, log),
            0.2,
            self.timers.clock,
            AnswerReserve(),
        )
        request = CallerRequest(
            "GET",
            "/x",
            "/x",
            "a.example",
            (("Host", "a.example"),),
            b"",
            "id-1",
            self.timers.now_s,
            deadline_s,
        )
        self.job = RequestJob(
            request,
            self.route,
            RouteHistory(self.route.target_latency_s),
            RequestTemplate(request, NAMES),
            self.answers.append,
        )

    @property
    def answer(self) -> CallerAnswer:
        """The only answer."""
        (answer,) = self.answers
        return answer

    def header(self, name: str) -> str | None:
        """Returns a header of the answer."""
        return dict(self.answer.headers).get(name)
