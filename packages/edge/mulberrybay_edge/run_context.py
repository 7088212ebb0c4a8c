"""What the runs of callers' requests share."""

from collections import Counter
from collections.abc import Callable
from typing import Final, NamedTuple, Protocol

from mulberrybay_core import caller_errors
from mulberrybay_core.caller_messages import (
    AnswerHandler,
    CallerAnswer,
    CallerRequest,
    HeaderNames,
)
from mulberrybay_core.route_history import RouteHistory
from mulberrybay_core.routing import Route
from mulberrybay_edge.decision_log import DecisionLog
from mulberrybay_edge.sending import RequestTemplate, Sender
from mulberrybay_runtime.timers import Timer

# How often a run looks again for a server with room.
CAPACITY_CHECK_PERIOD_S: Final = 0.01
# A request that finds no room is refused after this part of its target.
MAX_QUEUE_RATIO: Final = 0.2
# Time to merge and send an answer, and for a timer that fires late.
ANSWER_MARGIN_S: Final = 0.002
# A caller that is very far away still gets this part of the target.
MIN_AVAILABLE_RATIO: Final = 0.3
# What a line of a request lists at most, of failures and of shards.
MAX_LOGGED_COUNT: Final = 8
# An answer by the timeout leaves this much before it.
TIMEOUT_MARGIN_S: Final = 0.01


class HandlerTimers(Protocol):
    """The timers of a run."""

    def call_at(self, due_s: float, callback: Callable[[], None]) -> Timer:
        """Schedules a callback at a time of the process's clock."""


class RunCounts:
    """What the runs of a node have come to.

    Attributes:
        outcomes: Runs that ended, by kind and outcome.
        refusals: Requests that were not run, by reason.
        hedge_count: Second attempts beside one that was late.
        hedge_win_count: Hedges whose reply came first.
        missing_shard_count: Shards that answers did not cover.
        caller_gone_count: Callers that left before their answer.
    """

    def __init__(self) -> None:
        self.outcomes: Counter[tuple[str, str]] = Counter()
        self.refusals: Counter[str] = Counter()
        self.hedge_count = 0
        self.hedge_win_count = 0
        self.missing_shard_count = 0
        self.caller_gone_count = 0


class RunTools(NamedTuple):
    """What all runs of a node share.

    Attributes:
        sender: Sends attempts.
        timers: Calls back.
        names: The names of headers.
        log: One line for each decision.
        counts: What the runs have come to.
        retry_ratio: Repeats allowed for each request, over all nodes.
        clock: Returns the time in seconds.
    """

    sender: Sender
    timers: HandlerTimers
    names: HeaderNames
    log: DecisionLog
    counts: RunCounts
    retry_ratio: float
    clock: Callable[[], float]


class RequestJob(NamedTuple):
    """One caller's request on its route.

    Attributes:
        request: The request.
        route: The route that it takes, of one configuration.
        history: The latencies of that route.
        template: The request as backend servers get it.
        reply: Takes the answer.
    """

    request: CallerRequest
    route: Route
    history: RouteHistory
    template: RequestTemplate
    reply: AnswerHandler

    def available_s(self) -> float:
        """Returns the time at this node in which the target is met."""
        target_s = self.route.target_latency_s
        available_s = target_s - self.request.travel_s - ANSWER_MARGIN_S
        return max(available_s, MIN_AVAILABLE_RATIO * target_s)

    def deadline_at_s(self) -> float:
        """Returns when the caller's request times out."""
        timeout_s = self.route.timeout_s
        if self.request.deadline_s is not None:
            timeout_s = min(timeout_s, self.request.deadline_s)
        return self.request.received_at_s + timeout_s


def retry_after_s(job: RequestJob, now_s: float) -> float:
    """Returns when a refused caller may come back.

    Within a third of the time it has left, which is as long as callers wait;
    spread by its request's identity, so that callers refused together do not
    come back together.
    """
    time_left_s = max(0.0, job.deadline_at_s() - now_s)
    spread = (sum(job.request.request_id.encode()) % 16) / 16
    return min(
        0.3 * time_left_s, 0.5 * job.route.target_latency_s * (1 + spread)
    )


def with_request_id(
    answer: CallerAnswer, job: RequestJob, names: HeaderNames
) -> CallerAnswer:
    """Returns the answer with the identity of the request."""
    if not job.request.request_id:
        return answer
    header = (names.request_id, job.request.request_id)
    return answer._replace(headers=(header, *answer.headers))


class RequestHandler:
    """What runs of all kinds have in common: their answer and their end."""

    kind = ""

    def __init__(self, context: RunTools, job: RequestJob) -> None:
        self._context = context
        self._job = job
        self._timer: Timer | None = None
        self._has_ended = False
        self._failures: list[str] = []
        self._deadline_at_s = job.deadline_at_s()
        self._last_answer_at_s = self._deadline_at_s - TIMEOUT_MARGIN_S
        self._hedge_at_s = job.request.received_at_s + (
            job.history.hedge_delay_s(context.retry_ratio, job.available_s())
        )

    def cancel(self) -> None:
        """The caller has gone: ends the work at the backend servers."""
        self._context.counts.caller_gone_count += 1
        self._close()

    def _set_timer(self, due_s: float, callback: Callable[[], None]) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._context.timers.call_at(due_s, callback)

    def _record_end(self, outcome: str, **fields: object) -> None:
        """Counts and logs how the run ended."""
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

    def _refuse(self, reason: str, **fields: object) -> None:
        """Answers a request that has not run."""
        self._context.counts.refusals[reason] += 1
        self._record_end("refused", reason=reason, **fields)
        pause_s = retry_after_s(self._job, self._context.clock())
        self._finish(caller_errors.not_run(reason, pause_s))

    def _finish(self, answer: CallerAnswer) -> None:
        self._close()
        self._job.reply(with_request_id(answer, self._job, self._context.names))

    def _close(self) -> None:
        self._has_ended = True
        if self._timer is not None:
            self._timer.cancel()
        self._cancel_attempts()

    def _cancel_attempts(self) -> None:
        """Gives up the attempts that are under way."""
