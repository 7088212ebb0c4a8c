"""All rollouts as one node sees them.

The node passes in orders, replies and the reports of other nodes. It asks which
servers an attempt may use and, as the writer, which statuses to write.
"""

import math
import random
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Final

from mulberrybay_core.rollouts.exposure import Exposure
from mulberrybay_core.rollouts.orders import (
    ArmCounts,
    RolloutCounts,
    RolloutOrder,
    RolloutState,
    RolloutStatus,
    RolloutStep,
    RolloutSummary,
    RolloutTerms,
)
from mulberrybay_core.rollouts.progress import (
    MIN_REPLY_COUNT,
    next_status,
    waits_for,
)
from mulberrybay_core.rollouts.rollout import Rollout
from mulberrybay_core.rollouts.versions import ServerT, ServiceVersions
from mulberrybay_core.store_position import era_of

# The servers of the new version that the canary uses at a time, so that they
# get a load as after the rollout.
CANARY_SERVER_COUNT: Final = 2
# The ratio of the attempts that use an available canary request, so that the
# canary is a sample of all requests and not, say, of those after a reply.
CANARY_ATTEMPT_RATIO: Final = 0.5
MAX_REPORT_COUNT: Final = 8
# How long a finished rollout is still reported.
FINISHED_REPORT_S: Final = 10.0
# A bound for the size of a relative latency, so that one reply can't decide.
MAX_LATENCY_RATIO: Final = 12.0
# The latency of an abandoned request is assumed to be this multiple of its age.
ABANDONED_LATENCY_RATIO: Final = 2.0
# An order for the same version that returns this soon after its removal keeps
# the counts of what was sent.
REORDER_S: Final = 60.0
# After a complete first list of orders, which may be stale, changes that it
# lacks arrive within this time.
STALE_LIST_S: Final = 3.0


class NodeRollouts:
    """All rollouts as one node sees them.

    Each request that is sent to a server of a service is recorded by
    `record_sent` and ends with exactly one of `record_reply`, `record_refused`,
    `record_abandoned` and `give_back`.

    Attributes:
        terms: The bounds for all nodes together.
        share_divisor: The slack of all nodes is divided by this to get this
            node's share.
        services: The services in the configuration; None if unknown. The
            statuses of other services are left alone.
        on_fault: Called when the other nodes should hear of a fault at once;
            at most twice for each rollout.
    """

    def __init__(
        self, terms: RolloutTerms, random_source: random.Random
    ) -> None:
        self.terms = terms
        self.share_divisor = 1.0
        self.services: frozenset[str] | None = None
        self.on_fault: Callable[[], None] | None = None
        self._random = random_source
        self._has_orders = False
        self._first_list_at_s = math.inf
        self._rollouts: dict[str, Rollout] = {}
        self._versions: dict[str, ServiceVersions] = {}
        # What was sent for orders that were removed or replaced, by service and
        # version, with the time of the end.
        self._ended: dict[tuple[str, str], tuple[Exposure, float]] = {}

    # Orders and their status.

    def finish_first_list(self, now_s: float = -math.inf) -> None:
        """Records that all orders of the first complete list were set.

        Orders that are set before this or shortly after get no slack: this node
        may have used its part before it started, and the first list may lack
        the last changes.
        """
        self._has_orders = True
        self._first_list_at_s = now_s
        for versions in self._versions.values():
            versions.has_orders = True

    def set_order(
        self, order: RolloutOrder, status: RolloutStatus | None, now_s: float
    ) -> None:
        """Takes an order and its status as they are in the store.

        Call it for each change of the object, also of its status only.
        """
        if status is not None and (
            status.target_version != order.target_version
        ):
            status = None
        known = self._rollouts.get(order.service)
        is_same = known is not None and (
            known.order.target_version == order.target_version
        )
        if known is None:
            known = self._start(order, now_s)
        elif is_same and _is_of_later_era(known.order, order):
            # A store that returns from an older copy may have the order again.
            known.is_removed = False
        elif not is_same or known.is_removed:
            is_copy = _is_of_later_era(known.order, order) and (
                self._service(order.service).is_banned(order.target_version)
            )
            if not known.is_removed:
                self._end(known, "replaced by another order", now_s)
            known = self._start(order, now_s)
            if is_copy:
                self._end(known, "ended before the store returned", now_s)
        known.order = order
        was_running = known.is_running
        known.follow(status, now_s)
        if was_running and not known.is_running:
            self._apply_final(known, now_s)

    def remove_order(self, service: str, now_s: float) -> None:
        """Records that an order was removed; handled as rolled back."""
        known = self._rollouts.get(service)
        if known is None:
            return
        self._end(known, "order removed", now_s)
        known.is_removed = True

    def _start(self, order: RolloutOrder, now_s: float) -> Rollout:
        ended = self._ended.pop((order.service, order.target_version), None)
        sent = self._service(order.service).start(order.target_version, now_s)
        if ended is not None and now_s - ended[1] < REORDER_S:
            exposure = ended[0]
        else:
            exposure = Exposure(
                self.terms,
                self._random,
                has_slack=self._has_orders
                and now_s - self._first_list_at_s >= STALE_LIST_S,
            )
            exposure.sent_count = exposure.reply_count = sent.sent_count
        exposure.set_divisor(self.share_divisor)
        rollout = Rollout(order, exposure, now_s)
        rollout.is_in_use = sent.is_in_use
        rollout.is_repeated = ended is not None
        self._rollouts[order.service] = rollout
        return rollout

    def _end(self, rollout: Rollout, reason: str, now_s: float) -> None:
        order = rollout.order
        self._ended = {
            key: item
            for key, item in self._ended.items()
            if now_s - item[1] < REORDER_S
        }
        self._ended[order.service, order.target_version] = (
            rollout.exposure,
            now_s,
        )
        if rollout.is_running:
            rollout.end(RolloutState.ROLLED_BACK, reason, now_s)
            self._apply_final(rollout, now_s)

    def _apply_final(self, rollout: Rollout, now_s: float) -> None:
        order = rollout.order
        versions = self._service(order.service)
        versions.target_version = None
        if rollout.status.state is RolloutState.COMPLETED:
            versions.complete(order.target_version, now_s)
        else:
            versions.ban(order.target_version)

    def _service(self, service: str) -> ServiceVersions:
        versions = self._versions.get(service)
        if versions is None:
            versions = self._versions[service] = ServiceVersions()
            versions.has_orders = self._has_orders
        return versions

    # Attempts.

    def select(
        self, service: str, servers: Sequence[ServerT], now_s: float
    ) -> Sequence[ServerT]:
        """Returns the servers that an attempt may use.

        Takes nothing from the bound of the canary; `record_sent` does.

        Args:
            service: The service.
            servers: All servers of the service that may get requests now,
                including those that are busy or were tried by this request.
            now_s: The time.
        """
        if not servers:
            return servers
        versions = self._service(service)
        if versions.has_only_version_of(servers):
            return servers
        versions.observe((server.entry.version for server in servers), now_s)
        old = versions.old_servers(servers, now_s)
        target_version = versions.target_version
        if target_version is None:
            return old
        new = [
            server
            for server in servers
            if server.entry.version == target_version
        ]
        rollout = self._rollouts[service]
        if not new or rollout.is_stopped:
            return old
        if rollout.is_promoted:
            # Cold servers accept few requests.
            if any(now_s >= server.cold_until_s for server in new):
                return new
            return new + old
        rollout.exposure.set_divisor(self.share_divisor)
        if not rollout.exposure.may_send(rollout.canary_ratio(now_s)):
            return old
        return old + _canary_servers(new, now_s)

    def narrow(
        self, service: str, servers: Sequence[ServerT], now_s: float
    ) -> Sequence[ServerT]:
        """Chooses between the old and the new version.

        Args:
            service: The service.
            servers: Those servers from `select` to which the attempt can be
                sent at once.
            now_s: The time.

        Returns:
            Servers of one version, if a canary request is available.
        """
        rollout = self._rollouts.get(service)
        if rollout is None or not rollout.is_running:
            return servers
        target_version = rollout.order.target_version
        new = [s for s in servers if s.entry.version == target_version]
        if not new or len(new) == len(servers):
            return servers
        if rollout.is_promoted:
            return new
        is_scarce = rollout.exposure.sent_count < MIN_REPLY_COUNT
        if is_scarce or self._random.random() < CANARY_ATTEMPT_RATIO:
            return new
        return [s for s in servers if s.entry.version != target_version]

    def may_send(self, service: str, version: str, now_s: float) -> bool:
        """Returns whether a chosen server's version may still get a request.

        For an attempt that waited for a connection after `select`.
        """
        versions = self._versions.get(service)
        if versions is None:
            return True
        if versions.is_banned(version):
            return False
        if version != versions.target_version:
            return True
        rollout = self._rollouts[service]
        if rollout.is_stopped:
            return False
        return rollout.is_promoted or rollout.exposure.may_send(
            rollout.canary_ratio(now_s)
        )

    def record_request(self, service: str, now_s: float) -> None:
        """Counts a caller's request for a service."""
        rollout = self._rollouts.get(service)
        if rollout is not None and rollout.is_running:
            rollout.exposure.request_count += 1

    def record_sent(self, service: str, version: str, now_s: float) -> None:
        """Counts a request, hedge or retry that is sent to a server."""
        self._service(service).record_sent(version)
        rollout = self._rollouts.get(service)
        if rollout is not None:
            is_new = version == rollout.order.target_version
            rollout.record_sent(is_new=is_new)

    def give_back(self, service: str, version: str) -> None:
        """Takes back a request that reached no server."""
        rollout = self._rollouts.get(service)
        if rollout is not None:
            rollout.give_back(is_new=version == rollout.order.target_version)

    def record_reply(
        self,
        service: str,
        version: str,
        route: str,
        is_bad: bool,
        latency_ratio: float,
        now_s: float,
    ) -> None:
        """Counts a reply, or that it was lost.

        Args:
            service: The service.
            version: The version of the server.
            route: The name of the route.
            is_bad: Whether it was a failure, or was lost.
            latency_ratio: The latency as a multiple of the typical one of the
                route; 0 to leave it out, as for servers that are cold.
            now_s: The time.
        """
        rollout = self._rollouts.get(service)
        if rollout is None:
            return
        latency = ArmCounts()
        if latency_ratio > 0 and not is_bad:
            latency = _latency_counts(latency_ratio)
        added = latency._replace(reply_count=1, bad_count=int(is_bad))
        self._record(rollout, version, route, added, now_s)

    def _record(
        self,
        rollout: Rollout,
        version: str,
        route: str,
        added: ArmCounts,
        now_s: float,
    ) -> None:
        is_new = version == rollout.order.target_version
        rollout.record_reply(route, added, now_s, is_new=is_new)
        if is_new and not rollout.is_told and rollout.decides(added, now_s):
            rollout.is_told = True
            self._tell()

    def _tell(self) -> None:
        if self.on_fault is not None:
            self.on_fault()

    def record_refused(
        self,
        service: str,
        version: str,
        route: str,
        is_unexplained: bool,
        now_s: float,
    ) -> None:
        """Records a reply that says that the request was not run.

        Args:
            service: The service.
            version: The version of the server.
            route: The name of the route.
            is_unexplained: Whether the server has a free slot and gives no
                reason; then it is a failure unless the old version refuses too.
            now_s: The time.
        """
        rollout = self._rollouts.get(service)
        if rollout is None:
            return
        is_new = version == rollout.order.target_version
        if rollout.is_bad_refusal(is_new=is_new) and is_unexplained:
            added = ArmCounts(reply_count=1, bad_count=1)
            self._record(rollout, version, route, added, now_s)
        else:
            rollout.record_end(is_new=is_new)

    def record_abandoned(
        self,
        service: str,
        version: str,
        route: str,
        latency_ratio: float,
        now_s: float,
    ) -> None:
        """Records that a request was abandoned without a reply.

        It would have taken longer, so twice its age counts as its latency:
        slow requests are those that are abandoned.

        Args:
            service: The service.
            version: The version of the server.
            route: The name of the route.
            latency_ratio: Its age as a multiple of the typical latency of the
                route; 0 to leave it out, as for servers that are cold.
            now_s: The time.
        """
        rollout = self._rollouts.get(service)
        if rollout is None:
            return
        is_new = version == rollout.order.target_version
        # An attempt that was abandoned early says nothing of the server.
        if ABANDONED_LATENCY_RATIO * latency_ratio < 1:
            rollout.record_end(is_new=is_new)
            return
        added = _latency_counts(ABANDONED_LATENCY_RATIO * latency_ratio)
        self._record(rollout, version, route, added, now_s)

    # Other nodes.

    def reports(self, now_s: float) -> tuple[RolloutCounts, ...]:
        """Returns this node's counts for a heartbeat, unfinished ones first."""
        recent = [
            rollout
            for rollout in self._rollouts.values()
            if rollout.final_at_s is None
            or now_s - rollout.final_at_s < FINISHED_REPORT_S
        ]
        recent.sort(key=lambda rollout: not rollout.is_running)
        return tuple(
            rollout.report(now_s) for rollout in recent[:MAX_REPORT_COUNT]
        )

    def merge(
        self,
        node_name: str,
        incarnation: int,
        reports: Iterable[RolloutCounts],
        now_s: float,
    ) -> None:
        """Takes the counts in another node's heartbeat."""
        for counts in reports:
            rollout = self._rollouts.get(counts.service)
            if (
                rollout is not None
                and rollout.order.target_version == counts.target_version
            ):
                rollout.merge((node_name, incarnation), counts, now_s)

    def forget_node(self, node_name: str) -> None:
        """Records that a node no longer runs; its counts remain evidence."""
        for rollout in self._rollouts.values():
            rollout.forget_node(node_name)

    # The writer, and operators.

    def due_statuses(
        self, now_s: float, all_have_seen: Callable[[RolloutOrder], bool]
    ) -> Iterator[tuple[RolloutOrder, RolloutStatus]]:
        """Yields the statuses that the writer should write now.

        Each is yielded again until `set_order` shows it; the caller limits the
        rate of its attempts, and writes only if the object is still the one of
        the order's `object_version`.

        Args:
            now_s: The time.
            all_have_seen: Returns whether every running node knows the object
                up to the order's `object_version`.
        """
        for rollout in [*self._rollouts.values()]:
            order, status = rollout.order, rollout.status
            if rollout.is_removed or (
                self.services is not None and order.service not in self.services
            ):
                continue
            stored = rollout.stored
            if not rollout.is_running:
                # A final state in the store is never replaced.
                if stored is None or stored.state is RolloutState.RUNNING:
                    yield order, status
                continue
            progress = rollout.progress(
                now_s, all_have_seen=all_have_seen(order)
            )
            due = next_status(progress, order.target_version)
            if (
                due is not None
                and due.state is RolloutState.ROLLED_BACK
                and not rollout.is_condemned
            ):
                rollout.condemn(due.reason)
                self._tell()
            if rollout.is_condemned:
                yield (
                    order,
                    RolloutStatus(
                        RolloutState.ROLLED_BACK,
                        RolloutStep.DONE,
                        order.target_version,
                        progress.age_s,
                        rollout.reason,
                    ),
                )
            elif due is not None:
                yield order, due
            elif stored is None or stored.step is not status.step:
                yield order, status._replace(age_s=progress.age_s)

    def summaries(self, now_s: float) -> Iterator[RolloutSummary]:
        """Yields each rollout for operators."""
        for rollout in self._rollouts.values():
            progress = rollout.progress(now_s, all_have_seen=False)
            evidence = progress.evidence
            if rollout.is_running and not rollout.is_stopped:
                reason = waits_for(progress)
            else:
                reason = rollout.status.reason or rollout.reason
            yield RolloutSummary(
                order=rollout.order,
                state=rollout.status.state,
                step=rollout.status.step,
                age_s=progress.age_s,
                new=evidence.new,
                old=evidence.old,
                sent_count=rollout.exposure.sent_count,
                allowed_count=rollout.exposure.allowed_count(
                    rollout.canary_ratio(now_s)
                ),
                reason=reason,
            )


def _is_of_later_era(known: RolloutOrder, order: RolloutOrder) -> bool:
    return era_of(order.object_version) > era_of(known.object_version)


def _latency_counts(latency_ratio: float) -> ArmCounts:
    log_latency = math.log(
        min(max(latency_ratio, 1 / MAX_LATENCY_RATIO), MAX_LATENCY_RATIO)
    )
    return ArmCounts(
        log_latency_sum=log_latency,
        log_latency_square_sum=log_latency**2,
        latency_count=1,
    )


def _canary_servers(servers: list[ServerT], now_s: float) -> list[ServerT]:
    """Returns the servers that the canary uses, the same on every node.

    They are in different failure domains if possible, so that the loss of one
    doesn't look like a fault of the version.
    """
    servers.sort(
        key=lambda server: (now_s < server.cold_until_s, server.entry.server_id)
    )
    domain = servers[0].entry.failure_domain
    rest = servers[1:]
    rest.sort(key=lambda server: server.entry.failure_domain == domain)
    return [servers[0], *rest[: CANARY_SERVER_COUNT - 1]]
