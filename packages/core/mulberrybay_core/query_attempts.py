"""Tracks the open attempts of one query.

An attempt is open from the time it is sent until its reply arrives or it is
abandoned. Replies also update the policies that the queries of a class share.
"""

from collections.abc import Iterable
from typing import NamedTuple

from mulberrybay_core.attempts import Attempt, AttemptOutcome, AttemptReply
from mulberrybay_core.errors import RunState
from mulberrybay_core.query_context import ClassPolicies
from mulberrybay_core.query_shard import QueryShard, may_have_reached_server


class SentAttempt(NamedTuple):
    """An attempt that has been sent and has not ended.

    Attributes:
        shard: The shard that it is for.
        server_id: The backend server that it was sent to.
        sent_at_s: When it was sent.
        is_extra: Whether it used a token of the extra-load budget.
    """

    shard: QueryShard
    server_id: str
    sent_at_s: float
    is_extra: bool


class OpenAttempts:
    """The open attempts of one query.

    Attributes:
        may_have_executed: Whether a backend server may have executed any of
            the attempts.
    """

    def __init__(self, policies: ClassPolicies) -> None:
        self._policies = policies
        self._sent: dict[int, SentAttempt] = {}
        self.may_have_executed = False

    @property
    def is_empty(self) -> bool:
        """Whether no attempt is open."""
        return not self._sent

    def add(
        self, attempt: Attempt, shard: QueryShard, now_s: float, is_extra: bool
    ) -> None:
        """Records that an attempt is sent."""
        server_id = attempt.server_id
        self._sent[attempt.attempt_id] = SentAttempt(
            shard, server_id, now_s, is_extra
        )
        shard.open_attempt_ids.add(attempt.attempt_id)
        shard.tried_server_ids.add(server_id)
        self._policies.replica_policy.on_sent(server_id)
        self._policies.waits.on_sent(server_id)

    def record_end(
        self, reply: AttemptReply, now_s: float
    ) -> SentAttempt | None:
        """Records the end of an attempt; returns None if it is not open."""
        sent = self._sent.pop(reply.attempt_id, None)
        if sent is None:
            return None
        if reply.run_state is not RunState.NOT_RUN:
            self.may_have_executed = True
        self._policies.replica_policy.on_ended(reply.server_id)
        self._policies.waits.on_reply(reply, now_s)
        if reply.outcome is AttemptOutcome.OK:
            self._policies.hedging.on_latency(now_s - sent.sent_at_s)
        sent.shard.may_have_been_reached |= may_have_reached_server(reply)
        sent.shard.open_attempt_ids.discard(reply.attempt_id)
        return sent

    def abandon(
        self, attempt_ids: Iterable[int], now_s: float
    ) -> tuple[int, ...]:
        """Abandons open attempts; returns the IDs to cancel."""
        abandoned_ids = tuple(attempt_ids)
        for attempt_id in abandoned_ids:
            self._abandon_one(attempt_id, now_s)
        return abandoned_ids

    def abandon_all(self, now_s: float) -> tuple[int, ...]:
        """Abandons all open attempts; see `abandon`."""
        return self.abandon(self._sent, now_s)

    def _abandon_one(self, attempt_id: int, now_s: float) -> None:
        sent = self._sent.pop(attempt_id)
        self.may_have_executed = True
        sent.shard.open_attempt_ids.discard(attempt_id)
        self._policies.replica_policy.on_ended(sent.server_id)
        age_s = now_s - sent.sent_at_s
        self._policies.waits.on_cancelled(sent.server_id, age_s, now_s)
        if not sent.is_extra:
            # The attempt would have taken at least `age_s`. Without this
            # sample, slow attempts would be missing from the latencies that
            # the hedge delay is computed from.
            self._policies.hedging.on_latency(age_s)

    def busy_server_ids(self, shard: QueryShard) -> set[str]:
        """Returns the servers with an open attempt for a shard."""
        return {
            self._sent[attempt_id].server_id
            for attempt_id in shard.open_attempt_ids
        }

    def oldest_sent_at_s(self, shard: QueryShard) -> float | None:
        """Returns when a shard's oldest open attempt was sent; None if none."""
        return min(
            (
                self._sent[attempt_id].sent_at_s
                for attempt_id in shard.open_attempt_ids
            ),
            default=None,
        )
