"""Follows the orders of rollouts and writes their status for all nodes.

The decisions are those of `mulberrybay_core.rollouts`. Every node follows the
orders in the store and tells the others in heartbeats what it has counted. One
of them writes the status, under the condition that the object has not changed
since; another one that does so at the same time does no harm.
"""

import math
import random
from collections.abc import Callable, Collection, Iterator, Sequence
from typing import Final, NamedTuple, Protocol

from mulberrybay_core.edge_nodes import EdgeHeartbeat, EdgeNodes
from mulberrybay_core.errors import Failure
from mulberrybay_core.platform_documents import (
    PlatformDocuments,
    RolloutDocument,
)
from mulberrybay_core.rollouts import (
    NodeRollouts,
    RolloutCounts,
    RolloutOrder,
    RolloutState,
    RolloutStatus,
    RolloutStep,
    RolloutSummary,
)
from mulberrybay_core.routing import RouteTable
from mulberrybay_core.store_messages import (
    JsonObject,
    ObjectHandler,
    ObjectList,
    StoredObject,
    WriteHandler,
    WriteOutcome,
    WriteResult,
)
from mulberrybay_core.store_position import era_of
from mulberrybay_edge.decision_log import DecisionLog
from mulberrybay_edge.rollout_traffic import RolloutTraffic
from mulberrybay_edge.settings import EdgeSettings
from mulberrybay_edge.store_watch import StoreWatch
from mulberrybay_runtime.clock import read_clock_s

# A hub has heard all nodes after this time: others send to hubs every 2 s.
WRITER_DELAY_S: Final = 2.5
# A node doesn't write while others have had an answer of the store within this
# time beyond the longest wait of a watch, and it has not.
STORE_ANSWER_MARGIN_S: Final = 1.0
# How long after a failed write, or one whose effect isn't seen, the next one is
# sent.
REWRITE_DELAY_S: Final = 0.6
# Nodes know the age of an order from each other, and those that start when all
# were killed from the status alone. The age in it is at most this old, or this
# part of the duration if that is more.
MAX_STORED_AGE_S: Final = 3.0
MAX_STORED_AGE_RATIO: Final = 0.1
# Judging costs processor time at each node, for each node that reports.
LOG_PERIOD_S: Final = 1.0
NODES_PER_LOG_PERIOD: Final = 300
# The least time between two heartbeats that tell of a fault at once.
TELL_GAP_S: Final = 0.2


class StatusStore(Protocol):
    """The part of the store's client that writes statuses."""

    def read(self, kind: str, name: str, reply: ObjectHandler) -> None:
        """Reads an object; the result is None if it does not exist."""

    def write_status(
        self,
        kind: str,
        name: str,
        status: JsonObject,
        expected_version: int,
        reply: WriteHandler,
    ) -> None:
        """Writes an object's status if its version is the expected one."""


class RolloutContext(NamedTuple):
    """The objects of the node that rollouts use.

    Attributes:
        store: The client of the platform's store.
        documents: Decodes orders and encodes statuses.
        nodes: This node and its peers.
        log: The log of changes of this node's view.
        clock: Returns the time.
        max_store_age_s: How old the store's last answer to a node is at most
            while the node reaches it.
    """

    store: StatusStore
    documents: PlatformDocuments
    nodes: EdgeNodes
    log: DecisionLog
    clock: Callable[[], float]
    max_store_age_s: float


class RolloutControl:
    """One node's part in rollouts; listens to their watch.

    Attributes:
        traffic: Restricts attempts to the versions that rollouts allow.
        write_counts: Writes of a status by outcome.
        tell: Sends a heartbeat at once; None before the node has peers.
    """

    def __init__(self, context: RolloutContext, rollouts: NodeRollouts) -> None:
        self._context = context
        self._rollouts = rollouts
        self.traffic = RolloutTraffic(rollouts)
        self.tell: Callable[[], None] | None = None
        self._is_untold = False
        self._tell_at_s = 0.0
        rollouts.on_fault = self._tell_of_fault
        self._watch: StoreWatch | None = None
        self._kind_index = 0
        self._is_listed = False
        self._has_orders = False
        # By service: the last document that was applied, when the next write
        # may be sent, and the reason that was logged last.
        self._documents: dict[str, RolloutDocument] = {}
        self._next_write_at_s: dict[str, float] = {}
        self._logged_reasons: dict[str, str] = {}
        # When each order was given, by the clock of this node.
        self._ordered_at_s: dict[str, float] = {}
        # The services whose order was replaced by one that can't be read.
        self._unreadable: set[str] = set()
        self._log_at_s = 0.0
        self._reporters: set[str] = set()
        self.unreadable_count = 0
        self.write_counts = dict.fromkeys(("written", "conflict", "failed"), 0)

    def attach(self, watches: Sequence[StoreWatch]) -> None:
        """Finds the watch of orders and its place among all watches."""
        kind = self._context.documents.kinds.rollouts
        self._kind_index = [watch.kind for watch in watches].index(kind)
        self._watch = watches[self._kind_index]

    # Orders and their status; see `WatchListener`.

    def on_list(self, objects: ObjectList) -> None:
        """Replaces the known orders."""
        now_s = self._context.clock()
        names = {stored.name for stored in objects.items}
        for stored in objects.items:
            self._apply(stored, now_s)
        self._remove(self._documents.keys() - names, now_s)
        self._is_listed = True
        if self._watch is not None and self._watch.is_restoring:
            # The list holds what this node has kept, and the store may lack it.
            for order, _ in self._documents.values():
                self._rollouts.set_order(order, None, now_s)

    def on_changes(self, changes: ObjectList) -> None:
        """Applies orders that were written or removed."""
        now_s = self._context.clock()
        for stored in changes.items:
            self._apply(stored, now_s)
        self._remove(changes.removed_names, now_s)

    def _apply(self, stored: StoredObject, now_s: float) -> None:
        document = self._context.documents.read_rollout(stored)
        if document is None:
            # What is known of the service stays in force. A status can't be
            # written, as the revision of the known order is not the object's.
            self.unreadable_count += 1
            self._unreadable.add(stored.name)
            self._context.log.log_view_change(
                "unreadable rollout left out", service=stored.name
            )
            return
        known = self._documents.get(stored.name)
        version = document.order.object_version
        if known is None or known.order.object_version <= version:
            self._apply_document(document, now_s)

    def _apply_document(self, document: RolloutDocument, now_s: float) -> None:
        order, status = document
        known = self._documents.get(order.service)
        self._documents[order.service] = document
        self._unreadable.discard(order.service)
        if known is None or known.order.target_version != order.target_version:
            self.traffic.begin(order.service, order.target_version)
            self._ordered_at_s.pop(order.service, None)
            self._logged_reasons.pop(order.service, None)
            self._context.log.log_view_change(
                "rollout ordered",
                service=order.service,
                target_version=order.target_version,
                duration_s=order.duration_s,
                version=order.object_version,
            )
        self._rollouts.set_order(order, status, now_s)
        self._next_write_at_s.pop(order.service, None)
        if status is None or status.target_version != order.target_version:
            return
        if status.state is not RolloutState.RUNNING:
            self.traffic.end(order.service)
        elif status.step is RolloutStep.PROMOTE:
            self.traffic.promote(order.service, order.target_version)
        if (
            known is None
            or known.status is None
            or known.status[:3] != status[:3]
        ):
            self._context.log.log_view_change(
                "rollout step",
                service=order.service,
                target_version=order.target_version,
                state=status.state.value,
                step=status.step.value,
                reason=status.reason,
                age_s=round(status.age_s, 1),
                version=order.object_version,
            )

    def _remove(self, services: Collection[str], now_s: float) -> None:
        for service in services:
            self._unreadable.discard(service)
            if self._documents.pop(service, None) is None:
                continue
            self.traffic.end(service)
            self._next_write_at_s.pop(service, None)
            self._ordered_at_s.pop(service, None)
            self._logged_reasons.pop(service, None)
            self._rollouts.remove_order(service, now_s)
            self._context.log.log_view_change(
                "rollout order removed", service=service
            )

    # Other nodes.

    def _tell_of_fault(self) -> None:
        """Sends a heartbeat now, or after the least gap since the last one."""
        now_s = self._context.clock()
        self._is_untold = now_s < self._tell_at_s
        if not self._is_untold and self.tell is not None:
            self._tell_at_s = now_s + TELL_GAP_S
            self.tell()

    def reports(self) -> tuple[RolloutCounts, ...]:
        """Returns what this node tells in heartbeats."""
        return self._rollouts.reports(self._context.clock())

    def merge(self, heartbeat: EdgeHeartbeat) -> None:
        """Takes what another node tells in a heartbeat."""
        sender = heartbeat.sender
        self._reporters.add(sender.name)
        self._rollouts.merge(
            sender.name,
            sender.incarnation,
            heartbeat.rollouts,
            self._context.clock(),
        )

    def _forget_stopped_nodes(self, now_s: float) -> None:
        nodes = self._context.nodes
        stopped = {
            name
            for name in self._reporters
            if not nodes.is_running(name, now_s)
        }
        for name in stopped:
            self._rollouts.forget_node(name)
        self._reporters -= stopped

    # Periodic maintenance and the status.

    def update(self, share_divisor: float, table: RouteTable | None) -> None:
        """Does what is due by the time alone; called periodically.

        Args:
            share_divisor: A limit is divided by it to get this node's share.
            table: The routes of the configuration; None before it.
        """
        now_s = self._context.clock()
        self._rollouts.share_divisor = share_divisor
        if table is not None:
            self._rollouts.services = frozenset(table.service_names())
        self._check_first_list(now_s)
        if self._is_untold:
            self._tell_of_fault()
        if not self._documents:
            return
        if now_s >= self._log_at_s:
            self._forget_stopped_nodes(now_s)
            self._log_reasons(now_s)
            node_count = self._context.nodes.sharing_count(now_s)
            self._log_at_s = now_s + LOG_PERIOD_S * max(
                1.0, node_count / NODES_PER_LOG_PERIOD
            )

    def _check_first_list(self, now_s: float) -> None:
        """Notices that the orders that were there at the start are known.

        A node has a part of the slack only for orders that come later. Without
        registrations it doesn't know by how many nodes the slack is divided.
        """
        if (
            self._is_listed
            and not self._has_orders
            and self._context.nodes.has_registrations
        ):
            self._has_orders = True
            self._rollouts.finish_first_list(now_s)

    def _log_reasons(self, now_s: float) -> None:
        for summary in self._rollouts.summaries(now_s):
            service = summary.order.service
            self._ordered_at_s[service] = now_s - summary.age_s
            if (
                summary.state is RolloutState.RUNNING
                and self._logged_reasons.get(service, "") != summary.reason
            ):
                self._logged_reasons[service] = summary.reason
                self._log_counts("rollout waits", summary)

    def _log_counts(self, message: str, summary: RolloutSummary) -> None:
        self._context.log.log_view_change(
            message,
            service=summary.order.service,
            target_version=summary.order.target_version,
            step=summary.step.value,
            reason=summary.reason,
            age_s=round(summary.age_s, 1),
            new_replies=summary.new.reply_count,
            new_bad=summary.new.bad_count,
            old_replies=summary.old.reply_count,
            old_bad=summary.old.bad_count,
            sent=summary.sent_count,
            allowed=round(summary.allowed_count, 1),
        )

    def summaries(self) -> Iterator[RolloutSummary]:
        """Yields each rollout for operators."""
        return self._rollouts.summaries(self._context.clock())

    def write_due(self, store_age_s: float) -> None:
        """Writes the statuses that are due, if this node is the writer.

        Args:
            store_age_s: How long ago the store has answered this node.
        """
        context, now_s = self._context, self._context.clock()
        if not self._documents or not context.nodes.writes_for_all(
            WRITER_DELAY_S, store_age_s, context.max_store_age_s, now_s
        ):
            return
        for order, status in self._rollouts.due_statuses(
            now_s, self._all_have_seen
        ):
            self._write_once(order, status, now_s)
        for order, known in [*self._documents.values()]:
            if known is not None and self._has_old_age(order, known, now_s):
                age_s = now_s - self._ordered_at_s[order.service]
                self._write_once(order, known._replace(age_s=age_s), now_s)

    def _has_old_age(
        self, order: RolloutOrder, status: RolloutStatus, now_s: float
    ) -> bool:
        """Whether a stored status of the canary step gives too low an age.

        After the deadline, the age decides nothing more.
        """
        services = self._rollouts.services
        if (
            status[:3]
            != (
                RolloutState.RUNNING,
                RolloutStep.CANARY,
                order.target_version,
            )
            or status.age_s >= order.duration_s
            or (services is not None and order.service not in services)
        ):
            return False
        age_s = now_s - self._ordered_at_s.get(order.service, now_s)
        return age_s - status.age_s >= max(
            MAX_STORED_AGE_S, MAX_STORED_AGE_RATIO * order.duration_s
        )

    def _write_once(
        self, order: RolloutOrder, status: RolloutStatus, now_s: float
    ) -> None:
        """Writes a status unless another write for the order is in progress."""
        if order.service in self._unreadable:
            return
        if now_s >= self._next_write_at_s.get(order.service, 0.0):
            self._next_write_at_s[order.service] = math.inf
            self._write(order, status)

    def _all_have_seen(self, order: RolloutOrder) -> bool:
        return self._context.nodes.all_have_changes(
            self._kind_index, order.object_version, self._context.clock()
        )

    def _write(self, order: RolloutOrder, status: RolloutStatus) -> None:
        context = self._context
        kind = context.documents.kinds.rollouts

        def on_written(result: WriteResult | Failure) -> None:
            now_s = context.clock()
            self._next_write_at_s[order.service] = now_s + REWRITE_DELAY_S
            if isinstance(result, Failure):
                self._count_write("failed", order, status, result.detail)
            elif result.outcome is WriteOutcome.CONFLICT:
                self._count_write("conflict", order, status, "")
                context.store.read(kind, order.service, on_read)
            else:
                self._count_write("written", order, status, "")
                self._apply_written(order, status, result.version, now_s)

        def on_read(result: StoredObject | Failure | None) -> None:
            if isinstance(result, StoredObject):
                self._apply_read(order, result)

        context.store.write_status(
            kind,
            order.service,
            context.documents.encode_rollout_status(status),
            order.object_version,
            on_written,
        )

    def _count_write(
        self,
        outcome: str,
        order: RolloutOrder,
        status: RolloutStatus,
        cause: str,
    ) -> None:
        self.write_counts[outcome] += 1
        self._context.log.log_view_change(
            f"rollout status {outcome}",
            service=order.service,
            target_version=order.target_version,
            state=status.state.value,
            step=status.step.value,
            reason=status.reason,
            cause=cause,
            version=order.object_version,
        )

    def _is_current(self, order: RolloutOrder) -> bool:
        known = self._documents.get(order.service)
        return known is not None and known.order == order

    def _apply_written(
        self,
        order: RolloutOrder,
        status: RolloutStatus,
        version: int,
        now_s: float,
    ) -> None:
        """Follows a status that this node has written, before its watch."""
        if version > order.object_version and self._is_current(order):
            order = order._replace(object_version=version)
            self._apply_document(RolloutDocument(order, status), now_s)

    def _apply_read(self, order: RolloutOrder, stored: StoredObject) -> None:
        """Follows the object that kept this node's status from being written.

        After the store has returned from an older copy, the object there may
        have a lower version than the one that this node has kept. An order for
        another version is left to the watch.
        """
        document = self._context.documents.read_rollout(stored)
        if (
            document is not None
            and document.order.target_version == order.target_version
            and self._is_current(order)
            and era_of(stored.version) == era_of(order.object_version)
        ):
            self._apply_document(document, self._context.clock())


def find_status_kinds(
    settings: EdgeSettings, documents: PlatformDocuments
) -> frozenset[str]:
    """Returns the kinds whose objects have a status that a node reads."""
    if settings.rollouts is None:
        return frozenset()
    return frozenset({documents.kinds.rollouts})


def make_rollout_control(
    settings: EdgeSettings,
    documents: PlatformDocuments,
    store: StatusStore,
    nodes: EdgeNodes,
    log: DecisionLog,
) -> RolloutControl | None:
    """Returns a node's part in rollouts; None if the settings have none."""
    if settings.rollouts is None:
        return None
    times = settings.follow_times
    context = RolloutContext(
        store,
        documents,
        nodes,
        log,
        read_clock_s,
        times.wait_s + times.patience_s + STORE_ANSWER_MARGIN_S,
    )
    return RolloutControl(
        context, NodeRollouts(settings.rollouts, random.Random())
    )
