"""Policies that choose the replica for an attempt."""

import random
from collections.abc import Sequence
from typing import Final, Protocol

from mulberrybay_core.fleet import BackendServer
from mulberrybay_core.server_waits import ServerWaits

# Added to the expected wait at a replica in another failure domain.
OTHER_DOMAIN_PENALTY_S: Final = 0.0015


class ReplicaPolicy(Protocol):
    """Chooses replicas; is notified when attempts are sent and end."""

    def choose(
        self,
        candidates: Sequence[BackendServer],
        failure_domain: str,
        now_s: float,
    ) -> BackendServer:
        """Returns one of the candidates; there must be at least one."""

    def on_sent(self, server_id: str) -> None:
        """Records that an attempt was sent."""

    def on_ended(self, server_id: str) -> None:
        """Records that an attempt ended or was abandoned."""


class LeastExpectedWait:
    """Chooses the replica that is expected to reply first."""

    def __init__(
        self, random_source: random.Random, waits: ServerWaits
    ) -> None:
        self._random = random_source
        self.waits = waits

    def choose(
        self,
        candidates: Sequence[BackendServer],
        failure_domain: str,
        now_s: float,
    ) -> BackendServer:
        """Returns the candidate with the lowest expected cost."""

        def score(server: BackendServer) -> tuple[float, float]:
            cost_s = self.waits.cost_s(server.server_id, now_s)
            if server.failure_domain != failure_domain:
                cost_s += OTHER_DOMAIN_PENALTY_S
            return (cost_s, self._random.random())

        return min(candidates, key=score)

    def on_sent(self, server_id: str) -> None:
        """Does nothing, since `ServerWaits` tracks the attempts."""

    def on_ended(self, server_id: str) -> None:
        """Does nothing, since `ServerWaits` tracks the replies."""


class RandomReplica:
    """Chooses at random: a baseline for comparison."""

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source

    def choose(
        self,
        candidates: Sequence[BackendServer],
        failure_domain: str,
        now_s: float,
    ) -> BackendServer:
        """Returns a random candidate."""
        del failure_domain, now_s
        return self._random.choice(candidates)

    def on_sent(self, server_id: str) -> None:
        """Ignores attempts."""

    def on_ended(self, server_id: str) -> None:
        """Ignores replies."""


class RoundRobin:
    """Chooses the replicas in turn: a baseline for comparison."""

    def __init__(self) -> None:
        self._turns: dict[str, int] = {}

    def choose(
        self,
        candidates: Sequence[BackendServer],
        failure_domain: str,
        now_s: float,
    ) -> BackendServer:
        """Returns the next candidate of the service."""
        del failure_domain, now_s
        service = candidates[0].service
        turn = self._turns.get(service, 0)
        self._turns[service] = turn + 1
        return candidates[turn % len(candidates)]

    def on_sent(self, server_id: str) -> None:
        """Ignores attempts."""

    def on_ended(self, server_id: str) -> None:
        """Ignores replies."""


class LeastOutstanding:
    """Chooses the replica with the fewest open attempts: a baseline.

    Only the attempts sent through this policy count, not those of other
    nodes.
    """

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._open_counts: dict[str, int] = {}

    def choose(
        self,
        candidates: Sequence[BackendServer],
        failure_domain: str,
        now_s: float,
    ) -> BackendServer:
        """Returns the candidate with the fewest open attempts."""
        del failure_domain, now_s
        return min(
            candidates,
            key=lambda server: (
                self._open_counts.get(server.server_id, 0),
                self._random.random(),
            ),
        )

    def on_sent(self, server_id: str) -> None:
        """Records that an attempt was sent."""
        self._open_counts[server_id] = self._open_counts.get(server_id, 0) + 1

    def on_ended(self, server_id: str) -> None:
        """Records that an attempt ended."""
        count = self._open_counts.get(server_id, 1)
        self._open_counts[server_id] = max(0, count - 1)
