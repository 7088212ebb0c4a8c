"""Checks the health of held backend servers that have not replied lately."""

from typing import Final

from mulberrybay_backends.health import HealthConnections
from mulberrybay_core.fleet import BackendServer, Fleet
from mulberrybay_core.holdings import Holdings
from mulberrybay_daemon.leaving import LeavingServers
from mulberrybay_runtime.clock import read_clock_s
from mulberrybay_runtime.timers import Timers

TICK_PERIOD_S: Final = 0.25
CHECK_PERIOD_S: Final = 0.75


class HealthTask:
    """Checks each server without recent replies about once a second."""

    def __init__(
        self,
        holdings: Holdings,
        leaving_servers: LeavingServers,
        connections: HealthConnections,
        timers: Timers,
    ) -> None:
        self._holdings = holdings
        self._leaving_servers = leaving_servers
        self._connections = connections
        self._timers = timers
        self._fleet = Fleet((), ())
        self._checked_at_s: dict[str, float] = {}

    def start(self) -> None:
        """Starts the periodic health checks."""
        self._timers.call_every(TICK_PERIOD_S, self._tick)

    def set_fleet(self, fleet: Fleet) -> None:
        """Applies the platform's list of VMs."""
        self._fleet = fleet

    def _tick(self) -> None:
        now_s = read_clock_s()
        held_ids = [
            server_id
            for server_id in self._holdings.states()
            if self._holdings.is_held(server_id)
        ]
        self._connections.close_all_except(held_ids)
        self._checked_at_s = {
            server_id: self._checked_at_s.get(server_id, float("-inf"))
            for server_id in held_ids
        }
        for server_id in held_ids:
            server = self._fleet.server(server_id)
            if server is not None and self._is_due(server_id, now_s):
                self._checked_at_s[server_id] = now_s
                self._check(server)

    def _is_due(self, server_id: str, now_s: float) -> bool:
        last_evidence_at_s = max(
            self._checked_at_s[server_id],
            self._leaving_servers.last_live_reply_at_s(server_id),
        )
        return now_s - last_evidence_at_s >= CHECK_PERIOD_S

    def _check(self, server: BackendServer) -> None:
        self._connections.check(
            server,
            lambda is_leaving: self._leaving_servers.record_health(
                server.server_id, is_leaving, read_clock_s()
            ),
        )
