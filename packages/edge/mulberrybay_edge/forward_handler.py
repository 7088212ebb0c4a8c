"""Forwards a request to one backend server, with retries where allowed."""

from mulberrybay_core import caller_errors
from mulberrybay_core.caller_messages import CallerAnswer
from mulberrybay_core.pause_wait import can_wait
from mulberrybay_core.routing import RouteKind
from mulberrybay_core.suspect_turns import MAX_SILENCE_S
from mulberrybay_edge.request_context import (
    CAPACITY_CHECK_PERIOD_S,
    CONDEMNED,
    EXITING,
    MAX_QUEUE_RATIO,
    PAUSE_CHECK_PERIOD_S,
    HandlerContext,
    RequestHandler,
    RequestJob,
    to_caller_answer,
)
from mulberrybay_edge.sending import (
    AttemptHandle,
    AttemptOutcome,
    AttemptResult,
    AttemptSpec,
    SendRefusal,
    TriedServers,
)
from mulberrybay_runtime.http_exchange import HttpReply


class ForwardHandler(RequestHandler):
    """Handles a request that a single backend server answers."""

    kind = "forward"

    def __init__(
        self, context: HandlerContext, job: RequestJob, service: str
    ) -> None:
        super().__init__(context, job)
        self._service = service
        self._is_retryable = job.route.kind is RouteKind.IDEMPOTENT
        self._attempts: list[AttemptHandle] = []
        self._tried = TriedServers(job.route.max_server_count)
        # Whether a server ran the request or may have run it.
        self._may_have_run = False
        self._failure: HttpReply | None = None
        # Whether a server has run the request or may have, beside those that
        # refused it for its size.
        self._has_unrefused = False
        # Why the last due attempt was not sent; None if it was sent.
        self._refusal: SendRefusal | None = None
        self._queue_until_s = 0.0
        self._queue_from(job.request.received_at_s)
        if self._urgency is not None:
            # It is sent before it would be refused for lack of room.
            hold_until_s = self._queue_until_s - CAPACITY_CHECK_PERIOD_S
            self._urgency = self._urgency._replace(
                hold_until_s=min(self._urgency.hold_until_s, hold_until_s)
            )

    def start(self) -> None:
        """Sends the request, or refuses it if the service has no server."""
        self._context.sender.record_request(self._service, self._urgency)
        if not self._must_wait():
            self._send()
        self._schedule_timer()

    # Sending.

    def _queue_from(self, time_s: float) -> None:
        """Allows the request to wait for a free server from a time on."""
        self._queue_until_s = min(
            time_s + MAX_QUEUE_RATIO * self._job.route.target_latency_s,
            self._last_answer_at_s,
        )

    def _has_started(self) -> bool:
        return self._may_have_run or any(
            attempt.is_sent for attempt in self._attempts
        )

    def _send(self) -> bool:
        if self._is_denied():
            return False
        access = self._job.access
        spec = AttemptSpec(
            template=self._job.template,
            service=self._service,
            history=self._job.history,
            deadline_at_s=self._deadline_at_s,
            tried=self._tried,
            is_retry=bool(self._tried.sent_to),
            is_retryable=self._is_retryable,
            avoided_ids=self._avoided_servers(),
            may_start=access.may_start if access is not None else None,
            route_name=self._job.route.name,
            urgency=self._urgency,
            resume=None if self._attempts else self._resume,
        )
        attempt = self._context.sender.send(spec, self._on_result)
        if not isinstance(attempt, SendRefusal):
            self._refusal = None
            if not attempt.is_finished:
                self._tried.record_sent(attempt.server_id)
                self._attempts.append(attempt)
                self._begin_turn(attempt.server_id)
            return True
        self._refusal = attempt
        if self._attempts:
            return False
        self._give_back_unsent()
        if attempt is SendRefusal.NO_SERVER:
            self._answer_failure("the service has no backend server to use")
        elif attempt is SendRefusal.PAUSED:
            self._wait_or_refuse()
        elif attempt is SendRefusal.LIMITED:
            self._queue_or_refuse()
        return False

    def _queue_or_refuse(self) -> None:
        """Waits for a rate limit no longer than for a server with room.

        Other requests wait for the same share of the limit.
        """
        available_at_s = self._context.sender.available_at_s(self._service)
        if available_at_s > self._queue_until_s:
            self._answer_failure(
                "the rate limits of all backend servers are used up",
                min_delay_s=available_at_s - self._context.clock(),
            )

    def _wait_or_refuse(self) -> None:
        """Waits for the end of a pause, if the answer can then be in time."""
        available_at_s = self._context.sender.available_at_s(self._service)
        if can_wait(
            available_at_s,
            self._job.history.typical_latency_s(),
            self._last_answer_at_s,
        ):
            self._queue_from(available_at_s)
        else:
            self._answer_failure(
                "all backend servers have asked for a pause",
                min_delay_s=available_at_s - self._context.clock(),
            )

    def _may_send(self) -> bool:
        return (
            not self._has_ended
            and self._tried.may_send
            and (self._is_retryable or not self._attempts)
        )

    def _resume(self) -> None:
        """Sends a request that waits, as a server may have room now."""
        if self._may_send() and not self._attempts:
            if not self._must_wait() and self._send():
                self._schedule_timer()
        else:
            self._context.sender.withdraw(self._service, self._tried)

    def _may_hedge(self) -> bool:
        """Whether a second server may get the request beside the first."""
        return (
            self._context.clock() >= self._hedge_at_s + MAX_SILENCE_S
            or not self._needs_care()
        )

    def _on_result(self, result: AttemptResult) -> None:
        self._attempts = [
            attempt for attempt in self._attempts if not attempt.is_finished
        ]
        self._tried.record_end(result.server_id, has_arrived=result.has_arrived)
        self._end_turn()
        if self._has_ended:
            return
        if result.has_arrived and result.outcome is not AttemptOutcome.NOT_RUN:
            self._may_have_run = True
        if result.outcome is AttemptOutcome.OK and result.reply is not None:
            self._record_end(
                "served", server=result.server_id, **self._describe()
            )
            self._finish(self._to_caller_answer(result.reply))
            return
        self._failures.append(f"{result.server_id}: {result.detail}")
        if result.has_arrived and result.outcome is not AttemptOutcome.NOT_RUN:
            self._keep_failure(result.reply)
        may_retry = self._is_retryable or not self._may_have_run
        if may_retry and self._may_send() and not self._must_wait():
            self._send()
        if self._has_ended or self._attempts:
            return
        if not may_retry or not self._may_send():
            self._answer_failure("no further server may be tried")
        else:
            self._schedule_timer()

    def _keep_failure(self, reply: HttpReply | None) -> None:
        """Keeps a reply to pass on if no other server serves the request."""
        if reply and reply.status not in caller_errors.REFUSAL_STATUSES:
            self._failure = reply
        if not reply or (
            reply.status not in caller_errors.SIZE_REFUSAL_STATUSES
        ):
            self._has_unrefused = True

    # Timers.

    def _schedule_timer(self) -> None:
        if self._has_ended:
            return
        now_s = self._context.clock()
        due_s = self._last_answer_at_s
        if self._may_send():
            if not self._attempts:
                due_s = min(due_s, self._next_check_at_s(now_s))
            elif now_s < self._hedge_at_s:
                due_s = min(due_s, self._hedge_at_s)
            else:
                due_s = min(due_s, now_s + 2 * CAPACITY_CHECK_PERIOD_S)
        self._set_timer(due_s, self._on_timer)

    def _next_check_at_s(self, now_s: float) -> float:
        """Returns when to look again for a server with room."""
        check_at_s = now_s + CAPACITY_CHECK_PERIOD_S
        if self._refusal not in (SendRefusal.PAUSED, SendRefusal.LIMITED):
            return check_at_s
        available_at_s = self._context.sender.available_at_s(self._service)
        return min(
            now_s + PAUSE_CHECK_PERIOD_S, max(check_at_s, available_at_s)
        )

    def _on_timer(self) -> None:
        if self._has_ended:
            return
        now_s = self._context.clock()
        if now_s >= self._last_answer_at_s:
            self._answer_failure("the time is over", is_late=True)
            return
        if self._context.sender.is_cut_off and (
            self._is_retryable or not self._attempts
        ):
            self._answer_failure("no backend server can be reached")
            return
        if self._may_send():
            if not self._attempts:
                if not self._must_wait():
                    self._send_or_give_up(now_s)
            elif now_s >= self._hedge_at_s and self._may_hedge():
                self._send()
        self._schedule_timer()

    def _send_or_give_up(self, now_s: float) -> None:
        if not self._send() and now_s >= self._queue_until_s:
            self._answer_failure("no backend server has room")

    # Answers.

    def _end_condemned(self) -> None:
        if self._has_started():
            self._answer_failure(CONDEMNED)
        else:
            self._refuse_condemned()

    def _give_up(self) -> None:
        self._answer_failure(EXITING)

    def _to_caller_answer(self, reply: HttpReply) -> CallerAnswer:
        return to_caller_answer(
            reply,
            self._context.names,
            expects_body=self._job.template.expects_body,
        )

    def _answer_failure(
        self, reason: str, *, is_late: bool = False, min_delay_s: float = 0.0
    ) -> None:
        """Answers a request that failed.

        If no server can have run it, the answer is a refusal, which tells the
        caller that it was not run. Otherwise, a server's reply with an error
        status is passed on, unless its status says so too.
        """
        if self._has_ended:
            return
        self._may_have_run = self._has_started()
        if not self._may_have_run:
            self._refuse(reason, min_delay_s, **self._describe())
            return
        self._record_end("failed", reason=reason, **self._describe())
        may_have_run_elsewhere = self._has_unrefused or bool(self._attempts)
        if self._failure is not None and not (
            may_have_run_elsewhere
            and self._failure.status in caller_errors.SIZE_REFUSAL_STATUSES
        ):
            self._finish(self._to_caller_answer(self._failure))
        else:
            late = caller_errors.OUT_OF_TIME
            self._finish(late if is_late else caller_errors.INCOMPLETE_REPLY)

    def _describe(self) -> dict[str, object]:
        """Returns additional fields for the log line of the request."""
        fields: dict[str, object] = {
            "service": self._service,
            "sent_to": sorted(self._tried.sent_to),
        }
        if self._refusal is not None:
            fields["not_sent_again"] = self._refusal.value
        return fields

    def _close(self) -> None:
        super()._close()
        if self._urgency is not None:
            self._context.sender.withdraw(self._service, self._tried)

    def _cancel_attempts(self) -> None:
        for attempt in self._attempts:
            attempt.cancel()
        self._attempts.clear()
