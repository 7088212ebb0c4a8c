"""The VMs that the platform lists: entry VMs and backend servers."""

from collections.abc import Iterable
from typing import Literal, NamedTuple

from mulberrybay_core.addresses import Address

VmState = Literal["live", "leaving"]


class EntryVm(NamedTuple):
    """A VM that runs a node of this system."""

    node_id: str
    failure_domain: str
    peer_address: Address
    state: VmState


class BackendServer(NamedTuple):
    """A VM that runs a backend server.

    Attributes:
        server_id: The platform's identity of the VM.
        failure_domain: Where it runs.
        address: Where it accepts connections.
        service: The service that it is a replica of.
        slot_count: Requests that it works on at once when warm.
        connection_cap: Connections that it accepts.
        state: Whether the platform's list says that it is leaving.
    """

    server_id: str
    failure_domain: str
    address: Address
    service: str
    slot_count: int
    connection_cap: int
    state: VmState


class Fleet:
    """An immutable view of one VM list, indexed for look-ups."""

    def __init__(
        self, entry_vms: Iterable[EntryVm], servers: Iterable[BackendServer]
    ) -> None:
        self.entry_vms = tuple(entry_vms)
        self._server_by_id = {server.server_id: server for server in servers}
        self._servers_by_service: dict[str, tuple[BackendServer, ...]] = {}
        for server in self._server_by_id.values():
            known = self._servers_by_service.get(server.service, ())
            self._servers_by_service[server.service] = (*known, server)

    @property
    def servers(self) -> tuple[BackendServer, ...]:
        """All backend servers, in the order of the list."""
        return tuple(self._server_by_id.values())

    def server(self, server_id: str) -> BackendServer | None:
        """Returns the backend server of that identity, or None."""
        return self._server_by_id.get(server_id)

    def replicas(self, service: str) -> tuple[BackendServer, ...]:
        """Returns the backend servers of a service; empty if unknown."""
        return self._servers_by_service.get(service, ())


EMPTY_FLEET = Fleet((), ())
