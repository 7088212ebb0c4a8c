"""Which replica of a shard gets an attempt."""

import random
from collections.abc import Sequence
from typing import Final, Protocol

from mulberrybay_core.attempts import AttemptOutcome, AttemptReply, ServerLoad
from mulberrybay_core.fleet import BackendServer

LATENCY_WEIGHT: Final = 0.2
INITIAL_LATENCY_S: Final = 0.01
FAILURE_PENALTY_S: Final = 0.5
OTHER_DOMAIN_PENALTY_S: Final = 0.0015


class ReplicaPolicy(Protocol):
    """Chooses replicas and learns from what became of the attempts."""

    def choose(
        self, candidates: Sequence[BackendServer], failure_domain: str
    ) -> BackendServer:
        """Returns one of the candidates, of which there is at least one."""

    def on_sent(self, server_id: str) -> None:
        """An attempt was sent."""

    def on_reply(self, reply: AttemptReply, latency_s: float) -> None:
        """An attempt ended, this long after it was sent."""


class _ServerView:
    """What this coordinator knows of one backend server."""

    def __init__(self) -> None:
        self.sent_count = 0
        self.load = ServerLoad(0, 0, 1)
        self.latency_s = INITIAL_LATENCY_S
        self.failure_share = 0.0

    def expected_wait_s(self) -> float:
        """Returns the expected time to a reply from one more attempt."""
        queued = max(self.load.outstanding_count + self.load.queued_count, 0)
        waiting_count = max(queued, self.sent_count)
        turns = 1 + waiting_count / max(1, self.load.limit_count)
        return turns * self.latency_s + self.failure_share * FAILURE_PENALTY_S


class LeastExpectedWait:
    """Chooses the replica that is expected to reply first."""

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._views: dict[str, _ServerView] = {}

    def _view(self, server_id: str) -> _ServerView:
        view = self._views.get(server_id)
        if view is None:
            view = self._views[server_id] = _ServerView()
        return view

    def choose(
        self, candidates: Sequence[BackendServer], failure_domain: str
    ) -> BackendServer:
        """Returns the candidate with the least expected wait."""

        def score(server: BackendServer) -> tuple[float, float]:
            wait_s = self._view(server.server_id).expected_wait_s()
            if server.failure_domain != failure_domain:
                wait_s += OTHER_DOMAIN_PENALTY_S
            return (wait_s, self._random.random())

        return min(candidates, key=score)

    def on_sent(self, server_id: str) -> None:
        """An attempt was sent."""
        self._view(server_id).sent_count += 1

    def on_reply(self, reply: AttemptReply, latency_s: float) -> None:
        """An attempt ended, this long after it was sent."""
        view = self._view(reply.server_id)
        view.sent_count = max(0, view.sent_count - 1)
        view.load = reply.load
        if reply.outcome is AttemptOutcome.CANCELLED:
            return
        succeeded = reply.outcome is AttemptOutcome.OK
        if succeeded:
            change_s = reply.service_time_ms / 1000 - view.latency_s
            view.latency_s += LATENCY_WEIGHT * change_s
        failure = 0.0 if succeeded else 1.0
        view.failure_share += LATENCY_WEIGHT * (failure - view.failure_share)


class RandomReplica:
    """Chooses at random: a baseline."""

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source

    def choose(
        self, candidates: Sequence[BackendServer], failure_domain: str
    ) -> BackendServer:
        """Returns any candidate."""
        del failure_domain
        return self._random.choice(candidates)

    def on_sent(self, server_id: str) -> None:
        """Ignores attempts."""

    def on_reply(self, reply: AttemptReply, latency_s: float) -> None:
        """Ignores replies."""


class RoundRobin:
    """Chooses in turn: a baseline."""

    def __init__(self) -> None:
        self._turns: dict[str, int] = {}

    def choose(
        self, candidates: Sequence[BackendServer], failure_domain: str
    ) -> BackendServer:
        """Returns the candidate whose turn it is in its service."""
        del failure_domain
        service = candidates[0].service
        turn = self._turns.get(service, 0)
        self._turns[service] = turn + 1
        return candidates[turn % len(candidates)]

    def on_sent(self, server_id: str) -> None:
        """Ignores attempts."""

    def on_reply(self, reply: AttemptReply, latency_s: float) -> None:
        """Ignores replies."""


class LeastOutstanding:
    """Chooses the replica with the fewest attempts of its own: a baseline."""

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._sent_counts: dict[str, int] = {}

    def choose(
        self, candidates: Sequence[BackendServer], failure_domain: str
    ) -> BackendServer:
        """Returns the candidate with the fewest outstanding attempts."""
        del failure_domain
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

    def on_reply(self, reply: AttemptReply, latency_s: float) -> None:
        """An attempt ended."""
        count = self._sent_counts.get(reply.server_id, 1)
        self._sent_counts[reply.server_id] = max(0, count - 1)
