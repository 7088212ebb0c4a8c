"""Chooses the replicas for the attempts of one query.

`query_execution` decides when an attempt is sent. This module decides which
backend server gets it, from the node's current view of the fleet.
"""

import math
from collections.abc import Iterable, Sequence, Set
from typing import NamedTuple

from mulberrybay_core.admission import required_delay_s
from mulberrybay_core.fleet import BackendServer
from mulberrybay_core.queries import QueryRequest
from mulberrybay_core.query_context import QueryContext
from mulberrybay_core.query_shard import QueryShard
from mulberrybay_core.snapshot import IndexSnapshot


class ShardReplicas(NamedTuple):
    """A shard and the backend servers that may get attempts for it now."""

    shard: QueryShard
    servers: Sequence[BackendServer]


class QueryReplicas:
    """The replicas of the snapshot that a query uses."""

    def __init__(
        self,
        request: QueryRequest,
        context: QueryContext,
        snapshot: IndexSnapshot,
    ) -> None:
        self._request = request
        self._context = context
        self.snapshot = snapshot

    def find_usable(self, shard: QueryShard, now_s: float) -> ShardReplicas:
        """Returns the replicas that are in service and have the snapshot."""
        may_use = self._context.may_use
        lacks_version = self._context.catalog.lacks_version
        class_name, index_version, _ = self.snapshot
        servers = [
            server
            for server in self._context.fleet.replicas(shard.service)
            if may_use(server, now_s)
            and not lacks_version(
                class_name, server.server_id, index_version, now_s
            )
        ]
        return ShardReplicas(shard, servers)

    def has_replica_in_service(
        self, shards: Iterable[QueryShard], now_s: float
    ) -> bool:
        """Returns whether any of the shards has a replica in service."""
        return any(
            self._context.may_use(server, now_s)
            for shard in shards
            for server in self._context.fleet.replicas(shard.service)
        )

    def record_missing(self, server_id: str, now_s: float) -> None:
        """Records that a server reported that it lacks the snapshot."""
        self._context.catalog.record_missing(
            self.snapshot.class_name,
            server_id,
            self.snapshot.index_version,
            now_s,
        )

    def choose(
        self, replicas: ShardReplicas, busy_server_ids: Set[str], now_s: float
    ) -> BackendServer | None:
        """Returns the replica for an attempt; None if there is none.

        Args:
            replicas: The shard and its usable replicas.
            busy_server_ids: The servers with an open attempt for the shard.
            now_s: The current time.
        """
        shard, servers = replicas
        candidates = servers
        if shard.tried_server_ids:
            untried = [
                s for s in servers if s.server_id not in shard.tried_server_ids
            ]
            not_busy = [
                s for s in servers if s.server_id not in busy_server_ids
            ]
            candidates = untried or not_busy
        if not candidates:
            return None
        return self._context.policies.replica_policy.choose(
            candidates, self._request.failure_domain, now_s
        )

    def required_delay_s(
        self,
        replicas: Sequence[ShardReplicas],
        now_s: float,
        max_wait_ratio: float,
    ) -> float:
        """Returns the delay before a retry; 0 if the query may be sent now."""
        estimate = self._context.policies.waits.estimate
        estimates = [
            min(estimate(server.server_id, now_s) for server in servers)
            for _, servers in replicas
            if servers
        ]
        targets = self._context.targets
        return required_delay_s(
            estimates,
            math.ceil(len(replicas) * targets.coverage_percent / 100),
            self._request.received_at_s + targets.lateness_ms / 1000 - now_s,
            self._request.deadline_at_s - now_s,
            max_wait_ratio,
        )
