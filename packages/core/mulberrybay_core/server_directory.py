"""The known backend servers and which of them may receive new requests."""

from collections.abc import Iterable
from typing import Final, NamedTuple

from mulberrybay_core.addresses import Address

# How long a server stays in use after its entry was removed from the store.
# While the store is unavailable, entries expire; they are written again within
# 2 s after it is available again. A server that shuts down still serves for
# longer than this after its entry was removed.
REMOVED_ENTRY_GRACE_S: Final = 2.1


class ServerEntry(NamedTuple):
    """A backend server's own entry in the platform's store.

    Attributes:
        server_id: The identifier; usually changes with each start.
        service: The service that the backend server belongs to.
        address: The address on which it accepts connections.
        failure_domain: The failure domain in which it runs.
        slot_count: How many requests it processes at a time.
        is_leaving: Whether it has announced that it will stop.
        cold_left_s: How long it stays cold after the entry was read.
        started_at_ms: When it started, in Unix milliseconds; 0 if unknown.
    """

    server_id: str
    service: str
    address: Address
    failure_domain: str
    slot_count: int
    is_leaving: bool
    cold_left_s: float
    started_at_ms: int


class KnownServer:
    """A backend server and this node's view of it.

    Attributes:
        entry: The latest entry of the server.
        cold_until_s: When the server stops being cold.
        removed_at_s: When the entry was removed; None while there is one.
        has_wrong_address: Whether another server has answered at its address.
            The server is not used until its entry is updated.
    """

    __slots__ = ("cold_until_s", "entry", "has_wrong_address", "removed_at_s")

    def __init__(self, entry: ServerEntry, now_s: float) -> None:
        self.entry = entry
        self.cold_until_s = now_s + entry.cold_left_s
        self.removed_at_s: float | None = None
        self.has_wrong_address = False


class ServerDirectory:
    """All known backend servers, by service."""

    def __init__(self) -> None:
        self._servers: dict[str, KnownServer] = {}
        self._by_service: dict[str, list[KnownServer]] = {}
        self._out_domains: frozenset[str] = frozenset()
        self._dropped_ids: list[str] = []

    @property
    def out_domains(self) -> frozenset[str]:
        """The failure domains that operators have taken out of service."""
        return self._out_domains

    def set_out_domains(self, domains: Iterable[str]) -> None:
        """Sets the failure domains that are out of service."""
        self._out_domains = frozenset(domains)

    def put(self, entry: ServerEntry, now_s: float) -> None:
        """Adds or updates a backend server with its newest entry."""
        server = self._servers.get(entry.server_id)
        if server is not None and server.entry.service == entry.service:
            server.entry = entry
            server.removed_at_s = None
            server.has_wrong_address = False
            server.cold_until_s = now_s + entry.cold_left_s
            return
        if server is not None:
            self._drop(server)
        server = KnownServer(entry, now_s)
        self._servers[entry.server_id] = server
        self._by_service.setdefault(entry.service, []).append(server)

    def remove(self, server_id: str, now_s: float) -> None:
        """Records that the entry of a backend server was removed.

        The server stays in use for a grace period, unless it is leaving.
        """
        server = self._servers.get(server_id)
        if server is None or server.removed_at_s is not None:
            return
        server.removed_at_s = now_s
        if server.entry.is_leaving:
            self._drop(server)

    def replace_all(self, entries: Iterable[ServerEntry], now_s: float) -> None:
        """Updates all servers from a complete list of entries.

        Entries that are missing from the list have been removed.
        """
        present = set()
        for entry in entries:
            present.add(entry.server_id)
            self.put(entry, now_s)
        for server_id in [*self._servers]:
            if server_id not in present:
                self.remove(server_id, now_s)

    def expire(self, now_s: float) -> None:
        """Drops servers whose grace period after the removal has ended."""
        for server in [*self._servers.values()]:
            if (
                server.removed_at_s is not None
                and now_s - server.removed_at_s >= REMOVED_ENTRY_GRACE_S
            ):
                self._drop(server)

    def pop_dropped_ids(self) -> list[str]:
        """Returns the identifiers of servers dropped since the last call."""
        dropped_ids = [
            server_id
            for server_id in self._dropped_ids
            if server_id not in self._servers
        ]
        self._dropped_ids.clear()
        return dropped_ids

    def usable(self, service: str) -> list[KnownServer]:
        """Returns the servers of a service that may receive new requests."""
        return [
            server
            for server in self._by_service.get(service, ())
            if not server.entry.is_leaving
            and not server.has_wrong_address
            and server.entry.failure_domain not in self._out_domains
        ]

    def may_use(self, server: KnownServer, now_s: float) -> bool:
        """Returns whether a server may still receive new requests."""
        entry = server.entry
        return (
            self._servers.get(entry.server_id) is server
            and not entry.is_leaving
            and not server.has_wrong_address
            and entry.failure_domain not in self._out_domains
            and (
                server.removed_at_s is None
                or now_s - server.removed_at_s < REMOVED_ENTRY_GRACE_S
            )
        )

    def server_ids(self) -> list[str]:
        """Returns the identifiers of all known servers."""
        return [*self._servers]

    def _drop(self, server: KnownServer) -> None:
        entry = server.entry
        if self._servers.get(entry.server_id) is server:
            del self._servers[entry.server_id]
            self._dropped_ids.append(entry.server_id)
        siblings = self._by_service.get(entry.service, [])
        if server in siblings:
            siblings.remove(server)
