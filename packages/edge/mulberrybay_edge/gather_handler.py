"""Gathers the replies of all shards of a route to answer one query.

With many shards, nearly every query meets a replica that pauses. A late shard
therefore gets a second attempt (hedge), and at the target latency the query is
answered with the shard replies received so far, if coverage is sufficient.
"""

import math
from typing import Final

from mulberrybay_core import caller_errors
from mulberrybay_core.caller_messages import CallerAnswer
from mulberrybay_core.fatal_requests import CONDEMNED_COUNT
from mulberrybay_core.overload.admission import enough_wait_s
from mulberrybay_core.pause_wait import can_wait, enough_available_at_s
from mulberrybay_core.shard_merge import (
    ShardReply,
    merge_shard_replies,
    trim_shard_reply,
)
from mulberrybay_core.suspect_turns import MAX_SILENCE_S
from mulberrybay_edge.request_context import (
    CAPACITY_CHECK_PERIOD_S,
    CONDEMNED,
    EXITING,
    HELD_CHECK_PERIOD_S,
    MAX_LOGGED_COUNT,
    HandlerContext,
    RequestHandler,
    RequestJob,
)
from mulberrybay_edge.sending import (
    AttemptHandle,
    AttemptOutcome,
    AttemptResult,
    AttemptSpec,
    SendRefusal,
    TriedServers,
)
from mulberrybay_runtime.timers import Timer

# The most of the target latency that is allowed for a caller's lookup.
MAX_LOOKUP_RATIO: Final = 0.2


class _Shard:
    """The state of a query for one shard."""

    __slots__ = ("attempts", "hedge", "refusal", "reply", "service", "tried")

    def __init__(self, service: str, max_server_count: int) -> None:
        self.service = service
        self.reply: ShardReply | None = None
        self.attempts: list[AttemptHandle] = []
        self.hedge: AttemptHandle | None = None
        # Why the last due attempt was not sent; None if it was sent.
        self.refusal: SendRefusal | None = None
        self.tried = TriedServers(max_server_count)

    def describe(self) -> str:
        """Describes the service, the servers tried and why sending stopped."""
        servers = " ".join(sorted(self.tried.sent_to))
        refusal = f" ({self.refusal.value})" if self.refusal else ""
        return f"{self.service}: {servers}{refusal}"


class GatherHandler(RequestHandler):
    """Handles a query over all shards of a route."""

    kind = "gather"

    def __init__(self, context: HandlerContext, job: RequestJob) -> None:
        super().__init__(context, job)
        max_server_count = job.route.max_server_count
        self._shards = [
            _Shard(service, max_server_count) for service in job.route.shards
        ]
        self._missing_count = len(self._shards)
        self._signatures: set[str] = set()
        self._answer_at_s = min(
            job.request.received_at_s + job.latency_budget_s(),
            self._last_answer_at_s,
        )
        # From when on the answer may leave, if its coverage outweighs that the
        # caller may have looked up addresses before.
        self._early_at_s = self._answer_at_s - min(
            job.timing.lookup_s if job.timing.lookup_share else 0.0,
            MAX_LOOKUP_RATIO * job.route.target_latency_s,
        )
        self._prompt_timers: list[Timer] = []
        self._hedge_count = 0
        # Whether a shard was paused, or the limits of its servers used up.
        self._has_waiting_shard = False
        # Whether any backend server may have received the query.
        self._may_have_run = False
        # Whether shards were left out because servers crashed.
        self._was_careful = False
        self._crash_count = 0
        self._last_sent_at_s = job.request.received_at_s

    def start(self) -> None:
        """Sends the query to all shards.

        Refuses it if too few shards for its coverage have a backend server
        that accepts requests in time.
        """
        sender = self._context.sender
        for shard in self._shards:
            sender.record_request(shard.service, self._urgency)
        available_at_s_list = [
            sender.available_at_s(shard.service) for shard in self._shards
        ]
        available_at_s = enough_available_at_s(
            available_at_s_list, self._needed_count()
        )
        if math.isinf(available_at_s):
            self._refuse("too few shards have a backend server")
            return
        now_s = self._context.clock()
        limited_count = sum(
            sender.is_limited(shard.service)
            for shard, at_s in zip(
                self._shards, available_at_s_list, strict=True
            )
            if at_s > now_s
        )
        if not self._is_enough(len(self._shards) - limited_count):
            # Sent to the other shards, the query would only use up their limits.
            self._refuse(
                "the rate limits of too many shards are used up",
                available_at_s - self._context.clock(),
            )
            return
        if not self._is_in_time(available_at_s, self._last_answer_at_s):
            self._refuse(
                "too many shards have asked for a pause",
                available_at_s - self._context.clock(),
            )
            return
        if self._is_refused_as_late(now_s):
            return
        self._send_first_attempts()
        self._schedule_prompt_timers()
        self._schedule_timer()

    def _is_refused_as_late(self, now_s: float) -> bool:
        """Refuses the query if too many shards have too long queues."""
        if self._urgency is None:
            return False
        sender = self._context.sender
        wait_s = enough_wait_s(
            [sender.expected_wait_s(shard.service) for shard in self._shards],
            self._needed_count(),
        )
        late_s = (
            now_s
            + wait_s
            + self._job.history.typical_latency_s()
            - self._last_answer_at_s
        )
        if not sender.refuses(self._urgency, is_late=late_s > 0 and wait_s > 0):
            return False
        self._refuse("too many shards have too long queues", late_s)
        return True

    # Sending.

    def _is_careful(self) -> bool:
        """Whether to send the query to one server at a time.

        That is so from the first crash under it until a shard has replied.
        """
        return self._missing_count == len(self._shards) and self._needs_care()

    def _send_first_attempts(self) -> None:
        """Sends the query to each shard that it was not sent to yet."""
        if self._is_careful():
            self._send_to_one()
            return
        self._was_careful = False
        for shard in self._shards:
            if not shard.attempts and self._may_send(shard):
                self._send(shard)
                # The answers of other queries needn't wait for all shards.
                self._context.timers.run_prompt()

    def _send_to_one(self) -> None:
        """Sends the query to one server, unless one may still reply."""
        self._was_careful = True
        now_s = self._context.clock()
        may_reply = any(shard.attempts for shard in self._shards) and (
            now_s < self._last_sent_at_s + MAX_SILENCE_S
        )
        if may_reply or self._must_wait():
            return
        for shard in self._in_own_order():
            if self._may_send(shard) and self._send(shard):
                self._last_sent_at_s = now_s
                return

    def _in_own_order(self) -> list[_Shard]:
        """Returns the shards, from one on that differs by the request.

        Other nodes may try other requests that met this one at a server that
        crashed.
        """
        first = int.from_bytes(self._identity) % len(self._shards)
        return self._shards[first:] + self._shards[:first]

    def on_crash(self) -> None:
        """Takes the query back from the other servers after several crashes."""
        self._crash_count += 1
        in_flight_count = sum(len(shard.attempts) for shard in self._shards)
        if (
            self._crash_count < CONDEMNED_COUNT
            or in_flight_count < 2
            or not self._is_careful()
        ):
            return
        for shard in self._shards:
            for attempt in shard.attempts:
                attempt.cancel()
                shard.tried.record_end(attempt.server_id, has_arrived=True)
                self._may_have_run = self._may_have_run or attempt.is_sent
            shard.attempts.clear()

    def _has_started(self) -> bool:
        return self._may_have_run or any(
            attempt.is_sent
            for shard in self._shards
            for attempt in shard.attempts
        )

    def _send(self, shard: _Shard, *, is_hedge: bool = False) -> bool:
        if self._is_denied():
            return False
        job = self._job
        spec = AttemptSpec(
            template=job.template,
            service=shard.service,
            history=job.history,
            deadline_at_s=self._deadline_at_s,
            tried=shard.tried,
            is_retry=bool(shard.tried.sent_to),
            is_retryable=True,
            avoided_ids=self._avoided_servers(),
            may_start=job.access.may_start if job.access is not None else None,
            route_name=job.route.name,
            urgency=self._urgency,
            resume=None if is_hedge else lambda: self._resume(shard),
        )

        def on_result(result: AttemptResult) -> None:
            self._on_result(shard, result)

        attempt = self._context.sender.send(spec, on_result)
        if isinstance(attempt, SendRefusal):
            shard.refusal = attempt
            if attempt in (SendRefusal.PAUSED, SendRefusal.LIMITED):
                self._has_waiting_shard = True
            return False
        shard.refusal = None
        if not attempt.is_finished:
            shard.tried.record_sent(attempt.server_id)
            shard.attempts.append(attempt)
            self._begin_turn(attempt.server_id)
        if is_hedge:
            shard.hedge = attempt
            self._hedge_count += 1
            self._context.counts.hedge_count += 1
        return True

    def _resume(self, shard: _Shard) -> None:
        """Sends a query to a shard that may have room for it now."""
        if self._may_send(shard) and not shard.attempts:
            if not self._is_careful():
                self._send(shard)
        else:
            self._context.sender.withdraw(shard.service, shard.tried)

    def _may_send(self, shard: _Shard) -> bool:
        return (
            not self._has_ended and shard.reply is None and shard.tried.may_send
        )

    def _on_result(self, shard: _Shard, result: AttemptResult) -> None:
        shard.attempts = [
            attempt for attempt in shard.attempts if not attempt.is_finished
        ]
        shard.tried.record_end(result.server_id, has_arrived=result.has_arrived)
        self._end_turn()
        if result.has_arrived and result.outcome is not AttemptOutcome.NOT_RUN:
            self._may_have_run = True
        if self._has_ended or shard.reply is not None:
            return
        if result.outcome is AttemptOutcome.OK and self._accept_reply(
            shard, result
        ):
            return
        self._failures.append(
            f"{shard.service}/{result.server_id}: {result.detail}"
        )
        if self._is_careful():
            self._send_to_one()
            self._schedule_timer()
        elif self._may_send(shard) and not self._send(shard):
            self._schedule_timer()
        self._check_completion()

    def _accept_reply(self, shard: _Shard, result: AttemptResult) -> bool:
        """Accepts a shard reply.

        Returns:
            False if its signature is missing or equals that of another shard.
        """
        if result.reply is None:
            return False
        header = self._context.names.signature.lower()
        signature = result.reply.headers.get(header, "")
        if not signature or signature in self._signatures:
            return False
        self._signatures.add(signature)
        # The rest isn't held while other shards are awaited.
        shard.reply = trim_shard_reply(
            ShardReply(signature, result.reply.body),
            self._job.route.top_hit_count,
        )
        self._missing_count -= 1
        hedge = shard.hedge
        if hedge is not None and hedge.server_id == result.server_id:
            self._context.counts.hedge_win_count += 1
        for attempt in shard.attempts:
            attempt.cancel()
        shard.attempts.clear()
        if self._missing_count == 0:
            self._answer()
        elif self._context.clock() >= self._answer_at_s:
            self._answer_if_enough()
        elif self._context.clock() >= self._early_at_s:
            self._answer_if_early()
        elif self._has_waiting_shard:
            self._check_completion()
        if self._was_careful and not self._has_ended:
            self._send_first_attempts()
            self._schedule_timer()
        return True

    def _needed_count(self) -> int:
        needed = self._job.route.min_coverage * len(self._shards)
        # The tolerance keeps a rounding error from requiring one more shard.
        return max(1, math.ceil(needed - 1e-9))

    def _is_enough(self, count: int) -> bool:
        return count >= self._needed_count()

    def _is_in_time(self, available_at_s: float, answer_at_s: float) -> bool:
        """Whether a shard that accepts requests from a time on can reply."""
        return available_at_s <= self._context.clock() or can_wait(
            available_at_s,
            self._job.history.typical_latency_s(),
            answer_at_s,
        )

    def _check_completion(self) -> None:
        """Ends the query if waiting can't improve its result.

        It is answered if no missing shard can reply any more, and fails if
        too few shards can.
        """
        if self._has_ended:
            return
        reply_count = len(self._shards) - self._missing_count
        # With enough replies, the query is answered at the target latency.
        answer_at_s = (
            self._answer_at_s
            if self._is_enough(reply_count)
            else self._last_answer_at_s
        )
        possible_count = 0
        for shard in self._shards:
            possible_count += self._can_reply(shard, answer_at_s)
        if possible_count == reply_count and self._is_enough(reply_count):
            self._answer()
        elif not self._is_enough(possible_count):
            self._fail(caller_errors.TOO_FEW_SHARDS, "too few shards replied")

    def _can_reply(self, shard: _Shard, answer_at_s: float) -> bool:
        """Whether a shard has replied or may still reply before a time."""
        if shard.reply is not None or shard.attempts:
            return True
        return self._may_send(shard) and self._is_in_time(
            self._context.sender.available_at_s(shard.service), answer_at_s
        )

    # Timers.

    def _schedule_prompt_timers(self) -> None:
        """Schedules the answer, apart from what may wait for replies.

        Few queries need it on a node with some load, so the lateness of such
        timers is also observed once before.
        """
        if self._has_ended:
            return
        self._prompt_timers = [
            self._context.timers.call_promptly_at(due_s, callback)
            for due_s, callback in (
                (self._hedge_at_s, self._observe_hedge_time),
                (self._early_at_s, self._answer_if_early),
                (self._answer_at_s, self._on_answer_due),
            )
        ]

    def _observe_hedge_time(self) -> None:
        self._observe_lateness(self._hedge_at_s)

    def _observe_lateness(self, due_s: float) -> None:
        now_s = self._context.clock()
        self._context.answer_reserve.record_lateness(now_s - due_s, now_s)

    def _on_answer_due(self) -> None:
        if not self._has_ended:
            self._observe_lateness(self._answer_at_s)
            self._answer_if_enough()

    def _schedule_timer(self) -> None:
        """Schedules the next check for attempts or an answer that is due."""
        if self._has_ended:
            return
        if not any(shard.attempts for shard in self._shards):
            self._give_back_unsent()
        now_s = self._context.clock()
        due_s = self._last_answer_at_s
        if now_s < self._answer_at_s:
            due_s = min(due_s, self._answer_at_s)
        if any(
            not shard.attempts and self._may_send(shard)
            for shard in self._shards
        ):
            due_s = min(due_s, self._next_check_at_s(now_s))
        elif now_s < self._hedge_at_s:
            due_s = min(due_s, self._hedge_at_s)
        elif any(self._may_send(shard) for shard in self._shards):
            due_s = min(due_s, now_s + 2 * CAPACITY_CHECK_PERIOD_S)
        self._set_timer(due_s, self._on_timer)

    def _next_check_at_s(self, now_s: float) -> float:
        """Returns when to look again for servers with room."""
        is_held = self._urgency is not None and all(
            shard.refusal is SendRefusal.HELD
            for shard in self._shards
            if not shard.attempts and self._may_send(shard)
        )
        if self._urgency is None or not is_held:
            return now_s + CAPACITY_CHECK_PERIOD_S
        return min(
            now_s + HELD_CHECK_PERIOD_S,
            max(now_s, self._urgency.hold_until_s),
        )

    def _on_timer(self) -> None:
        if self._has_ended:
            return
        now_s = self._context.clock()
        if now_s >= self._last_answer_at_s:
            if not self._answer_if_enough():
                self._fail(caller_errors.OUT_OF_TIME, "the time is over")
            return
        if now_s >= self._answer_at_s and self._answer_if_enough():
            return
        if self._context.sender.is_cut_off:
            self._fail(
                caller_errors.TOO_FEW_SHARDS, "no backend server can be reached"
            )
            return
        self._send_due(now_s)
        self._schedule_timer()

    def _send_due(self, now_s: float) -> None:
        if self._is_careful():
            self._send_to_one()
            return
        for shard in self._shards:
            is_hedge = bool(shard.attempts)
            if not self._may_send(shard) or (
                is_hedge and now_s < self._hedge_at_s
            ):
                continue
            self._send(shard, is_hedge=is_hedge)
            self._context.timers.run_prompt()

    # Answers.

    def _answer_if_enough(self) -> bool:
        if self._is_enough(len(self._shards) - self._missing_count):
            self._answer()
            return True
        return False

    def _answer_if_early(self) -> None:
        """Answers before the due time if that serves more callers in time."""
        if self._has_ended:
            return
        reply_count = len(self._shards) - self._missing_count
        coverage = reply_count / len(self._shards)
        if self._is_enough(reply_count) and self._job.timing.is_worth_leaving(
            coverage
        ):
            self._answer()

    def _answer(self) -> None:
        started_at_s = self._context.clock()
        job, names = self._job, self._context.names
        replies = [
            shard.reply for shard in self._shards if shard.reply is not None
        ]
        answer = CallerAnswer(
            200,
            (
                (
                    names.shard_reply_signatures,
                    ", ".join(reply.signature for reply in replies),
                ),
                (names.missing_shard_count, str(self._missing_count)),
            ),
            merge_shard_replies(replies, job.route.top_hit_count),
        )
        outcome = "partial" if self._missing_count else "whole"
        self._context.counts.missing_shard_count += self._missing_count
        self._record_end(outcome, **self._describe())
        self._finish(answer)
        now_s = self._context.clock()
        self._context.answer_reserve.record_work(
            now_s - started_at_s, len(self._shards), now_s
        )

    def _end_condemned(self) -> None:
        if self._has_started():
            self._fail(caller_errors.TOO_FEW_SHARDS, CONDEMNED)
        else:
            self._refuse_condemned()

    def _give_up(self) -> None:
        if not self._answer_if_enough():
            self._fail(caller_errors.TOO_FEW_SHARDS, EXITING)

    def _fail(self, answer: CallerAnswer, reason: str) -> None:
        if not self._has_started():
            self._refuse(reason)
            return
        self._record_end("failed", reason=reason, **self._describe())
        self._finish(answer)

    def _describe(self) -> dict[str, object]:
        """Returns additional fields for the log line of the query."""
        missing = [
            shard.describe() for shard in self._shards if shard.reply is None
        ]
        return {
            "hedges": self._hedge_count,
            "missing": missing[:MAX_LOGGED_COUNT],
        }

    def _close(self) -> None:
        super()._close()
        for timer in self._prompt_timers:
            timer.cancel()
        if self._urgency is not None:
            for shard in self._shards:
                if shard.refusal is not None:
                    self._context.sender.withdraw(shard.service, shard.tried)

    def _cancel_attempts(self) -> None:
        for shard in self._shards:
            for attempt in shard.attempts:
                attempt.cancel()
            shard.attempts.clear()
