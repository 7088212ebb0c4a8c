"""Common base and shared state of the handlers of callers' requests."""

from collections import Counter
from collections.abc import Callable
from typing import Final, NamedTuple, Protocol

from mulberrybay_core import caller_errors
from mulberrybay_core.caller_messages import (
    HOP_BY_HOP_HEADERS,
    AnswerHandler,
    CallerAnswer,
    CallerRequest,
    HeaderNames,
)
from mulberrybay_core.overload.admission import Urgency, find_hold_until_s
from mulberrybay_core.overload.answer_reserve import (
    AnswerReserve,
    AnswerTiming,
)
from mulberrybay_core.route_history import RouteHistory
from mulberrybay_core.routing import Route
from mulberrybay_core.suspect_turns import SuspectTurns
from mulberrybay_core.tenants.service_counts import TenantCounts
from mulberrybay_edge.crash_watch import CrashWatch
from mulberrybay_edge.decision_log import DecisionLog
from mulberrybay_edge.request_access import RequestAccess
from mulberrybay_edge.sending import RequestTemplate, Sender
from mulberrybay_runtime.http_exchange import HttpReply
from mulberrybay_runtime.timers import Timer

# How often a handler checks again for a server with free capacity.
CAPACITY_CHECK_PERIOD_S: Final = 0.01
# How often a handler checks the same for a request that is held back, which is
# also told when a reply comes.
HELD_CHECK_PERIOD_S: Final = 0.02
# How often a handler checks whether a paused service has another server now.
PAUSE_CHECK_PERIOD_S: Final = 0.1
# If all servers are full, a request is refused after this fraction of its
# target latency.
MAX_QUEUE_RATIO: Final = 0.2
# The minimum latency budget of a node, as a fraction of the target latency. It
# applies if the network time to the caller leaves less.
MIN_LATENCY_BUDGET_RATIO: Final = 0.3
# The most failures and the most shards listed in the log line of a request.
MAX_LOGGED_COUNT: Final = 8
# The reason for refusing a request that is known to crash servers.
CONDEMNED: Final = "backend servers crashed under this request"
# The reason for refusing a request without a known API key.
UNKNOWN_KEY: Final = "no known API key"
# The reason for refusing a request beyond the quota of its tenant.
OVER_QUOTA: Final = "the quota of the tenant is used up"
# Why a request ends that is still open when its node must exit.
EXITING: Final = "this node exits"
# The last answer is sent this long before the timeout.
TIMEOUT_MARGIN_S: Final = 0.01


class HandlerTimers(Protocol):
    """The timers that handlers use."""

    def call_at(self, due_s: float, callback: Callable[[], None]) -> Timer:
        """Schedules a callback at a time of `read_clock_s`."""

    def call_promptly_at(
        self, due_s: float, callback: Callable[[], None]
    ) -> Timer:
        """Schedules a callback that `run_prompt` may run before others."""

    def run_prompt(self) -> None:
        """Runs the due callbacks of `call_promptly_at`, in a longer task."""


class RequestCounts:
    """Counts of the requests that a node handled.

    Attributes:
        outcomes: Requests that ended, by kind and outcome.
        refusals: Requests that were not run, by reason.
        hedge_count: Second attempts sent while the first was late.
        hedge_win_count: Hedges whose reply arrived first.
        missing_shard_count: Shards missing in answers.
        disconnected_caller_count: Callers that disconnected before the answer.
        tenants: Requests by tenant.
    """

    def __init__(self) -> None:
        self.outcomes: Counter[tuple[str, str]] = Counter()
        self.refusals: Counter[str] = Counter()
        self.hedge_count = 0
        self.hedge_win_count = 0
        self.missing_shard_count = 0
        self.disconnected_caller_count = 0
        self.tenants = TenantCounts()


class HandlerContext(NamedTuple):
    """Objects and settings that all handlers of a node share.

    Attributes:
        sender: Sends attempts.
        timers: Schedules callbacks.
        names: The names of headers.
        log: The log of request outcomes.
        counts: Counts of the requests handled.
        crash_watch: Knows the requests under which servers crash.
        retry_ratio: Retries allowed per request, over all nodes.
        clock: Returns the time in seconds.
        answer_reserve: Derives how early answers must leave.
    """

    sender: Sender
    timers: HandlerTimers
    names: HeaderNames
    log: DecisionLog
    counts: RequestCounts
    crash_watch: CrashWatch
    retry_ratio: float
    clock: Callable[[], float]
    answer_reserve: AnswerReserve


class RequestJob(NamedTuple):
    """A caller's request with its route.

    Attributes:
        request: The request.
        route: The route that matches the request, of one configuration.
        history: The latencies of that route.
        template: The request as it is sent to backend servers.
        reply: Called with the answer.
        timing: What the moment of the answer has to allow for.
        access: Judges the request by its API key; None to serve any.
    """

    request: CallerRequest
    route: Route
    history: RouteHistory
    template: RequestTemplate
    reply: AnswerHandler
    timing: AnswerTiming = AnswerTiming()
    access: RequestAccess | None = None

    @property
    def priority(self) -> int:
        """The tenant's priority if it has one, else the route's."""
        tenant = self.access.tenant if self.access is not None else None
        if tenant is not None and tenant.priority is not None:
            return tenant.priority
        return self.route.priority

    def latency_budget_s(self) -> float:
        """Returns the time within which this node should answer, in seconds.

        It is the target latency less the network time to the caller and the
        reserve, but not below MIN_LATENCY_BUDGET_RATIO of the target latency.
        """
        target_s = self.route.target_latency_s
        latency_budget_s = (
            target_s - self.request.network_time_s - self.timing.reserve_s
        )
        return max(latency_budget_s, MIN_LATENCY_BUDGET_RATIO * target_s)

    def urgency(self) -> Urgency:
        """Returns what the order of the request under overload depends on."""
        received_at_s = self.request.received_at_s
        due_at_s = received_at_s + self.latency_budget_s()
        typical_latency_s = self.history.typical_latency_s()
        return Urgency(
            self.priority,
            due_at_s,
            typical_latency_s,
            find_hold_until_s(received_at_s, due_at_s, typical_latency_s),
        )

    def deadline_at_s(self) -> float:
        """Returns when the caller's request times out."""
        timeout_s = self.route.timeout_s
        if self.request.deadline_s is not None:
            timeout_s = min(timeout_s, self.request.deadline_s)
        return self.request.received_at_s + timeout_s


def retry_after_s(
    job: RequestJob, now_s: float, min_delay_s: float = 0.0
) -> float:
    """Returns the delay after which a refused caller should retry, in seconds.

    It is at most a third of the time left until the deadline, since callers
    wait no longer. It varies with the request id, so that callers refused
    together do not retry together.

    Args:
        job: The refused request.
        now_s: The time.
        min_delay_s: The time until the request can be served, if it is known.
    """
    time_left_s = max(0.0, job.deadline_at_s() - now_s)
    spread = (sum(job.request.request_id.encode()) % 16) / 16
    delay_s = max(min_delay_s, 0.5 * job.route.target_latency_s * (1 + spread))
    return min(0.3 * time_left_s, delay_s)


def to_caller_answer(
    reply: HttpReply, names: HeaderNames, *, expects_body: bool
) -> CallerAnswer:
    """Converts a reply of a backend server or another node to an answer."""
    dropped = {"content-length", names.load.lower(), names.request_id.lower()}
    headers = tuple(
        (name, value)
        for name, value in reply.headers.items()
        if name not in HOP_BY_HOP_HEADERS and name not in dropped
    )
    body_bytes = None
    if not expects_body:
        length = reply.headers.get("content-length", "")
        body_bytes = int(length) if length.isdecimal() else None
    return CallerAnswer(reply.status, headers, reply.body, body_bytes)


def with_request_id(
    answer: CallerAnswer, job: RequestJob, names: HeaderNames
) -> CallerAnswer:
    """Returns the answer with the request's identifier, if it has one."""
    if not job.request.request_id:
        return answer
    header = (names.request_id, job.request.request_id)
    return answer._replace(headers=(header, *answer.headers))


class RequestHandler:
    """Base of the request handlers: timer, answer and cancellation."""

    kind = ""

    def __init__(self, context: HandlerContext, job: RequestJob) -> None:
        self._context = context
        self._job = job
        self._timer: Timer | None = None
        self._has_ended = False
        self._failures: list[str] = []
        self._deadline_at_s = job.deadline_at_s()
        self._last_answer_at_s = self._deadline_at_s - TIMEOUT_MARGIN_S
        # None where requests don't differ in priority.
        self._urgency = job.urgency() if context.sender.has_order else None
        self._hedge_at_s = job.request.received_at_s + (
            job.history.hedge_delay_s(
                context.retry_ratio,
                job.latency_budget_s() - job.timing.mean_lookup_s,
            )
        )

    @property
    def _identity(self) -> bytes:
        return self._job.template.identity

    @property
    def _turns(self) -> SuspectTurns:
        return self._context.crash_watch.turns

    def _needs_care(self) -> bool:
        return self._turns.needs_care(self._identity, self._context.clock())

    def _must_wait(self) -> bool:
        return self._turns.must_wait(self._identity, self._context.clock())

    def _avoided_servers(self) -> frozenset[str]:
        return self._turns.avoided_servers(
            self._identity, self._context.clock()
        )

    def _begin_turn(self, server_id: str) -> None:
        self._turns.begin_turn(
            self._identity, server_id, self, self._context.clock()
        )

    def _end_turn(self) -> None:
        self._turns.end_turn(self._identity, self)

    def begin(self) -> None:
        """Starts the request, or refuses it if servers crash under it."""
        watch = self._context.crash_watch
        if watch.admit(self._identity, self):
            self.start()
            return
        self._refuse_condemned()

    def start(self) -> None:
        """Sends the request, or refuses it."""

    def _refuse_condemned(self) -> None:
        """Refuses a request, and tells when a server may get it again.

        Unlike other refusals, that may be after the caller's deadline: a
        repeat within it is refused too.
        """
        self._count_refusal(CONDEMNED)
        self._record_end(
            "refused", reason=CONDEMNED, identity=self._identity.hex()
        )
        delay_s = self._turns.retry_after_s(
            self._identity, self._context.clock()
        )
        self._finish(caller_errors.not_run(CONDEMNED, delay_s))

    def _is_denied(self) -> bool:
        """Ends a request that may not be served any more.

        Called before each attempt: a new configuration may have removed its
        key while it waited. A request that may have run goes on.
        """
        access = self._job.access
        if access is None:
            return False
        if not access.is_admitted():
            reason, answer = UNKNOWN_KEY, caller_errors.UNKNOWN_KEY
        elif access.charge():
            return False
        else:
            reason = OVER_QUOTA
            answer = caller_errors.over_quota(access.retry_after_s())
        if self._has_started():
            return False
        self._count_refusal(reason)
        self._record_end("refused", reason=reason, tenant=self._tenant_name())
        self._finish(answer)
        return True

    def _give_back_unsent(self) -> None:
        """Frees the quota for others while the request waits."""
        access = self._job.access
        if access is not None and not self._has_started():
            access.give_back()

    def _has_started(self) -> bool:
        """Whether a server may be running the request or may have run it."""
        raise NotImplementedError

    def on_crash(self) -> None:
        """Handles that a server crashed; see `RequestInProgress`."""

    def on_condemned(self) -> None:
        """Ends the request; see `RequestInProgress`."""
        if not self._has_ended:
            self._end_condemned()

    def _end_condemned(self) -> None:
        """Answers a condemned request, which may have run."""
        raise NotImplementedError

    def give_up(self) -> None:
        """Answers the request now, as the node is about to exit."""
        if not self._has_ended:
            self._give_up()

    def _give_up(self) -> None:
        """Gives the best answer that needs no more replies."""
        raise NotImplementedError

    def cancel(self) -> None:
        """Cancels all attempts of a disconnected caller."""
        self._context.counts.disconnected_caller_count += 1
        self._close()

    def _set_timer(self, due_s: float, callback: Callable[[], None]) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._context.timers.call_at(due_s, callback)

    def _record_end(self, outcome: str, **fields: object) -> None:
        """Counts and logs the outcome of the request."""
        job = self._job
        self._context.counts.outcomes[self.kind, outcome] += 1
        took_s = self._context.clock() - job.request.received_at_s
        self._context.log.log_request_end(
            job.request.request_id,
            outcome,
            route=job.route.name,
            took_ms=round(took_s * 1000, 1),
            target_ms=round(job.route.target_latency_s * 1000),
            failures=self._failures[:MAX_LOGGED_COUNT],
            **fields,
        )

    def _refuse(
        self, reason: str, min_delay_s: float = 0.0, **fields: object
    ) -> None:
        """Refuses a request that no server ran.

        Args:
            reason: The reason, for the log and the caller.
            min_delay_s: The time until it can be served, if it is known.
            **fields: Additional fields of the log line.
        """
        self._count_refusal(reason)
        self._record_end("refused", reason=reason, **fields)
        delay_s = retry_after_s(self._job, self._context.clock(), min_delay_s)
        self._finish(caller_errors.not_run(reason, delay_s))

    def _tenant_name(self) -> str:
        """Returns the name of the request's tenant; empty if it has none."""
        access = self._job.access
        if access is None or access.tenant is None:
            return ""
        return access.tenant.name

    def _count_refusal(self, reason: str) -> None:
        """Counts a request that is not run."""
        self._context.counts.refusals[reason] += 1
        name = self._tenant_name()
        if name:
            self._context.counts.tenants.record_refusal(name, reason)

    def _finish(self, answer: CallerAnswer) -> None:
        self._close()
        name = self._tenant_name()
        if name:
            self._context.counts.tenants.record_end(
                name, is_served=200 <= answer.status < 300
            )
        self._job.reply(with_request_id(answer, self._job, self._context.names))

    def _close(self) -> None:
        self._has_ended = True
        self._give_back_unsent()
        self._context.crash_watch.release(self._identity, self)
        if self._timer is not None:
            self._timer.cancel()
        self._cancel_attempts()

    def _cancel_attempts(self) -> None:
        """Cancels the attempts in progress."""
