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
        server_id: The platform's ID of the VM.
        failure_domain: The failure domain that it runs in.
        address: The address at which it accepts connections.
        service: The service that it is a replica of.
        slot_count: The number of requests that it processes at the same time
            when it is warm.
        connection_cap: The maximum number of connections that it accepts.
        state: Whether the platform lists it as live or as leaving.
    """

    server_id: str
    failure_domain: str
    address: Address
    service: str
    slot_count: int
    connection_cap: int
    state: VmState


class Fleet:
    """An immutable VM list, indexed by backend server and by service."""

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
        """All backend servers, in the order of the VM list."""
        return tuple(self._server_by_id.values())

    def server(self, server_id: str) -> BackendServer | None:
        """Returns the backend server with this ID; None if unknown."""
        return self._server_by_id.get(server_id)

    def replicas(self, service: str) -> tuple[BackendServer, ...]:
        """Returns the backend servers of a service; none if it is unknown."""
        return self._servers_by_service.get(service, ())


EMPTY_FLEET = Fleet((), ())
