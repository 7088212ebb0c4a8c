"""One rollout, as one node sees it."""

from collections.abc import Iterator
from typing import Final

from mulberrybay_core.rollouts.evidence import (
    Evidence,
)
from mulberrybay_core.rollouts.exposure import Exposure
from mulberrybay_core.rollouts.observed import ObservedArms
from mulberrybay_core.rollouts.orders import (
    ArmCounts,
    RolloutCounts,
    RolloutOrder,
    RolloutState,
    RolloutStatus,
    RolloutStep,
)
from mulberrybay_core.rollouts.progress import (
    RolloutProgress,
    is_certainly_bad,
    promote_age_s,
)

# The most routes of which a node keeps counts apart; further ones are counted
# as one, so that a heartbeat stays small.
MAX_ROUTE_COUNT: Final = 8
OTHER_ROUTES: Final = "other"
# A node that learns of an order this much later than another one may have been
# restarted since the order.
LATE_ORDER_S: Final = 3.0
# The old version's replies since its last refusal from which on refusals of the
# new one are not explained by the load of both.
MIN_SERVED_COUNT: Final = 10


class Rollout:
    """One rollout: its order and status, this node's and others' counts.

    Attributes:
        order: The order.
        status: The status that this node follows; never another one after a
            final one.
        exposure: What this node has sent to the new version.
        is_condemned: Whether the version was judged bad.
        reason: Why it was, or how the order ended without a final status.
        is_in_use: Whether the version was in use before it was ordered.
        is_removed: Whether the order was removed.
        is_repeated: Whether there was an order for the same version before.
        is_told: Whether others were told of replies that decide against it.
        final_at_s: When this node learned of the final state; None before.
        stored: The status in the store; None if it has none.
    """

    def __init__(
        self, order: RolloutOrder, exposure: Exposure, now_s: float
    ) -> None:
        self.order = order
        self.exposure = exposure
        self.status = RolloutStatus(
            RolloutState.RUNNING, RolloutStep.CANARY, order.target_version
        )
        self.stored: RolloutStatus | None = None
        self.is_condemned = False
        self.reason = ""
        self.is_in_use = False
        self.is_removed = False
        self.is_repeated = False
        self.is_told = False
        self.final_at_s: float | None = None
        self._step_at_s = now_s
        self._ordered_at_s = now_s
        self._own = ObservedArms()
        self._all = ObservedArms()
        self._peers: dict[tuple[str, int], RolloutCounts] = {}
        self._in_flight = {False: 0, True: 0}
        self._own_is_bad = False
        # Replies of the old version since it last refused a request.
        self._served_count = 0

    @property
    def is_running(self) -> bool:
        """Whether the rollout has no final state."""
        return self.status.state is RolloutState.RUNNING

    @property
    def is_stopped(self) -> bool:
        """Whether this node sends nothing to the new version."""
        if self.is_running:
            return self.is_condemned or self._own_is_bad
        return self.status.state is RolloutState.ROLLED_BACK

    @property
    def is_promoted(self) -> bool:
        """Whether requests go to the new version without a bound."""
        return self.is_in_use or self.status.step is RolloutStep.PROMOTE

    def age_s(self, now_s: float) -> float:
        """Returns the age of the order, as far as any node knows it."""
        return now_s - self._ordered_at_s

    def canary_ratio(self, now_s: float) -> float:
        """Returns how much of the canary's time has passed, 0 to 1."""
        due_s = promote_age_s(self.order.duration_s)
        return min(1.0, self.age_s(now_s) / due_s) if due_s > 0 else 1.0

    def follow(self, status: RolloutStatus | None, now_s: float) -> None:
        """Takes the status from the store, unless this one is final."""
        self.stored = status
        if status is None or not self.is_running:
            return
        self._know_age(status.age_s, now_s)
        if status.state is not RolloutState.RUNNING:
            self._finish(status, now_s)
            return
        # The store may return from a copy in which the step is an earlier one.
        if (
            status.step is RolloutStep.PROMOTE
            and self.status.step is RolloutStep.CANARY
        ):
            self.status = status
            self._step_at_s = now_s

    def end(self, state: RolloutState, reason: str, now_s: float) -> None:
        """Ends the rollout at this node without a status from the store."""
        if self.is_running:
            status = RolloutStatus(
                state,
                RolloutStep.DONE,
                self.order.target_version,
                self.age_s(now_s),
                reason,
            )
            self._finish(status, now_s)

    def _finish(self, status: RolloutStatus, now_s: float) -> None:
        self.status = status
        self.final_at_s = now_s
        # The sums remain for operators.
        self._peers.clear()

    def condemn(self, reason: str) -> None:
        """Records that the version was judged bad."""
        if not self.is_condemned:
            self.is_condemned = True
            self.reason = reason

    # What this node sends and gets.

    def record_sent(self, *, is_new: bool) -> None:
        """Counts a request that is sent to a server."""
        self._in_flight[is_new] += 1
        if is_new:
            self.exposure.sent_count += 1

    def give_back(self, *, is_new: bool) -> None:
        """Takes back a request that reached no server."""
        self._end(is_new)
        if is_new:
            self.exposure.sent_count = max(0, self.exposure.sent_count - 1)

    def record_end(self, *, is_new: bool) -> None:
        """Records that a request ended without evidence."""
        self._end(is_new)
        if is_new:
            self.exposure.reply_count += 1

    def _end(self, is_new: bool) -> None:
        self._in_flight[is_new] = max(0, self._in_flight[is_new] - 1)

    def record_reply(
        self, route: str, added: ArmCounts, now_s: float, *, is_new: bool
    ) -> None:
        """Counts the end of a request that shows how good the version is."""
        self.record_end(is_new=is_new)
        # Both versions are compared over the same time, which begins with the
        # first reply of the new one.
        if not is_new and not self.exposure.sent_count:
            return
        if not is_new:
            self._served_count += 1
        key = is_new, self._route_key(route)
        for arms in (self._own, self._all):
            arms.add(key, added)
        is_against = added.bad_count > 0 or added.log_latency_sum > 0
        if is_new and is_against and not self._own_is_bad:
            self._own_is_bad = is_certainly_bad(self._own.judge(now_s))

    def is_bad_refusal(self, *, is_new: bool) -> bool:
        """Records a refusal; returns whether only the new version refuses.

        In the promote step, the old version has no replies to compare with.
        """
        if not is_new:
            self._served_count = 0
            return False
        return (
            self._served_count >= MIN_SERVED_COUNT
            and self.status.step is RolloutStep.CANARY
        )

    def decides(self, added: ArmCounts, now_s: float) -> bool:
        """Returns whether the last reply is evidence that others must know."""
        if not self.is_running or self.is_condemned:
            return False
        return self._own_is_bad or (
            added.bad_count > 0 and is_certainly_bad(self._all.judge(now_s))
        )

    def _route_key(self, route: str) -> str:
        routes = {name for _, name in self._own.total}
        if route in routes or len(routes) < MAX_ROUTE_COUNT:
            return route
        return OTHER_ROUTES

    # What other nodes report.

    def report(self, now_s: float) -> RolloutCounts:
        """Returns this node's counts for a heartbeat."""
        return RolloutCounts(
            service=self.order.service,
            target_version=self.order.target_version,
            age_s=self.age_s(now_s),
            arms=dict(self._own.total),
            old_in_flight_count=self._in_flight[False],
            is_condemned=self.is_condemned,
            sent_count=self.exposure.sent_count,
        )

    def merge(
        self, node: tuple[str, int], counts: RolloutCounts, now_s: float
    ) -> None:
        """Takes the counts of another node unless newer ones are known."""
        if not self.is_running:
            return
        if counts.age_s - self.age_s(now_s) > LATE_ORDER_S:
            if self.is_repeated:
                # It is about the earlier order.
                return
            self.exposure.has_slack = False
        self._know_age(counts.age_s, now_s)
        if counts.is_condemned:
            self.condemn("judged bad by another node")
        known = self._peers.get(node)
        if known is not None and _total(counts) < _total(known):
            return
        known_arms = {} if known is None else known.arms
        self._all.replace(known_arms, counts.arms)
        self._peers[node] = counts

    def forget_node(self, node_name: str) -> None:
        """Forgets that a node has requests in flight; its counts remain."""
        for key, counts in self._peers.items():
            if key[0] == node_name:
                self._peers[key] = counts._replace(old_in_flight_count=0)

    def _know_age(self, age_s: float, now_s: float) -> None:
        self._ordered_at_s = min(self._ordered_at_s, now_s - age_s)

    def evidence(self, now_s: float) -> Evidence:
        """Judges the version by the counts of all nodes."""
        return self._all.judge(now_s)

    def progress(self, now_s: float, *, all_have_seen: bool) -> RolloutProgress:
        """Returns what the next step depends on."""
        in_flight_count = self._in_flight[False] + sum(
            counts.old_in_flight_count for counts in self._peers.values()
        )
        return RolloutProgress(
            duration_s=self.order.duration_s,
            age_s=self.age_s(now_s),
            step=self.status.step,
            step_age_s=now_s - self._step_at_s,
            evidence=self.evidence(now_s),
            all_have_seen=all_have_seen,
            old_in_flight_count=in_flight_count,
        )


def _total(counts: RolloutCounts) -> tuple[int, float]:
    """Returns what only grows between reports of one incarnation."""
    arms: Iterator[ArmCounts] = iter(counts.arms.values())
    return sum(arm.reply_count for arm in arms), counts.age_s
