"""Decides whether a backend server may get new work now.

The holder checks this immediately before every dispatch, so that it also
applies to queued, retried and hedged attempts.
"""

from mulberrybay_core.configuration import EMPTY_CONFIGURATION, Configuration
from mulberrybay_core.fleet import BackendServer, Fleet
from mulberrybay_core.membership import Membership
from mulberrybay_daemon.leaving import LeavingServers


class Gate:
    """Combines all conditions for new work at a backend server."""

    def __init__(
        self, membership: Membership, leaving_servers: LeavingServers
    ) -> None:
        self._membership = membership
        self._leaving_servers = leaving_servers
        self._fleet = Fleet((), ())
        self.configuration: Configuration = EMPTY_CONFIGURATION

    def set_fleet(self, fleet: Fleet) -> None:
        """Applies the platform's list of VMs."""
        self._fleet = fleet
        self._leaving_servers.set_fleet(fleet)

    def set_configuration(self, configuration: Configuration) -> None:
        """Sets the configuration in force."""
        self.configuration = configuration

    def may_use(self, server: BackendServer, now_s: float) -> bool:
        """Returns whether a server is in service and not leaving."""
        configuration = self.configuration
        return (
            server.failure_domain not in configuration.out_domains
            and server.server_id not in configuration.out_servers
            and not self._leaving_servers.is_leaving(server, now_s)
        )

    def may_dispatch(self, server: BackendServer, now_s: float) -> bool:
        """Returns whether this node may send new work to a server now."""
        return (
            self.configuration.revision > 0
            and self._membership.has_lease(now_s)
            and self.may_use(server, now_s)
        )
