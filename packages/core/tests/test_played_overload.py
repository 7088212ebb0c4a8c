"""Played loads on one backend server: which queries are refused."""

import heapq
import itertools
import random
from collections import deque
from typing import Final

import pytest

from mulberrybay_core.addresses import Address
from mulberrybay_core.attempts import (
    Attempt,
    AttemptOutcome,
    AttemptReply,
    ServerLoad,
)
from mulberrybay_core.configuration import Targets
from mulberrybay_core.errors import RunState
from mulberrybay_core.extra_load import ExtraLoadBudget
from mulberrybay_core.fleet import BackendServer, Fleet
from mulberrybay_core.hedging import FixedHedging
from mulberrybay_core.overload_episode import OverloadEpisode
from mulberrybay_core.queries import QueryRequest
from mulberrybay_core.query_context import ClassPolicies, QueryContext
from mulberrybay_core.query_execution import QueryExecution
from mulberrybay_core.replica_choice import LeastExpectedWait
from mulberrybay_core.server_waits import ServerWaits
from mulberrybay_core.snapshot import IndexSnapshot
from mulberrybay_core.snapshot_catalog import SnapshotCatalog

TARGETS: Final = Targets(250.0, 99.0, 50.0, 5.0)
SERVICE_S: Final = 0.02
SERVER: Final = BackendServer(
    "a", "d1", Address("127.0.0.1", 1), "s0", 1, 0, "live"
)


class _PlayedServer:
    """A coordinator with one server, which runs one query at a time.

    Attributes:
        latencies_s: How long the answered queries took.
        refused_count: Queries that were refused.
    """

    def __init__(self, paused_from_s: float, paused_until_s: float) -> None:
        self._paused_from_s = paused_from_s
        self._paused_until_s = paused_until_s
        waits = ServerWaits()
        sequence = itertools.count()
        catalog = SnapshotCatalog()
        catalog.set_snapshots("c", (IndexSnapshot("c", 1, ("s0",)),))
        self._context = QueryContext(
            targets=TARGETS,
            revision=1,
            fleet=Fleet((), [SERVER]),
            catalog=catalog,
            may_use=lambda *_: True,
            next_attempt_id=lambda: next(sequence),
            policies=ClassPolicies(
                LeastExpectedWait(random.Random(1), waits),
                FixedHedging(1.0),
                ExtraLoadBudget(),
                waits,
                OverloadEpisode(),
            ),
        )
        self._queue: deque[tuple[float, QueryExecution, Attempt]] = deque()
        self._free_at_s = 0.0
        self.latencies_s: list[float] = []
        self.refused_count = 0

    def play(self, arrivals_s: list[float]) -> None:
        """Sends queries and runs them until none is left."""
        heapq.heapify(arrivals_s)
        while arrivals_s or self._queue:
            ends_at_s = self._next_end_s()
            if arrivals_s and (not self._queue or arrivals_s[0] < ends_at_s):
                self._send(heapq.heappop(arrivals_s))
            else:
                self._end_first(ends_at_s)

    def _next_end_s(self) -> float:
        if not self._queue:
            return 0.0
        begins_at_s = max(self._free_at_s, self._queue[0][0])
        if self._paused_from_s <= begins_at_s < self._paused_until_s:
            begins_at_s = self._paused_until_s
        return begins_at_s + SERVICE_S

    def _send(self, now_s: float) -> None:
        request = QueryRequest("r", "c", "d1", now_s + 1.0, now_s, b"{}")
        execution = QueryExecution(request, self._context)
        attempts = execution.start(now_s).attempts
        if not attempts:
            self.refused_count += 1
            return
        self._queue.append((now_s, execution, attempts[0]))

    def _end_first(self, now_s: float) -> None:
        received_at_s, execution, attempt = self._queue.popleft()
        self._free_at_s = now_s
        reply = AttemptReply(
            attempt.attempt_id,
            SERVER.server_id,
            AttemptOutcome.OK,
            RunState.RAN,
            body=b"[]",
            service_time_ms=SERVICE_S * 1000,
            load=ServerLoad(0, len(self._queue), 1),
        )
        execution.on_reply(reply, now_s)
        self.latencies_s.append(now_s - received_at_s)

    def late_percent(self) -> float:
        """Returns the percentage of answers that were late."""
        lateness_s = TARGETS.lateness_ms / 1000
        late_count = sum(
            latency_s > lateness_s for latency_s in self.latencies_s
        )
        return 100 * late_count / len(self.latencies_s)


@pytest.mark.parametrize("pause_s", [0.1, 0.15, 0.2])
def test_queries_behind_a_queue_that_a_pause_has_left_are_answered_in_time(
    pause_s: float,
) -> None:
    source = random.Random(1)
    played = _PlayedServer(paused_from_s=5.0, paused_until_s=5.0 + pause_s)
    played.play([source.uniform(0.0, 10.0) for _ in range(200)])
    assert played.refused_count == 0
    assert played.late_percent() <= 100 - TARGETS.lateness_percent


@pytest.mark.parametrize("overload_ratio", [1.5, 2.0, 4.0])
def test_queries_beyond_what_the_server_can_do_are_refused_not_answered_late(
    overload_ratio: float,
) -> None:
    source = random.Random(1)
    capacity_count = 10.0 / SERVICE_S
    sent_count = int(overload_ratio * capacity_count)
    played = _PlayedServer(paused_from_s=0.0, paused_until_s=0.0)
    played.play([source.uniform(0.0, 10.0) for _ in range(sent_count)])
    assert played.late_percent() <= 100 - TARGETS.lateness_percent
    assert len(played.latencies_s) >= 0.9 * capacity_count
