"""The known index snapshots, and the choice of one for a new query.

Backend servers switch to a new index version one by one. A query should use
the newest version that is available for every shard. Replies report which
servers lack a version.
"""

import itertools
from typing import Final

from mulberrybay_core.fleet import Fleet
from mulberrybay_core.snapshot import IndexSnapshot

# A server that lacked a version is asked for it again after this time.
MISSING_VERSION_LIFETIME_S: Final = 1.0


class SnapshotCatalog:
    """The snapshots of all classes of work.

    Attributes:
        is_listed: Whether the platform has listed the snapshots. Until then, a
            class without a known snapshot may still have one.
    """

    def __init__(self) -> None:
        self.is_listed = False
        self._snapshots: dict[str, tuple[IndexSnapshot, ...]] = {}
        self._missing_until_s: dict[tuple[str, str, int], float] = {}

    def all_snapshots(self) -> tuple[IndexSnapshot, ...]:
        """Returns the snapshots of all classes."""
        return tuple(itertools.chain.from_iterable(self._snapshots.values()))

    def set_snapshots(
        self, class_name: str, snapshots: tuple[IndexSnapshot, ...]
    ) -> None:
        """Replaces the snapshots of a class by those the platform lists."""
        ordered = sorted(snapshots, key=lambda item: item.index_version)
        self._snapshots[class_name] = tuple(reversed(ordered))

    def snapshots(self, class_name: str) -> tuple[IndexSnapshot, ...]:
        """Returns the snapshots of a class, newest first."""
        return self._snapshots.get(class_name, ())

    def record_missing(
        self, class_name: str, server_id: str, index_version: int, now_s: float
    ) -> None:
        """Records that a server reported that it lacks a version."""
        key = (class_name, server_id, index_version)
        self._missing_until_s[key] = now_s + MISSING_VERSION_LIFETIME_S
        if len(self._missing_until_s) > 4096:
            self._forget_expired(now_s)

    def _forget_expired(self, now_s: float) -> None:
        self._missing_until_s = {
            key: until_s
            for key, until_s in self._missing_until_s.items()
            if until_s > now_s
        }

    def lacks_version(
        self, class_name: str, server_id: str, index_version: int, now_s: float
    ) -> bool:
        """Returns whether a server lately reported that it lacks a version.

        Reports are used for `MISSING_VERSION_LIFETIME_S` (1 second).
        """
        if not self._missing_until_s:
            return False
        key = (class_name, server_id, index_version)
        return self._missing_until_s.get(key, 0.0) > now_s

    def choose(
        self, class_name: str, fleet: Fleet, now_s: float
    ) -> IndexSnapshot | None:
        """Returns the snapshot for a new query; None if none is known.

        Chooses the newest snapshot with a replica for every shard, or else
        the one that covers the most shards.
        """
        best: tuple[float, IndexSnapshot] | None = None
        for snapshot in self.snapshots(class_name):
            covered_ratio = self._covered_ratio(snapshot, fleet, now_s)
            if covered_ratio >= 1:
                return snapshot
            if best is None or covered_ratio > best[0]:
                best = (covered_ratio, snapshot)
        return best[1] if best else None

    def _covered_ratio(
        self, snapshot: IndexSnapshot, fleet: Fleet, now_s: float
    ) -> float:
        covered_count = sum(
            any(
                not self.lacks_version(
                    snapshot.class_name,
                    server.server_id,
                    snapshot.index_version,
                    now_s,
                )
                for server in fleet.replicas(service)
            )
            for service in snapshot.services
        )
        return covered_count / max(1, snapshot.shard_count)
