"""The backend servers that are known, and which of them may get new work."""

from collections.abc import Iterable
from typing import Final, NamedTuple

from mulberrybay_core.addresses import Address

# A removed entry stays in use this long: entries lapse while the store is
# away and are back within 2 s of its return, and a server that leaves serves
# for longer than this after its entry is removed.
LAPSE_GRACE_S: Final = 2.1


class ServerEntry(NamedTuple):
    """What one backend server says of itself.

    Attributes:
        server_id: Its identity; a new start mostly has a new one.
        service: The service that it belongs to.
        address: Where it listens.
        failure_domain: Where it runs.
        slot_count: How many requests it runs at a time.
        is_leaving: Whether it has announced that it stops.
        cold_left_s: How long it stays cold from when it was read.
        started_at_ms: Its start, in Unix milliseconds; 0 if not known.
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
    """A backend server and what this node believes of it."""

    __slots__ = ("cold_until_s", "entry", "gone_at_s", "is_misplaced")

    def __init__(self, entry: ServerEntry, now_s: float) -> None:
        self.entry = entry
        self.cold_until_s = now_s + entry.cold_left_s
        self.gone_at_s: float | None = None
        # Whether another server has answered at its address.
        self.is_misplaced = False


class ServerDirectory:
    """All known backend servers, by service."""

    def __init__(self) -> None:
        self._servers: dict[str, KnownServer] = {}
        self._by_service: dict[str, list[KnownServer]] = {}
        self._out_domains: frozenset[str] = frozenset()
        self._forgotten: list[str] = []

    @property
    def out_domains(self) -> frozenset[str]:
        """The failure domains that operators took out of service."""
        return self._out_domains

    def set_out_domains(self, domains: Iterable[str]) -> None:
        """Takes the failure domains that are out of service."""
        self._out_domains = frozenset(domains)

    def put(self, entry: ServerEntry, now_s: float) -> None:
        """Takes the newest entry of a backend server."""
        known = self._servers.get(entry.server_id)
        if known is not None and known.entry.service == entry.service:
            known.entry = entry
            known.gone_at_s = None
            known.is_misplaced = False
            known.cold_until_s = now_s + entry.cold_left_s
            return
        if known is not None:
            self._forget(known)
        known = KnownServer(entry, now_s)
        self._servers[entry.server_id] = known
        self._by_service.setdefault(entry.service, []).append(known)

    def remove(self, server_id: str, now_s: float) -> None:
        """Notes that the entry of a backend server was removed."""
        known = self._servers.get(server_id)
        if known is None or known.gone_at_s is not None:
            return
        known.gone_at_s = now_s
        if known.entry.is_leaving:
            self._forget(known)

    def replace_all(self, entries: Iterable[ServerEntry], now_s: float) -> None:
        """Takes a complete list; entries that are not in it were removed."""
        present = set()
        for entry in entries:
            present.add(entry.server_id)
            self.put(entry, now_s)
        for server_id in [*self._servers]:
            if server_id not in present:
                self.remove(server_id, now_s)

    def expire(self, now_s: float) -> None:
        """Forgets servers whose entry has been away too long."""
        for known in [*self._servers.values()]:
            if (
                known.gone_at_s is not None
                and now_s - known.gone_at_s >= LAPSE_GRACE_S
            ):
                self._forget(known)

    def take_forgotten(self) -> list[str]:
        """Returns the servers that were forgotten since the last call."""
        forgotten = [
            server_id
            for server_id in self._forgotten
            if server_id not in self._servers
        ]
        self._forgotten.clear()
        return forgotten

    def usable(self, service: str) -> list[KnownServer]:
        """Returns the servers of a service that may get new work."""
        return [
            known
            for known in self._by_service.get(service, ())
            if not known.entry.is_leaving
            and not known.is_misplaced
            and known.entry.failure_domain not in self._out_domains
        ]

    def may_use(self, known: KnownServer, now_s: float) -> bool:
        """Whether a server may still get new work."""
        entry = known.entry
        return (
            self._servers.get(entry.server_id) is known
            and not entry.is_leaving
            and not known.is_misplaced
            and entry.failure_domain not in self._out_domains
            and (
                known.gone_at_s is None
                or now_s - known.gone_at_s < LAPSE_GRACE_S
            )
        )

    def server_ids(self) -> list[str]:
        """Returns the identities of all known servers."""
        return [*self._servers]

    def _forget(self, known: KnownServer) -> None:
        entry = known.entry
        if self._servers.get(entry.server_id) is known:
            del self._servers[entry.server_id]
            self._forgotten.append(entry.server_id)
        siblings = self._by_service.get(entry.service, [])
        if known in siblings:
            siblings.remove(known)
