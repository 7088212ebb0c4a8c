"""The known backend servers and which of them may receive new requests."""

import math
from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

from mulberrybay_core.addresses import Address
from mulberrybay_core.server_limit import ServerLimit

# How long a server stays in use after its entry was removed from the store.
# While the store is unavailable, entries expire; they are written again within
# 2 s after it is available again. A server that shuts down still serves for
# longer than this after its entry was removed.
REMOVED_ENTRY_GRACE_S: Final = 2.1
# The most servers without an entry of which the directory remembers what they
# said of themselves. An entry that returns may be an older one.
MAX_DEPARTED_COUNT: Final = 4096


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
        version: The version of its software; empty if unknown.
    """

    server_id: str
    service: str
    address: Address
    failure_domain: str
    slot_count: int
    is_leaving: bool
    cold_left_s: float
    started_at_ms: int
    version: str = ""


class KnownServer:
    """A backend server and this node's view of it.

    Attributes:
        entry: The latest entry of the server.
        cold_until_s: When the server stops being cold.
        removed_at_s: When the entry was removed; None while there is one.
        has_wrong_address: Whether another server has answered at its address.
            The server is not used until its entry is updated.
        announced_leaving_at_s: When a reply first said that the server leaves;
            None if none has.
        paused_until_s: Until when the server has asked for no requests.
        limit: The request rate that it has named; None if it never did.
    """

    __slots__ = (
        "announced_leaving_at_s",
        "cold_until_s",
        "entry",
        "has_wrong_address",
        "limit",
        "paused_until_s",
        "removed_at_s",
    )

    def __init__(self, entry: ServerEntry, now_s: float) -> None:
        self.entry = entry
        self.cold_until_s = now_s + entry.cold_left_s
        self.removed_at_s: float | None = None
        self.has_wrong_address = False
        self.announced_leaving_at_s: float | None = None
        self.paused_until_s = 0.0
        self.limit: ServerLimit | None = None

    def update(self, entry: ServerEntry, now_s: float) -> None:
        """Takes a newer entry; a later incarnation starts without a past."""
        if entry.started_at_ms > self.entry.started_at_ms:
            self.announced_leaving_at_s = None
            self.paused_until_s = 0.0
            self.limit = None
        self.entry = entry
        self.removed_at_s = None
        self.has_wrong_address = False
        self.cold_until_s = now_s + entry.cold_left_s


class _Departure(NamedTuple):
    """What a server that has no entry any more has said of itself."""

    started_at_ms: int
    announced_at_s: float | None
    paused_until_s: float
    limit: ServerLimit | None


class ServerDirectory:
    """All known backend servers, by service.

    Attributes:
        limit_share_ratio: This node's share of the rates that servers name for
            all nodes together, 0 to 1.
    """

    def __init__(self, leaving_service_s: float = 0.0) -> None:
        """Creates an empty directory.

        Args:
            leaving_service_s: How long a server that has announced to leave
                still accepts requests.
        """
        self._leaving_service_s = leaving_service_s
        self.limit_share_ratio = 1.0
        self._departures: dict[str, _Departure] = {}
        self._paused: dict[str, KnownServer] = {}
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
            server.update(entry, now_s)
            return
        if server is not None:
            self._drop(server)
        server = KnownServer(entry, now_s)
        departure = self._departures.pop(entry.server_id, None)
        if (
            departure is not None
            and entry.started_at_ms <= departure.started_at_ms
        ):
            server.announced_leaving_at_s = departure.announced_at_s
            server.limit = departure.limit
            if departure.paused_until_s > now_s:
                self.pause(server, departure.paused_until_s)
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

    def drop(self, server_id: str) -> None:
        """Drops a server that has left before this node knew of it."""
        server = self._servers.get(server_id)
        if server is not None:
            self._drop(server)

    def replace_all(self, entries: Iterable[ServerEntry], now_s: float) -> None:
        """Updates all servers from a complete list of entries.

        Entries that are missing from the list have been removed.
        """
        present = set()
        for entry in entries:
            present.add(entry.server_id)
            server = self._servers.get(entry.server_id)
            if (
                server is None
                or server.removed_at_s is not None
                or server.entry != entry
            ):
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

    # What servers say of themselves in replies.

    def announce_leaving(self, server: KnownServer, now_s: float) -> bool:
        """Records that a server has replied that it leaves.

        No entry of the same incarnation brings the server back.

        Returns:
            Whether this was not known before.
        """
        if server.announced_leaving_at_s is not None:
            return False
        server.announced_leaving_at_s = now_s
        return True

    def pause(self, server: KnownServer, until_s: float) -> None:
        """Records that a server has asked for no requests until a time."""
        server.paused_until_s = max(server.paused_until_s, until_s)
        self._paused[server.entry.server_id] = server

    def accepts_at_s(self, server: KnownServer, now_s: float) -> float:
        """Returns from when on a server accepts a request of this node.

        It may have asked for a pause, or named a limit of its rate.
        """
        accepts_at_s = max(now_s, server.paused_until_s)
        if server.limit is None:
            return accepts_at_s
        return max(
            accepts_at_s, server.limit.next_at_s(self.limit_share_ratio, now_s)
        )

    def accepts(self, server: KnownServer, now_s: float) -> bool:
        """Returns whether `accepts_at_s` is not after the present time."""
        return now_s >= server.paused_until_s and (
            server.limit is None
            or server.limit.next_at_s(self.limit_share_ratio, now_s) <= now_s
        )

    def pop_resumed_ids(self, now_s: float) -> list[str]:
        """Returns the servers whose pause has ended since the last call."""
        resumed_ids = [
            server_id
            for server_id, server in self._paused.items()
            if server.paused_until_s <= now_s
        ]
        for server_id in resumed_ids:
            del self._paused[server_id]
        return [name for name in resumed_ids if name in self._servers]

    # Which servers to use.

    def _is_in_service(self, server: KnownServer) -> bool:
        return (
            not server.entry.is_leaving
            and not server.has_wrong_address
            and server.entry.failure_domain not in self._out_domains
        )

    def _still_serves(self, server: KnownServer, now_s: float) -> bool:
        """Whether a server that has announced to leave still accepts work."""
        announced_at_s = server.announced_leaving_at_s
        return (
            announced_at_s is not None
            and now_s - announced_at_s < self._leaving_service_s
        )

    def usable(self, service: str) -> list[KnownServer]:
        """Returns the servers of a service that may receive new requests.

        Those that are paused are among them.
        """
        return [
            server
            for server in self._by_service.get(service, ())
            if server.announced_leaving_at_s is None
            and self._is_in_service(server)
        ]

    def awake(self, now_s: float) -> list[KnownServer]:
        """Returns the usable servers of all services that are not paused."""
        return [
            server
            for service in self._by_service
            for server in self.usable(service)
            if now_s >= server.paused_until_s
        ]

    def last_resort(self, service: str, now_s: float) -> list[KnownServer]:
        """Returns servers to use for a service that has no usable one.

        They have announced to leave, but still accept requests.
        """
        return [
            server
            for server in self._by_service.get(service, ())
            if self._still_serves(server, now_s) and self._is_in_service(server)
        ]

    def available_at_s(
        self,
        service: str,
        now_s: float,
        may_use: Callable[[KnownServer], bool] | None = None,
    ) -> float:
        """Returns from when on a server of a service accepts requests.

        It is the current time, or later if all servers are paused or their
        limits are used up; infinity if the service has no server.

        Args:
            service: The service.
            now_s: The time.
            may_use: Returns whether a server's version may get requests; None
                if each may.
        """
        servers = self.usable(service)
        if may_use is not None:
            servers = [server for server in servers if may_use(server)]
        if not servers:
            servers = self.last_resort(service, now_s)
            if may_use is not None:
                servers = [server for server in servers if may_use(server)]
        for server in servers:
            if self.accepts(server, now_s):
                return now_s
        return min(
            (self.accepts_at_s(server, now_s) for server in servers),
            default=math.inf,
        )

    def is_limited(self, service: str, now_s: float) -> bool:
        """Returns whether only limits keep requests from a service.

        That is so if a server is not paused, and this node's share of the limit
        of each such server is used up.
        """
        servers = self.usable(service) or self.last_resort(service, now_s)
        awake = [s for s in servers if s.paused_until_s <= now_s]
        return bool(awake) and all(
            self.accepts_at_s(server, now_s) > now_s for server in awake
        )

    def may_use(self, server: KnownServer, now_s: float) -> bool:
        """Returns whether a server may still receive new requests."""
        entry = server.entry
        return (
            self._servers.get(entry.server_id) is server
            and self._is_in_service(server)
            and now_s >= server.paused_until_s
            and (
                server.announced_leaving_at_s is None
                or (
                    self._still_serves(server, now_s)
                    and not self.usable(entry.service)
                )
            )
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
            self._remember_departure(server)
        siblings = self._by_service.get(entry.service, [])
        if server in siblings:
            siblings.remove(server)

    def _remember_departure(self, server: KnownServer) -> None:
        entry, announced_at_s = server.entry, server.announced_leaving_at_s
        has_spoken = (
            announced_at_s is not None
            or server.paused_until_s > 0
            or server.limit is not None
        )
        # Without the start time, an entry of a later incarnation that has the
        # same identifier could not be told from an older entry.
        if not has_spoken or not entry.started_at_ms:
            return
        if len(self._departures) >= MAX_DEPARTED_COUNT:
            del self._departures[next(iter(self._departures))]
        self._departures[entry.server_id] = _Departure(
            entry.started_at_ms,
            announced_at_s,
            server.paused_until_s,
            server.limit,
        )
