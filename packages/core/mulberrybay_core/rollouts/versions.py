"""The versions of a service that this node knows, and which it may use."""

import math
from collections.abc import Iterable, Sequence
from typing import Final, NamedTuple, TypeVar

from mulberrybay_core.rollouts.orders import RolloutServer

# How long a version that this node has not seen before waits for an order. The
# entries of servers and the order come by different watches, and each of them
# normally takes less than this.
NEW_VERSION_WAIT_S: Final = 1.2
# A version whose servers were gone for this long is new when it comes back.
FORGOTTEN_VERSION_S: Final = 5.0
# Entries of old servers may arrive for this long after a rollout is completed.
COMPLETED_GRACE_S: Final = 5.0

# A version that got requests for this long without an order is not new.
USED_VERSION_S: Final = 60.0

ServerT = TypeVar("ServerT", bound=RolloutServer)


class SentBefore(NamedTuple):
    """What was sent to a version before it was ordered.

    Attributes:
        sent_count: The requests.
        is_in_use: Whether it has been in use for so long that the order does
            not make it a new version.
    """

    sent_count: int
    is_in_use: bool


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
        # Versions that were rolled back, and those that another one replaced.
        # Servers of the latter that are started again may be used.
        self._banned: set[str] = set()
        self._replaced: set[str] = set()
        # The version of all servers, if there is only one and it may be used.
        self._only_version: str | None = None
        # Versions other than this are banned when they are first seen before
        # the time.
        self._completed: tuple[str, float] | None = None

    def ban(self, version: str) -> None:
        """Excludes a version until it is ordered again."""
        self._banned.add(version)
        self._only_version = None
        known = self._versions.get(version)
        if known is not None:
            known.sent_count = 0

    def is_banned(self, version: str) -> bool:
        """Returns whether no request may go to a version."""
        return version in self._banned or version in self._replaced

    def complete(self, version: str, now_s: float) -> None:
        """Excludes all versions but one."""
        self._banned.discard(version)
        for name, known in self._versions.items():
            if name != version:
                self._replaced.add(name)
                known.sent_count = 0
        self._only_version = None
        self._completed = version, now_s + COMPLETED_GRACE_S

    def start(self, version: str, now_s: float) -> SentBefore:
        """Permits the target of a new order."""
        self.target_version = version
        self._only_version = None
        self._completed = None
        self._banned.discard(version)
        self._replaced.discard(version)
        known = self._versions.get(version)
        if known is None:
            return SentBefore(0, is_in_use=False)
        is_in_use = (
            known.absent_since_s is None
            and known.sent_count > 0
            and now_s - known.first_seen_s >= USED_VERSION_S
        )
        return SentBefore(known.sent_count, is_in_use)

    def record_sent(self, version: str) -> None:
        """Counts a request, in case the version is ordered only later."""
        known = self._versions.get(version)
        if known is not None:
            known.sent_count += 1

    def has_only_version_of(self, servers: Sequence[RolloutServer]) -> bool:
        """Returns whether all servers are of the one version in use."""
        only_version = self._only_version
        return only_version is not None and all(
            server.entry.version == only_version for server in servers
        )

    def observe(self, versions: Iterable[str], now_s: float) -> None:
        """Records the versions of the servers that can be used."""
        known = self._versions
        present = set(versions)
        is_first = not known
        for version, item in [*known.items()]:
            absent_since_s = item.absent_since_s
            if (
                absent_since_s is not None
                and now_s - absent_since_s >= FORGOTTEN_VERSION_S
            ):
                del known[version]
                self._replaced.discard(version)
        for version in present:
            if version in known:
                known[version].absent_since_s = None
                continue
            known[version] = _Version(now_s)
            if is_first and len(present) == 1:
                known[version].first_seen_s = -math.inf
            self._ban_old(version, now_s)
        self._end_completed(now_s)
        self._only_version = None
        if len(present) == 1 and len(known) == 1:
            version = next(iter(present))
            if version != self.target_version and not self.is_banned(version):
                self._only_version = version
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
            self._replaced.add(version)

    def _end_completed(self, now_s: float) -> None:
        """Permits what replaced the version of a completed rollout.

        A node that starts later reads the completed order, and takes the
        version of a later release for the one before the rollout.
        """
        if self._completed is None:
            return
        kept, until_s = self._completed
        if now_s >= until_s and kept not in self._versions:
            self._completed = None
            self._replaced.clear()

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
            and not self.is_banned(server.entry.version)
        ]
        settled = [
            server
            for server in old
            if not self._waits(server.entry.version, now_s)
        ]
        if settled or not old:
            return settled
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
