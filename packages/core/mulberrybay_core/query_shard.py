"""One shard of a query, and the answer from those that have replied."""

from collections.abc import Sequence
from typing import Final

from mulberrybay_core.attempts import AttemptOutcome, AttemptReply
from mulberrybay_core.errors import RunState
from mulberrybay_core.queries import QueryAnswer, ShardHits

UNSENT_OUTCOMES: Final = frozenset(
    {
        AttemptOutcome.NOT_HOLDER,
        AttemptOutcome.NOT_ALLOWED,
        AttemptOutcome.QUEUE_FULL,
    }
)


class QueryShard:
    """One shard of the query's snapshot."""

    def __init__(self, number: int, service: str) -> None:
        self.number = number
        self.service = service
        self.hits_json: bytes | None = None
        self.open_ids: set[int] = set()
        self.tried_ids: set[str] = set()
        self.retry_at_s: float | None = None
        self.hedge_at_s: float | None = None
        self.failure_count = 0
        # Whether a backend server may have got a request for this shard.
        self.was_reached = False

    @property
    def due_at_s(self) -> float | None:
        """When a hedge or, without open attempts, a retry is due."""
        return self.hedge_at_s if self.open_ids else self.retry_at_s


def reached_server(reply: AttemptReply) -> bool:
    """Returns whether the backend server may have got the request."""
    was_lost_unsent = (
        reply.outcome is AttemptOutcome.CONNECTION_LOST
        and reply.run_state is RunState.NOT_RUN
    )
    return reply.outcome not in UNSENT_OUTCOMES and not was_lost_unsent


def build_answer(
    request_id: str,
    index_version: int,
    shards: Sequence[QueryShard],
    revision: int,
) -> QueryAnswer:
    """Returns the answer from the shards that have replied."""
    return QueryAnswer(
        request_id=request_id,
        index_version=index_version,
        shard_count=len(shards),
        parts=tuple(
            ShardHits(shard.number, shard.hits_json)
            for shard in shards
            if shard.hits_json is not None
        ),
        missing_shards=tuple(
            shard.number for shard in shards if shard.hits_json is None
        ),
        revision=revision,
    )
