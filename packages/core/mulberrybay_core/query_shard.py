"""The state of one shard of a query, and the answer built from shards."""

from collections.abc import Sequence
from typing import Final

from mulberrybay_core.attempts import AttemptOutcome, AttemptReply
from mulberrybay_core.errors import RunState
from mulberrybay_core.queries import QueryAnswer, ShardReply

UNSENT_OUTCOMES: Final = frozenset(
    {
        AttemptOutcome.NOT_HOLDER,
        AttemptOutcome.NOT_ALLOWED,
        AttemptOutcome.QUEUE_FULL,
    }
)


class QueryShard:
    """The state of one shard while a query is processed.

    Attributes:
        number: The shard number in the snapshot.
        service: The service whose backend servers are replicas of the shard.
        hits_json: The hits, as JSON; None until the shard has replied.
        open_attempt_ids: IDs of the open attempts.
        tried_server_ids: Backend servers that an attempt was sent to.
        retry_at_s: When to retry if no attempt is open; None if not due.
        hedge_at_s: When to hedge an open attempt; None if not due.
        failure_count: Failed attempts, for the delay before the next retry.
        may_have_been_reached: Whether a backend server may have received a
            request for this shard.
    """

    def __init__(self, number: int, service: str) -> None:
        self.number = number
        self.service = service
        self.hits_json: bytes | None = None
        self.open_attempt_ids: set[int] = set()
        self.tried_server_ids: set[str] = set()
        self.retry_at_s: float | None = None
        self.hedge_at_s: float | None = None
        self.failure_count = 0
        self.may_have_been_reached = False

    @property
    def due_at_s(self) -> float | None:
        """When a hedge is due; without open attempts, when a retry is due."""
        return self.hedge_at_s if self.open_attempt_ids else self.retry_at_s


def may_have_reached_server(reply: AttemptReply) -> bool:
    """Returns whether the backend server may have received the request."""
    failed_unsent = (
        reply.outcome is AttemptOutcome.CONNECTION_LOST
        and reply.run_state is RunState.NOT_RUN
    )
    return reply.outcome not in UNSENT_OUTCOMES and not failed_unsent


def build_answer(
    request_id: str,
    index_version: int,
    shards: Sequence[QueryShard],
    revision: int,
) -> QueryAnswer:
    """Builds the answer from the shards that have replied."""
    return QueryAnswer(
        request_id=request_id,
        index_version=index_version,
        shard_count=len(shards),
        shard_replies=tuple(
            ShardReply(shard.number, shard.hits_json)
            for shard in shards
            if shard.hits_json is not None
        ),
        missing_shards=tuple(
            shard.number for shard in shards if shard.hits_json is None
        ),
        revision=revision,
    )
