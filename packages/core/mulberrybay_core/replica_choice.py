"""Which replica of a shard gets an attempt."""

import random
from collections.abc import Sequence
from typing import Final, Protocol

from mulberrybay_core.fleet import BackendServer
from mulberrybay_core.server_waits import ServerWaits

OTHER_DOMAIN_PENALTY_S: Final = 0.0015


class ReplicaPolicy(Protocol):
    """Chooses replicas and learns from what became of the attempts."""

    def choose(
        self,
        candidates: Sequence[BackendServer],
        failure_domain: str,
        now_s: float,
    ) -> BackendServer:
        """Returns one of the candidates, of which there is at least one."""

    def on_sent(self, server_id: str) -> None:
        """An attempt was sent."""

    def on_ended(self, server_id: str) -> None:
        """An attempt ended, or is no longer waited for."""


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
        """Returns the candidate with the least expected wait."""

        def score(server: BackendServer) -> tuple[float, float]:
            cost_s = self.waits.cost_s(server.server_id, now_s)
            if server.failure_domain != failure_domain:
                cost_s += OTHER_DOMAIN_PENALTY_S
            return (cost_s, self._random.random())

        return min(candidates, key=score)

    def on_sent(self, server_id: str) -> None:
        """Ignores attempts: `ServerWaits` follows them."""

    def on_ended(self, server_id: str) -> None:
        """Ignores replies: `ServerWaits` follows them."""


class RandomReplica:
    """Chooses at random: a baseline."""

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source

    def choose(
        self,
        candidates: Sequence[BackendServer],
        failure_domain: str,
        now_s: float,
    ) -> BackendServer:
        """Returns any candidate."""
        del failure_domain, now_s
        return self._random.choice(candidates)

    def on_sent(self, server_id: str) -> None:
        """Ignores attempts."""

    def on_ended(self, server_id: str) -> None:
        """Ignores replies."""


class RoundRobin:
    """Chooses in turn: a baseline."""

    def __init__(self) -> None:
        self._turns: dict[str, int] = {}

    def choose(
        self,
        candidates: Sequence[BackendServer],
        failure_domain: str,
        now_s: float,
    ) -> BackendServer:
        """Returns the candidate whose turn it is in its service."""
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
    """Chooses the replica with the fewest attempts of its own: a baseline."""

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._sent_counts: dict[str, int] = {}

    def choose(
        self,
        candidates: Sequence[BackendServer],
        failure_domain: str,
        now_s: float,
    ) -> BackendServer:
        """Returns the candidate with the fewest outstanding attempts."""
        del failure_domain, now_s
        return min(
            candidates,
            key=lambda server: (
                self._sent_counts.get(server.server_id, 0),
                self._random.random(),
            ),
        )

    def on_sent(self, server_id: str) -> None:
        """An attempt was sent."""
        self._sent_counts[server_id] = self._sent_counts.get(server_id, 0) + 1

    def on_ended(self, server_id: str) -> None:
        """An attempt ended."""
        count = self._sent_counts.get(server_id, 1)
        self._sent_counts[server_id] = max(0, count - 1)
