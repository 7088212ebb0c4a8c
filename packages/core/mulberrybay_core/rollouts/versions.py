"""The versions of a service that this node knows, and which it may use."""

from collections.abc import Iterable, Sequence
from typing import Final, TypeVar

from mulberrybay_core.rollouts.orders import RolloutServer

# How long a version that this node has not seen before waits for an order. The
# entries of servers and the order come by different watches, and each of them
# normally takes less than this.
NEW_VERSION_WAIT_S: Final = 1.2
# A version whose servers were gone for this long is new when it comes back.
FORGOTTEN_VERSION_S: Final = 5.0
# Entries of old servers may arrive for this long after a rollout is completed.
COMPLETED_GRACE_S: Final = 5.0

ServerT = TypeVar("ServerT", bound=RolloutServer)


class _Version:
    __slots__ = ("absent_since_s", "first_seen_s", "sent_count")

    def __init__(self, now_s: float) -> None:
        self.first_seen_s = now_s
        self.absent_since_s: float | None = None
        self.sent_count = 0


class ServiceVersions:
    """The versions of one service.

    Attributes:
        has_orders: Whether this node has read the list of orders.
        target_version: The new version of the rollout in force; None if there
            is none.
    """

    def __init__(self) -> None:
        self.has_orders = False
        self.target_version: str | None = None
        self._versions: dict[str, _Version] = {}
        self._banned: set[str] = set()
        # Versions other than this are banned when they are first seen before
        # the time.
        self._completed: tuple[str, float] | None = None

    def ban(self, version: str) -> None:
        """Excludes a version until it is ordered again."""
        self._banned.add(version)

    def permit(self, version: str) -> None:
        """Ends the exclusion of a version."""
        self._banned.discard(version)

    def is_banned(self, version: str) -> bool:
        """Returns whether no request may go to a version."""
        return version in self._banned

    def complete(self, version: str, now_s: float) -> None:
        """Excludes all versions but one."""
        self._banned.discard(version)
        self._banned.update(name for name in self._versions if name != version)
        self._completed = version, now_s + COMPLETED_GRACE_S

    def start(self, version: str) -> int:
        """Permits the target of a new order.

        Returns:
            The requests that were sent to it since it was first seen.
        """
        self.target_version = version
        self._completed = None
        self.permit(version)
        known = self._versions.get(version)
        return known.sent_count if known is not None else 0

    def record_sent(self, version: str) -> None:
        """Counts a request, in case the version is ordered only later."""
        known = self._versions.get(version)
        if known is not None:
            known.sent_count += 1

    def observe(self, versions: Iterable[str], now_s: float) -> None:
        """Records the versions of the servers that can be used."""
        known = self._versions
        present = set(versions)
        is_first = not known
        for version in present:
            item = known.get(version)
            if item is not None and item.absent_since_s is not None:
                if now_s - item.absent_since_s >= FORGOTTEN_VERSION_S:
                    item = None
                else:
                    item.absent_since_s = None
            if item is None:
                item = known[version] = _Version(now_s)
                if is_first and len(present) == 1:
                    item.first_seen_s = -NEW_VERSION_WAIT_S
                self._ban_old(version, now_s)
        if len(present) == len(known):
            return
        for version, item in known.items():
            if version not in present and item.absent_since_s is None:
                item.absent_since_s = now_s

    def _ban_old(self, version: str, now_s: float) -> None:
        if self._completed is None:
            return
        kept, until_s = self._completed
        if version != kept and now_s < until_s:
            self._banned.add(version)

    def old_servers(
        self, servers: Sequence[ServerT], now_s: float
    ) -> list[ServerT]:
        """Returns the servers of other versions than the target.

        A version that was just seen for the first time is left out while there
        are servers of another one, since an order for it may be on its way.
        """
        old = [
            server
            for server in servers
            if server.entry.version != self.target_version
            and server.entry.version not in self._banned
        ]
        settled = [
            server
            for server in old
            if not self._waits(server.entry.version, now_s)
        ]
        if settled or any(
            server.entry.version == self.target_version for server in servers
        ):
            return settled
        if not old:
            return old
        eldest = min(old, key=self._seniority).entry.version
        return [server for server in old if server.entry.version == eldest]

    def _waits(self, version: str, now_s: float) -> bool:
        first_seen_s = self._versions[version].first_seen_s
        # Only the first version of a service is settled before orders are read.
        return now_s - first_seen_s < NEW_VERSION_WAIT_S or (
            not self.has_orders and first_seen_s >= 0
        )

    def _seniority(self, server: RolloutServer) -> tuple[float, int]:
        entry = server.entry
        return self._versions[entry.version].first_seen_s, entry.started_at_ms
