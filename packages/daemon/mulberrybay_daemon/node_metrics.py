"""The metrics of a node, which docs/METRICS.md documents."""

import enum
from collections.abc import Iterator, Mapping
from typing import Final, TypeVar

from mulberrybay_core.burn import LONG_WINDOW_S, SHORT_WINDOW_S, evaluate_class
from mulberrybay_core.errors import RunState
from mulberrybay_core.fleet import EMPTY_FLEET
from mulberrybay_core.holdings import HolderChange
from mulberrybay_core.refusals import RefusalReason
from mulberrybay_core.service_levels import LATENCY_BOUNDS_S
from mulberrybay_daemon.change_handler import ChangeHandler
from mulberrybay_daemon.node_parts import NodeParts
from mulberrybay_runtime.clock import read_clock_s
from mulberrybay_runtime.metrics import (
    HistogramValue,
    MetricSpec,
    Sample,
    SampleSource,
    count_samples,
)

SHORT_WINDOW: Final = f"{SHORT_WINDOW_S / 60:g}m"
LONG_WINDOW: Final = f"{LONG_WINDOW_S / 3600:g}h"

CLASS_SPECS: Final = (
    MetricSpec(
        "requests",
        "counter",
        "Callers' requests that ended.",
        ("class", "outcome"),
    ),
    MetricSpec(
        "request_latency_seconds",
        "histogram",
        "From a request's arrival to its answer, refusals left out.",
        ("class",),
    ),
    MetricSpec(
        "late_requests",
        "counter",
        "Requests without an answer within the class's lateness.",
        ("class",),
    ),
    MetricSpec(
        "shards", "counter", "Shards that queries asked for.", ("class",)
    ),
    MetricSpec(
        "missing_shards",
        "counter",
        "Shards that answers did not cover.",
        ("class",),
    ),
    MetricSpec(
        "extra_attempts",
        "counter",
        "Sub-requests beyond one per shard.",
        ("class",),
    ),
    MetricSpec(
        "burn_rate_ratio",
        "gauge",
        "Share of bad events divided by the share that the target allows.",
        ("class", "objective", "window"),
    ),
)
ATTEMPT_SPECS: Final = (
    MetricSpec(
        "attempts",
        "counter",
        "Sub-requests that this node, as their holder, has ended.",
        ("outcome",),
    ),
    MetricSpec(
        "dispatches",
        "counter",
        "Sub-requests sent to backend servers.",
        ("failure_domain",),
    ),
    MetricSpec(
        "outstanding_attempts",
        "gauge",
        "Sub-requests sent to backend servers and not yet answered.",
    ),
    MetricSpec(
        "backend_connections", "gauge", "Connections to backend servers."
    ),
    MetricSpec(
        "held_servers", "gauge", "Backend servers that this node holds."
    ),
    MetricSpec(
        "claiming_servers",
        "gauge",
        "Backend servers that this node is about to hold.",
    ),
    MetricSpec("active_requests", "gauge", "Callers' requests in progress."),
)
RUN_SPECS: Final = (
    MetricSpec(
        "refusals",
        "counter",
        "Callers' requests that were not begun.",
        ("reason",),
    ),
    MetricSpec(
        "runs",
        "counter",
        "Non-idempotent requests that ended.",
        ("run_state",),
    ),
    MetricSpec(
        "unsaved_outcomes",
        "gauge",
        "Outcomes of runs that the platform's store does not have yet.",
    ),
    MetricSpec(
        "dropped_outcomes",
        "counter",
        "Outcomes of runs given up, since too many waited.",
    ),
    MetricSpec(
        "deleted_run_records",
        "counter",
        "Run records deleted, since their keys are too old to be used.",
    ),
)
CALLER_SPECS: Final = (
    MetricSpec(
        "callers_refused",
        "counter",
        "Requests refused and connections closed to bound callers.",
        ("reason",),
    ),
    MetricSpec(
        "caller_held_bytes",
        "gauge",
        "Memory that callers make the node hold.",
        ("kind",),
    ),
    MetricSpec(
        "caller_budget_bytes",
        "gauge",
        "Memory that all callers together may make the node hold.",
    ),
)
CONTROL_SPECS: Final = (
    MetricSpec(
        "configuration_revision",
        "gauge",
        "The configuration revision in force; 0 before the first.",
    ),
    MetricSpec("lease", "gauge", "1 while this node may act, else 0."),
    MetricSpec("serving", "gauge", "1 while callers are sent here, else 0."),
    MetricSpec(
        "epochs", "counter", "New epochs, each after a lease that lapsed."
    ),
    MetricSpec(
        "holder_changes",
        "counter",
        "Backend servers that this node began or ceased to hold.",
        ("change",),
    ),
    MetricSpec("members", "gauge", "Other nodes known.", ("state",)),
    MetricSpec("peer_dials", "counter", "Connections dialled to other nodes."),
    MetricSpec(
        "silent_peer_links",
        "counter",
        "Links to other nodes closed since nothing came over them.",
    ),
    MetricSpec(
        "platform_calls", "counter", "Calls to the platform.", ("operation",)
    ),
    MetricSpec(
        "platform_failures",
        "counter",
        "Calls to the platform without a usable answer.",
        ("operation",),
    ),
    MetricSpec(
        "changes", "counter", "Changes that operators asked for.", ("outcome",)
    ),
    MetricSpec(
        "handler_faults", "counter", "Exceptions that no handler caught."
    ),
)

LabelEnum = TypeVar("LabelEnum", bound=enum.Enum)


def _count_per_label(
    name: str, labels: type[LabelEnum], counts: Mapping[LabelEnum, int]
) -> Iterator[Sample]:
    """Returns a sample for each label, with 0 for those not yet counted."""
    return count_samples(name, {x.value: counts.get(x, 0) for x in labels})


class NodeMetrics(SampleSource):
    """Reads the metrics from one node's components."""

    specs = (
        CLASS_SPECS + ATTEMPT_SPECS + RUN_SPECS + CALLER_SPECS + CONTROL_SPECS
    )

    def __init__(self, parts: NodeParts, change_handler: ChangeHandler) -> None:
        self._parts = parts
        self._change_handler = change_handler

    def read_samples(self) -> Iterator[Sample]:
        """Returns the current values of all metrics."""
        yield from self._read_classes()
        yield from self._read_burn()
        yield from self._read_attempts()
        yield from self._read_runs()
        yield from self._read_callers()
        yield from self._read_control()
        yield from self._read_platform()

    def _read_classes(self) -> Iterator[Sample]:
        for name, levels in self._parts.coordinator.levels.classes.items():
            for outcome, count in levels.outcome_counts.items():
                yield Sample("requests", count, (name, outcome))
            latency = HistogramValue(
                LATENCY_BOUNDS_S, levels.latency_counts, levels.latency_sum_s
            )
            yield Sample("request_latency_seconds", latency, (name,))
            total = levels.history.total
            yield Sample("late_requests", total.late_count, (name,))
            yield Sample("shards", total.shard_count, (name,))
            yield Sample("missing_shards", total.missing_count, (name,))
            yield Sample("extra_attempts", total.extra_count, (name,))

    def _read_burn(self) -> Iterator[Sample]:
        levels = self._parts.coordinator.levels
        configuration = self._parts.configuration.current
        for item in levels.burn(read_clock_s(), configuration, EMPTY_FLEET):
            for burn in evaluate_class(item):
                key = (item.name, burn.objective.value)
                for window, rate in (
                    (SHORT_WINDOW, burn.short_rate),
                    (LONG_WINDOW, burn.long_rate),
                ):
                    yield Sample("burn_rate_ratio", rate, (*key, window))

    def _read_attempts(self) -> Iterator[Sample]:
        parts = self._parts
        outcomes = {
            outcome.name.lower(): count
            for outcome, count in parts.holder.outcome_counts.items()
        }
        yield from count_samples("attempts", outcomes)
        yield from count_samples("dispatches", parts.holder.dispatch_counts)
        yield Sample("outstanding_attempts", parts.holder.outstanding_count)
        yield Sample("backend_connections", parts.backends.connection_count)
        yield Sample("held_servers", parts.held_count())
        yield Sample("claiming_servers", parts.claiming_count())
        yield Sample("active_requests", parts.active_count())

    def _read_runs(self) -> Iterator[Sample]:
        runs = self._parts.runs
        refusals = self._parts.refusal_counts()
        yield from _count_per_label("refusals", RefusalReason, refusals)
        yield from _count_per_label("runs", RunState, runs.result_counts)
        yield Sample("unsaved_outcomes", runs.unsaved_count)
        yield Sample("dropped_outcomes", runs.dropped_count)
        deleted_count = self._parts.expiry.deleted_count
        yield Sample("deleted_run_records", deleted_count)

    def _read_callers(self) -> Iterator[Sample]:
        resources = self._parts.caller_resources
        yield from count_samples("callers_refused", resources.counts)
        for kind, held_bytes in resources.memory.held_by_kind().items():
            yield Sample("caller_held_bytes", held_bytes, (kind.name.lower(),))
        yield Sample("caller_budget_bytes", resources.memory.budget_bytes)

    def _read_control(self) -> Iterator[Sample]:
        parts = self._parts
        now_s = read_clock_s()
        membership = parts.membership
        live_count = len(membership.live_nodes(now_s)) - 1
        unresponsive_count = len(membership.peers) - live_count
        revision = parts.configuration.current.revision
        yield Sample("configuration_revision", revision)
        yield Sample("lease", int(membership.has_lease(now_s)))
        yield Sample("serving", int(membership.info.is_serving))
        yield Sample("epochs", parts.members.epoch_count)
        yield Sample("members", live_count, ("heard",))
        yield Sample("members", unresponsive_count, ("silent",))
        changes = parts.holdings.change_counts
        yield from _count_per_label("holder_changes", HolderChange, changes)
        counts = parts.links.counts()
        yield Sample("peer_dials", counts.dial_count)
        yield Sample("silent_peer_links", counts.unresponsive_count)
        yield Sample("handler_faults", parts.faults.fault_count)

    def _read_platform(self) -> Iterator[Sample]:
        store = self._parts.store
        yield from count_samples("platform_calls", store.call_counts)
        yield from count_samples("platform_failures", store.failure_counts)
        outcomes = {
            "accepted": self._change_handler.accepted_count,
            "not_accepted": self._change_handler.refused_count,
            "not_known": self._change_handler.unknown_count,
        }
        yield from count_samples("changes", outcomes)
