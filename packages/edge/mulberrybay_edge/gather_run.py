"""One query over all shards of a route, from first sends to the answer.

Answers stragglers: with many shards nearly every query meets a replica that
pauses, so a second attempt goes out for shards that are late, and at the
target the answer goes out with the shards that are in, if they are enough.
"""

from mulberrybay_core import caller_errors
from mulberrybay_core.caller_messages import CallerAnswer
from mulberrybay_core.part_merge import Part, merge_parts
from mulberrybay_edge.run_context import (
    MAX_LOGGED_COUNT,
    ROOM_CHECK_PERIOD_S,
    Run,
    RunJob,
    RunTools,
)
from mulberrybay_edge.sending import (
    AttemptHandle,
    AttemptOutcome,
    AttemptResult,
    SendOrder,
    SendRefusal,
    TriedServers,
)


class _Shard:
    """What is known of one shard."""

    __slots__ = ("attempts", "hedge", "part", "refusal", "service", "tried")

    def __init__(self, service: str, max_server_count: int) -> None:
        self.service = service
        self.part: Part | None = None
        self.attempts: list[AttemptHandle] = []
        self.hedge: AttemptHandle | None = None
        # Why the last attempt that was due was not sent.
        self.refusal: SendRefusal | None = None
        self.tried = TriedServers(max_server_count)

    def describe(self) -> str:
        """Returns the service, the servers it was sent to, what held it."""
        servers = " ".join(sorted(self.tried.reached))
        held = f" ({self.refusal.value})" if self.refusal else ""
        return f"{self.service}: {servers}{held}"


class GatherRun(Run):
    """One query over shards."""

    kind = "gather"

    def __init__(self, tools: RunTools, job: RunJob) -> None:
        super().__init__(tools, job)
        max_server_count = job.route.max_server_count
        self._shards = [
            _Shard(service, max_server_count) for service in job.route.shards
        ]
        self._missing_count = len(self._shards)
        self._signatures: set[str] = set()
        self._answer_at_s = min(
            job.request.received_at_s + job.available_s(),
            self._last_answer_at_s,
        )
        self._hedge_count = 0

    def start(self) -> None:
        """Sends to every shard, or refuses if too few can be reached."""
        sender = self._tools.sender
        for shard in self._shards:
            sender.note_request(shard.service)
        reachable_count = sum(
            sender.has_server(shard.service) for shard in self._shards
        )
        if not self._is_enough(reachable_count):
            self._refuse("too few shards have a backend server")
            return
        for shard in self._shards:
            self._send(shard)
        self._arm()

    # Sending.

    def _send(self, shard: _Shard, *, is_hedge: bool = False) -> bool:
        job = self._job
        order = SendOrder(
            template=job.template,
            service=shard.service,
            history=job.history,
            deadline_at_s=self._deadline_at_s,
            tried=shard.tried,
            is_repeat=bool(shard.tried.reached),
            may_repeat=True,
        )

        def on_result(result: AttemptResult) -> None:
            self._on_result(shard, result)

        attempt = self._tools.sender.send(order, on_result)
        if isinstance(attempt, SendRefusal):
            shard.refusal = attempt
            return False
        shard.refusal = None
        if not attempt.is_finished:
            shard.tried.note_sent(attempt.server_id)
            shard.attempts.append(attempt)
        if is_hedge:
            shard.hedge = attempt
            self._hedge_count += 1
            self._tools.counts.hedge_count += 1
        return True

    def _may_send(self, shard: _Shard) -> bool:
        return not self._is_over and shard.part is None and shard.tried.may_send

    def _on_result(self, shard: _Shard, result: AttemptResult) -> None:
        shard.attempts = [
            attempt for attempt in shard.attempts if not attempt.is_finished
        ]
        shard.tried.note_end(result.server_id, has_arrived=result.has_arrived)
        if self._is_over or shard.part is not None:
            return
        if result.outcome is AttemptOutcome.OK and self._take(shard, result):
            return
        self._failures.append(
            f"{shard.service}/{result.server_id}: {result.detail}"
        )
        if self._may_send(shard) and not self._send(shard):
            self._arm()
        self._check_hopeless()

    def _take(self, shard: _Shard, result: AttemptResult) -> bool:
        """Takes a part; False if it has no signature of its own."""
        if result.reply is None:
            return False
        header = self._tools.names.signature.lower()
        signature = result.reply.headers.get(header, "")
        if not signature or signature in self._signatures:
            return False
        self._signatures.add(signature)
        shard.part = Part(signature, result.reply.body)
        self._missing_count -= 1
        hedge = shard.hedge
        if hedge is not None and hedge.server_id == result.server_id:
            self._tools.counts.hedge_win_count += 1
        for attempt in shard.attempts:
            attempt.cancel()
        shard.attempts.clear()
        if self._missing_count == 0:
            self._answer()
        elif self._tools.clock() >= self._answer_at_s:
            self._answer_if_enough()
        return True

    def _is_enough(self, count: int) -> bool:
        needed = self._job.route.min_coverage * len(self._shards)
        # Coverage is a fraction of shards; rounding must not ask for one more.
        return count > 0 and count >= needed - 1e-9

    def _check_hopeless(self) -> None:
        """Ends a query whose open shards can't be answered any more."""
        if self._is_over:
            return
        hopeful_count = 0
        for shard in self._shards:
            hopeful_count += self._is_hopeful(shard)
        taken_count = len(self._shards) - self._missing_count
        if hopeful_count == taken_count and self._is_enough(taken_count):
            self._answer()
        elif not self._is_enough(hopeful_count):
            self._fail(caller_errors.TOO_FEW_SHARDS, "too few shards replied")

    def _is_hopeful(self, shard: _Shard) -> bool:
        """Whether a shard is in or may still come in."""
        if shard.part is not None or shard.attempts:
            return True
        return self._may_send(shard) and self._tools.sender.has_server(
            shard.service
        )

    # Time.

    def _arm(self) -> None:
        """Sets the timer to the next moment at which something may be due."""
        if self._is_over:
            return
        now_s = self._tools.clock()
        due_s = self._last_answer_at_s
        if now_s < self._answer_at_s:
            due_s = min(due_s, self._answer_at_s)
        if any(
            not shard.attempts and self._may_send(shard)
            for shard in self._shards
        ):
            due_s = min(due_s, now_s + ROOM_CHECK_PERIOD_S)
        elif now_s < self._hedge_at_s:
            due_s = min(due_s, self._hedge_at_s)
        elif any(self._may_send(shard) for shard in self._shards):
            due_s = min(due_s, now_s + 2 * ROOM_CHECK_PERIOD_S)
        self._set_timer(due_s, self._on_timer)

    def _on_timer(self) -> None:
        if self._is_over:
            return
        now_s = self._tools.clock()
        if now_s >= self._last_answer_at_s:
            if not self._answer_if_enough():
                self._fail(caller_errors.OUT_OF_TIME, "the time is over")
            return
        if now_s >= self._answer_at_s and self._answer_if_enough():
            return
        for shard in self._shards:
            if not self._may_send(shard):
                continue
            if not shard.attempts:
                self._send(shard)
            elif now_s >= self._hedge_at_s:
                self._send(shard, is_hedge=True)
        self._arm()

    # The end.

    def _answer_if_enough(self) -> bool:
        if self._is_enough(len(self._shards) - self._missing_count):
            self._answer()
            return True
        return False

    def _answer(self) -> None:
        job, names = self._job, self._tools.names
        parts = [shard.part for shard in self._shards if shard.part is not None]
        answer = CallerAnswer(
            200,
            (
                (
                    names.part_signatures,
                    ", ".join(part.signature for part in parts),
                ),
                (names.missing_part_count, str(self._missing_count)),
            ),
            merge_parts(parts, job.route.top_hit_count),
        )
        outcome = "partial" if self._missing_count else "whole"
        self._tools.counts.missing_shard_count += self._missing_count
        self._note_end(outcome, **self._describe())
        self._finish(answer)

    def _fail(self, answer: CallerAnswer, reason: str) -> None:
        if not any(shard.tried.reached for shard in self._shards):
            self._refuse(reason)
            return
        self._note_end("failed", reason=reason, **self._describe())
        self._finish(answer)

    def _describe(self) -> dict[str, object]:
        """Returns the fields of the run's line in the log."""
        missing = [
            shard.describe() for shard in self._shards if shard.part is None
        ]
        return {
            "hedges": self._hedge_count,
            "missing": missing[:MAX_LOGGED_COUNT],
        }

    def _cancel_attempts(self) -> None:
        for shard in self._shards:
            for attempt in shard.attempts:
                attempt.cancel()
            shard.attempts.clear()
