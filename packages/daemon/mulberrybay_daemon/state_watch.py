"""Logs changes of a node's state, which it compares several times a second."""

from typing import Final

from mulberrybay_core.state_changes import NodeState, find_changes
from mulberrybay_daemon.node_parts import NodeParts
from mulberrybay_runtime.clock import read_clock_s
from mulberrybay_runtime.logs import StructuredLog

WATCH_PERIOD_S: Final = 0.2


class StateWatch:
    """Reads the state of the components and logs its changes."""

    def __init__(self, parts: NodeParts, log: StructuredLog) -> None:
        self._parts = parts
        self._log = log
        self._last_state = NodeState()

    def start(self) -> None:
        """Starts the periodic comparison."""
        self._parts.timers.call_every(WATCH_PERIOD_S, self.log_changes)

    def log_changes(self) -> None:
        """Logs the changes since the last call."""
        state = self._read()
        for change in find_changes(self._last_state, state):
            log = self._log.warning if change.is_warning else self._log.info
            fields = {"step": change.step, "peer": change.peer}
            if change.detail:
                fields["detail"] = change.detail
            log(change.message, **fields)
        # While claims are pending, the number of held servers still changes;
        # the change is logged once none is pending.
        if state.claiming_count:
            state = state._replace(held_count=self._last_state.held_count)
        self._last_state = state

    def _read(self) -> NodeState:
        parts = self._parts
        now_s = read_clock_s()
        membership = parts.membership
        live = membership.live_nodes(now_s)
        configuration = parts.configuration.current
        return NodeState(
            has_lease=membership.has_lease(now_s),
            epoch=membership.epoch,
            last_epoch_end=membership.last_epoch_end,
            is_platform_failing=parts.store.is_failing,
            live_peer_ids=frozenset(info.node_id for info in live[1:]),
            out_domains=configuration.out_domains,
            out_servers=configuration.out_servers,
            held_count=parts.held_count(),
            claiming_count=parts.claiming_count(),
        )
