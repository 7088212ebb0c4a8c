"""How attempts at backend servers take part in rollouts."""

from collections.abc import Callable, Sequence
from typing import Final

from mulberrybay_core.placement import ServerState
from mulberrybay_core.rollouts import NodeRollouts
from mulberrybay_core.route_history import MIN_TYPICAL_LATENCY_S
from mulberrybay_core.server_directory import KnownServer
from mulberrybay_edge.sending import AttemptOutcome, AttemptSpec, SendRefusal

Candidate = tuple[KnownServer, ServerState]

# A latency that says nothing of the version of the server.
NO_LATENCY_RATIO: Final = 0.0


class LatencyReferences:
    """The latencies to which those of a rollout are relative at this node.

    They stay the same during a rollout. The typical latency of a route may
    change by a factor as samples are added, and the version that got more of
    its requests later would seem to be slower.
    """

    def __init__(self) -> None:
        self._by_route: dict[tuple[str, str], float] = {}

    def forget(self, service: str) -> None:
        """Forgets the latencies of a service, as another rollout begins."""
        for key in [key for key in self._by_route if key[0] == service]:
            del self._by_route[key]

    def find(
        self, spec: AttemptSpec, latency_s: float, *, is_reply: bool
    ) -> float:
        """Returns the latency to compare another one with.

        Without enough samples of the route, it is that of the first reply.
        """
        key = spec.service, spec.route_name
        reference_s = self._by_route.get(key)
        if reference_s is not None:
            return reference_s
        reference_s = spec.history.typical_latency_s()
        if is_reply and not spec.history.is_known:
            reference_s = max(latency_s, MIN_TYPICAL_LATENCY_S)
        if is_reply or spec.history.is_known:
            self._by_route[key] = reference_s
        return reference_s


class RolloutAttempt:
    """One attempt, for which a rollout is charged until it has ended."""

    __slots__ = (
        "_is_charged",
        "_is_cold",
        "_is_retry",
        "_references",
        "_rollouts",
        "_route_name",
        "_service",
        "_spec",
        "_started_at_s",
        "_version",
    )

    def __init__(
        self,
        rollouts: NodeRollouts,
        references: LatencyReferences,
        spec: AttemptSpec,
        server: KnownServer,
        now_s: float,
    ) -> None:
        self._rollouts = rollouts
        self._service = spec.service
        self._route_name = spec.route_name
        self._spec = spec
        self._references = references
        self._started_at_s = now_s
        self._is_retry = spec.is_retry
        # The server's entry may change while the attempt is in progress.
        self._version = server.entry.version
        self._is_cold = now_s < server.cold_until_s
        self._is_charged = True
        rollouts.record_sent(self._service, self._version, now_s)

    def may_send(self, now_s: float) -> bool:
        """Returns whether it may be sent now that its connection is open.

        The version may have been rolled back since the server was chosen.
        """
        self.give_back()
        if not self._rollouts.may_send(self._service, self._version, now_s):
            return False
        # New servers get more requests on connections that were just opened.
        self._started_at_s = now_s
        self._rollouts.record_sent(self._service, self._version, now_s)
        self._is_charged = True
        return True

    def give_back(self) -> None:
        """Takes back what was charged, as it has reached no server."""
        if self._is_charged:
            self._is_charged = False
            self._rollouts.give_back(self._service, self._version)

    def _latency_ratio(self, now_s: float, *, is_reply: bool) -> float:
        """Returns its age as a multiple of the latency to compare with."""
        if self._is_cold:
            return NO_LATENCY_RATIO
        latency_s = now_s - self._started_at_s
        return latency_s / self._references.find(
            self._spec, latency_s, is_reply=is_reply
        )

    def record_end(
        self,
        outcome: AttemptOutcome | None,
        now_s: float,
        *,
        is_unexplained: bool = False,
    ) -> None:
        """Records how it ended, unless it was taken back.

        Args:
            outcome: The outcome; None if it was cancelled. That a request was
                not run, as the server is full or is another one, says nothing
                of the version.
            now_s: The time.
            is_unexplained: Whether it was not run though the server has a free
                slot and gives no reason.
        """
        if not self._is_charged:
            return
        self._is_charged = False
        # A caller's request counts once, and only if a server got it.
        if not self._is_retry:
            self._rollouts.record_request(self._service, now_s)
        attempt = self._service, self._version, self._route_name
        if outcome is None:
            self._rollouts.record_abandoned(
                *attempt, self._latency_ratio(now_s, is_reply=False), now_s
            )
        elif outcome is AttemptOutcome.NOT_RUN:
            self._rollouts.record_refused(
                *attempt, is_unexplained and not self._is_cold, now_s
            )
        else:
            is_ok = outcome is AttemptOutcome.OK
            self._rollouts.record_reply(
                *attempt,
                not is_ok,
                self._latency_ratio(now_s, is_reply=is_ok),
                now_s,
            )


class RolloutTraffic:
    """Restricts attempts to the versions that rollouts allow.

    Attributes:
        canary_versions: The new version of each service whose rollout is in
            the canary step.
        promoted_versions: The same for the promote step.
    """

    def __init__(self, rollouts: NodeRollouts) -> None:
        self._rollouts = rollouts
        self._references = LatencyReferences()
        self.canary_versions: dict[str, str] = {}
        self.promoted_versions: dict[str, str] = {}

    def begin(self, service: str, version: str) -> None:
        """Records that a rollout was ordered."""
        self.end(service)
        self._references.forget(service)
        self.canary_versions[service] = version

    def promote(self, service: str, version: str) -> None:
        """Records that a rollout has reached the promote step."""
        self.end(service)
        self.promoted_versions[service] = version

    def end(self, service: str) -> None:
        """Records that a rollout has ended."""
        self.canary_versions.pop(service, None)
        self.promoted_versions.pop(service, None)

    def may_use_any(self, servers: Sequence[KnownServer], now_s: float) -> bool:
        """Returns whether a server is of a version that may get requests."""
        return any(self.may_use(server, now_s) for server in servers)

    def may_use(self, server: KnownServer, now_s: float) -> bool:
        """Returns whether a server's version may get requests."""
        entry = server.entry
        return self._rollouts.may_send(entry.service, entry.version, now_s)

    def choose(
        self,
        service: str,
        servers: Sequence[KnownServer],
        now_s: float,
        choose_of: Callable[[Sequence[KnownServer]], KnownServer | SendRefusal],
    ) -> KnownServer | SendRefusal:
        """Chooses a server of a version that an attempt may use.

        In the promote step, an old one is chosen only if no new one can be.

        Args:
            service: The service.
            servers: All its servers that may get requests.
            now_s: The time.
            choose_of: Chooses one of several servers.
        """
        chosen = choose_of(self._rollouts.select(service, servers, now_s))
        promoted_version = self.promoted_versions.get(service)
        if not isinstance(chosen, SendRefusal) or promoted_version is None:
            return chosen
        old = [
            server
            for server in servers
            if server.entry.version != promoted_version
            and self._rollouts.may_send(service, server.entry.version, now_s)
        ]
        second = choose_of(old)
        return chosen if isinstance(second, SendRefusal) else second

    def narrow(
        self, spec: AttemptSpec, candidates: list[Candidate], now_s: float
    ) -> list[Candidate]:
        """Chooses between the versions of the servers that have room.

        In the canary step, a hedge or retry goes to an old server if it can:
        the request may have failed since the version is bad.
        """
        service = spec.service
        canary_version = self.canary_versions.get(service)
        if canary_version is None and service not in self.promoted_versions:
            return candidates
        if canary_version is not None and spec.is_retry:
            old = [
                candidate
                for candidate in candidates
                if candidate[0].entry.version != canary_version
            ]
            return old or candidates
        servers = [server for server, _ in candidates]
        kept = self._rollouts.narrow(service, servers, now_s)
        if len(kept) == len(servers):
            return candidates
        kept_ids = {server.entry.server_id for server in kept}
        return [
            candidate
            for candidate in candidates
            if candidate[0].entry.server_id in kept_ids
        ]

    def start(
        self, spec: AttemptSpec, server: KnownServer, now_s: float
    ) -> RolloutAttempt:
        """Charges an attempt that is about to be sent to a server."""
        return RolloutAttempt(
            self._rollouts, self._references, spec, server, now_s
        )
