"""Probes backend servers to notice that this node has lost all of them."""

import random
from collections.abc import Callable
from typing import Final

from mulberrybay_core.server_directory import ServerDirectory
from mulberrybay_core.server_reach import ServerReach
from mulberrybay_edge.decision_log import DecisionLog
from mulberrybay_edge.dispatcher import Dispatcher
from mulberrybay_edge.server_connections import ServerConnections
from mulberrybay_runtime.clock import read_clock_s
from mulberrybay_runtime.timers import Timers

CHECK_PERIOD_S: Final = 0.1


class ReachMonitor:
    """Feeds a `ServerReach` and carries out its probes.

    Attributes:
        probe_count: The connections opened as probes.
    """

    def __init__(
        self,
        reach: ServerReach,
        directory: ServerDirectory,
        dispatcher: Dispatcher,
        connections: ServerConnections,
        timers: Timers,
        log: DecisionLog,
        random_source: random.Random,
        may_be_advertised: Callable[[], bool],
        on_change: Callable[[], None],
    ) -> None:
        """Starts to observe connections.

        Args:
            reach: What the observations show.
            directory: The known backend servers.
            dispatcher: Tells how old requests in flight are.
            connections: Reports connections and opens those of probes.
            timers: Schedules the checks.
            log: The log of changes of this node's view.
            random_source: Chooses among servers that have not replied.
            may_be_advertised: Whether the node may soon be advertised.
            on_change: Called when servers are lost or reached again.
        """
        self._reach = reach
        self._directory = directory
        self._dispatcher = dispatcher
        self._connections = connections
        self._log = log
        self._random = random_source
        self._may_be_advertised = may_be_advertised
        self._on_change = on_change
        self._was_lost = False
        self.probe_count = 0
        connections.on_dial = self._record_dial
        timers.call_every(CHECK_PERIOD_S, self._check)

    def _record_dial(self, server_id: str, *, is_accepted: bool) -> None:
        if is_accepted:
            self._reach.record_accepted(read_clock_s())
        else:
            self._reach.record_failed(server_id)
        if self._reach.is_lost == self._was_lost:
            return
        self._was_lost = self._reach.is_lost
        self._log.log_view_change(
            "no backend server can be reached"
            if self._was_lost
            else "backend servers can be reached again",
            server=server_id,
        )
        self._on_change()

    def _check(self) -> None:
        now_s = read_clock_s()
        oldest_sent_at_s = (
            self._dispatcher.oldest_sent_at_s()
            if self._reach.is_quiet(now_s)
            else None
        )
        if not self._reach.should_probe(oldest_sent_at_s, now_s) and not (
            self._reach.is_idle(now_s) and self._may_be_advertised()
        ):
            return
        servers = {
            server.entry.server_id: server
            for server in self._directory.awake(now_s)
        }
        names = self._random.sample([*servers], len(servers))
        for server_id in self._reach.start_round(names, now_s):
            self.probe_count += 1
            self._connections.probe(server_id, servers[server_id].entry.address)
