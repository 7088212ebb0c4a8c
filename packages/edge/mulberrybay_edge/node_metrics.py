"""The metrics of an edge node; docs/OPERATIONS.md lists the same ones."""

from collections import Counter
from collections.abc import Iterator
from typing import Final

from mulberrybay_core.node_checks import MAX_ROLLOUT_COUNT
from mulberrybay_core.overload.load_forecast import AGE_BOUNDS_S
from mulberrybay_core.rollouts import RolloutState
from mulberrybay_core.tenants.service_counts import MAX_LABEL_COUNT
from mulberrybay_edge.caller_service import LATENCY_BOUNDS_S
from mulberrybay_edge.metric_sources import MetricSources
from mulberrybay_edge.rollout_control import RolloutControl
from mulberrybay_runtime.clock import read_clock_s
from mulberrybay_runtime.metrics import (
    HistogramValue,
    MetricSpec,
    Sample,
    SampleSource,
    count_samples,
)

CALLER_SPECS: Final = (
    MetricSpec("edge_answers", "counter", "Answers to callers.", ("status",)),
    MetricSpec(
        "edge_answer_latency_seconds",
        "histogram",
        "From the last byte of a request to its answer.",
    ),
    MetricSpec(
        "edge_runs",
        "counter",
        "Requests that ended, over shards (gather) or at one server.",
        ("kind", "outcome"),
    ),
    MetricSpec(
        "edge_refusals", "counter", "Requests that were not run.", ("reason",)
    ),
    MetricSpec(
        "edge_callers_gone", "counter", "Callers that left before the answer."
    ),
    MetricSpec(
        "edge_missing_shards",
        "counter",
        "Shards that answers did not cover.",
    ),
    MetricSpec(
        "edge_answer_delay_seconds",
        "gauge",
        "Delays that the reserve of answers covers.",
        ("cause",),
    ),
    MetricSpec(
        "edge_tenant_refusals",
        "counter",
        "Requests of tenants that were not run; some tenants share a label.",
        ("tenant", "reason"),
    ),
    MetricSpec(
        "edge_worst_tenants_served_ratio",
        "gauge",
        "Served part of the requests of the worst-served tenth of tenants.",
    ),
    MetricSpec(
        "edge_quota_used_ratio",
        "gauge",
        "Requests of the last window at all nodes, as a part of the quota.",
        ("tenant",),
    ),
    MetricSpec("edge_caller_connections", "gauge", "Connections of callers."),
    MetricSpec(
        "edge_callers_refused",
        "counter",
        "Requests refused and connections closed to bound callers.",
        ("reason",),
    ),
    MetricSpec(
        "edge_caller_held_bytes",
        "gauge",
        "Memory that callers make the node hold.",
        ("kind",),
    ),
    MetricSpec(
        "edge_caller_budget_bytes",
        "gauge",
        "Memory that all callers together may make the node hold.",
    ),
)
SERVER_SPECS: Final = (
    MetricSpec(
        "edge_attempts",
        "counter",
        "Requests to backend servers that ended.",
        ("outcome",),
    ),
    MetricSpec(
        "edge_unsent_attempts",
        "counter",
        "Attempts that were not sent.",
        ("reason",),
    ),
    MetricSpec(
        "edge_repeats",
        "counter",
        "Attempts at a service that had the request before.",
    ),
    MetricSpec(
        "edge_hedges",
        "counter",
        "Second attempts beside one that was late.",
    ),
    MetricSpec("edge_hedge_wins", "counter", "Hedges whose reply came first."),
    MetricSpec(
        "edge_leaving_servers",
        "counter",
        "Backend servers that said in a reply that they leave.",
    ),
    MetricSpec(
        "edge_server_pauses",
        "counter",
        "Replies of backend servers that asked for a pause.",
    ),
    MetricSpec(
        "edge_server_limits",
        "counter",
        "Replies of backend servers that named a limit of their rate.",
    ),
    MetricSpec(
        "edge_server_crashes",
        "counter",
        "Requests under which a backend server crashed.",
    ),
    MetricSpec(
        "edge_condemned_requests",
        "gauge",
        "Requests that no server gets, since several crashed under them.",
    ),
    MetricSpec(
        "edge_lacks_servers", "gauge", "1 while no backend server is reached."
    ),
    MetricSpec(
        "edge_load_report_weight",
        "gauge",
        "How far reports of work predict latencies, by their age.",
        ("max_age_ms",),
    ),
    MetricSpec(
        "edge_delayed_requests",
        "counter",
        "Attempts held back, by why they were then sent; hedge: each check.",
        ("reason", "class"),
    ),
    MetricSpec(
        "edge_overload_refusals",
        "counter",
        "Queries that would be late: refused (late) or sent, as too many were.",
        ("reason", "class"),
    ),
    MetricSpec(
        "edge_waiting_requests",
        "gauge",
        "Requests that wait for servers with room, counted for each service.",
    ),
    MetricSpec(
        "edge_waiting_age_seconds", "gauge", "Age of the oldest of these."
    ),
    MetricSpec(
        "edge_probes",
        "counter",
        "Connections opened to see whether backend servers are reached.",
    ),
    MetricSpec(
        "edge_dials", "counter", "Connections opened to backend servers."
    ),
    MetricSpec(
        "edge_backend_connections", "gauge", "Connections to backend servers."
    ),
)
VIEW_SPECS: Final = (
    MetricSpec(
        "edge_configuration_revision",
        "gauge",
        "The configuration in force; 0 before the first.",
    ),
    MetricSpec(
        "edge_known_servers", "gauge", "Backend servers that are known."
    ),
    MetricSpec("edge_out_domains", "gauge", "Failure domains out of service."),
    MetricSpec(
        "edge_store_version",
        "gauge",
        "Version up to which a kind of objects is known.",
        ("kind",),
    ),
    MetricSpec(
        "edge_store_era",
        "gauge",
        "How often the store has returned from an older copy.",
    ),
    MetricSpec(
        "edge_store_returns",
        "counter",
        "Returns of the store that changed a kind of objects here.",
        ("kind",),
    ),
    MetricSpec(
        "edge_store_failing",
        "gauge",
        "1 while the store fails for a kind of objects.",
        ("kind",),
    ),
    MetricSpec(
        "edge_store_answer_age_seconds",
        "gauge",
        "Since the store last answered for a kind of objects; Inf before.",
        ("kind",),
    ),
    MetricSpec(
        "edge_store_calls",
        "counter",
        "Calls to the platform's store.",
        ("operation",),
    ),
    MetricSpec(
        "edge_store_failures",
        "counter",
        "Calls to the store without an answer.",
        ("operation",),
    ),
    MetricSpec(
        "edge_unreadable",
        "counter",
        "Objects, heartbeats and headers that were left out.",
        ("source",),
    ),
)
NODE_SPECS: Final = (
    MetricSpec(
        "edge_running_nodes", "gauge", "Nodes heard of, this one included."
    ),
    MetricSpec(
        "edge_sharing_nodes",
        "gauge",
        "Nodes among which limits on all of them are divided.",
    ),
    MetricSpec(
        "edge_peer_exchanges",
        "counter",
        "Questions to peers about objects, and answers to theirs.",
        ("outcome",),
    ),
    MetricSpec(
        "edge_left_out_lines",
        "counter",
        "Log lines left out to bound the log.",
        ("line",),
    ),
    MetricSpec(
        "edge_faults", "counter", "Faults of the program that were caught."
    ),
)


ROLLOUT_SPECS: Final = (
    MetricSpec(
        "edge_rollouts",
        "gauge",
        "Rollouts that are known.",
        ("state", "step"),
    ),
    MetricSpec(
        "edge_rollout_replies",
        "gauge",
        "Replies since the order, at all nodes heard.",
        ("service", "version"),
    ),
    MetricSpec(
        "edge_rollout_bad_replies",
        "gauge",
        "Failed and lost ones among them.",
        ("service", "version"),
    ),
    MetricSpec(
        "edge_rollout_sent",
        "gauge",
        "Requests that this node has sent to the new version.",
        ("service",),
    ),
    MetricSpec(
        "edge_rollout_allowed",
        "gauge",
        "Requests that the canary of this node may have sent by now.",
        ("service",),
    ),
    MetricSpec(
        "edge_rollout_writes",
        "counter",
        "Writes of a rollout's status by this node.",
        ("outcome",),
    ),
)


class EdgeMetrics(SampleSource):
    """Reads the metrics of a node from its components."""

    specs = (
        *CALLER_SPECS,
        *SERVER_SPECS,
        *VIEW_SPECS,
        *NODE_SPECS,
        *ROLLOUT_SPECS,
    )

    def __init__(self, sources: MetricSources) -> None:
        self._sources = sources

    def read_samples(self) -> Iterator[Sample]:
        """Yields a sample for each metric and set of labels."""
        yield from self._read_callers()
        yield from self._read_servers()
        yield from self._read_view()
        yield from self._read_nodes()
        if self._sources.rollouts is not None:
            yield from self._read_rollouts(self._sources.rollouts)

    def _read_rollouts(self, rollouts: RolloutControl) -> Iterator[Sample]:
        summaries = [*rollouts.summaries()]
        counts = Counter((s.state.value, s.step.value) for s in summaries)
        for labels, count in counts.items():
            yield Sample("edge_rollouts", count, labels)
        # Unfinished ones first, so that the labels are bounded.
        summaries.sort(key=lambda s: s.state is not RolloutState.RUNNING)
        for summary in summaries[:MAX_ROLLOUT_COUNT]:
            service = summary.order.service
            for version, arm in (("new", summary.new), ("old", summary.old)):
                labels = (service, version)
                yield Sample("edge_rollout_replies", arm.reply_count, labels)
                yield Sample("edge_rollout_bad_replies", arm.bad_count, labels)
            yield Sample("edge_rollout_sent", summary.sent_count, (service,))
            allowed_count = summary.allowed_count
            yield Sample("edge_rollout_allowed", allowed_count, (service,))
        yield from count_samples("edge_rollout_writes", rollouts.write_counts)
        yield Sample(
            "edge_unreadable", rollouts.unreadable_count, ("rollouts",)
        )

    def _read_callers(self) -> Iterator[Sample]:
        service, counts = self._sources.service, self._sources.counts
        for status, count in service.answer_counts.items():
            yield Sample("edge_answers", count, (str(status),))
        yield Sample(
            "edge_answer_latency_seconds",
            HistogramValue(
                LATENCY_BOUNDS_S, service.latency_counts, service.latency_sum_s
            ),
        )
        for labels, count in counts.outcomes.items():
            yield Sample("edge_runs", count, labels)
        yield from count_samples("edge_refusals", counts.refusals)
        delays_s = self._sources.answer_reserve.parts_s(read_clock_s())
        for cause, delay_s in delays_s.items():
            yield Sample("edge_answer_delay_seconds", delay_s, (cause,))
        yield Sample("edge_callers_gone", counts.disconnected_caller_count)
        yield Sample("edge_missing_shards", counts.missing_shard_count)
        yield from self._read_tenants()
        yield Sample(
            "edge_caller_connections", self._sources.callers.connection_count
        )
        resources = self._sources.callers.resources
        yield from count_samples("edge_callers_refused", resources.counts)
        for kind, held_bytes in resources.memory.held_by_kind().items():
            yield Sample(
                "edge_caller_held_bytes", held_bytes, (kind.name.lower(),)
            )
        yield Sample("edge_caller_budget_bytes", resources.memory.budget_bytes)

    def _read_tenants(self) -> Iterator[Sample]:
        counts = self._sources.counts.tenants
        for labels, count in counts.refused.items():
            yield Sample("edge_tenant_refusals", count, labels)
        served_ratio = counts.worst_served_ratio()
        if served_ratio is not None:
            yield Sample("edge_worst_tenants_served_ratio", served_ratio)
        quotas = self._sources.gate.quotas
        if quotas is not None:
            uses = quotas.uses(read_clock_s())
            for name, used_ratio in uses[:MAX_LABEL_COUNT]:
                yield Sample("edge_quota_used_ratio", used_ratio, (name,))

    def _read_servers(self) -> Iterator[Sample]:
        dispatcher, counts = self._sources.dispatcher, self._sources.counts
        yield from count_samples("edge_attempts", dispatcher.outcome_counts)
        yield from count_samples(
            "edge_unsent_attempts", dispatcher.refusal_counts
        )
        yield Sample("edge_repeats", dispatcher.retry_count)
        yield Sample("edge_hedges", counts.hedge_count)
        yield Sample("edge_hedge_wins", counts.hedge_win_count)
        yield Sample("edge_leaving_servers", dispatcher.leaving_count)
        yield Sample("edge_server_pauses", dispatcher.pause_count)
        yield Sample("edge_server_limits", dispatcher.limit_count)
        yield Sample(
            "edge_server_crashes", self._sources.crash_watch.crash_count
        )
        condemned_count = len(self._sources.crash_watch.requests.condemned)
        yield Sample("edge_condemned_requests", condemned_count)
        for bound_s in AGE_BOUNDS_S:
            weight = dispatcher.forecast.weight(bound_s)
            labels = (f"{bound_s * 1000:.0f}",)
            yield Sample("edge_load_report_weight", weight, labels)
        order = dispatcher.order
        for key, count in order.delayed_counts.items():
            yield Sample("edge_delayed_requests", count, key)
        for key, count in order.refused_counts.items():
            yield Sample("edge_overload_refusals", count, key)
        yield Sample("edge_waiting_requests", order.waiting_count())
        since_s, now_s = order.oldest_since_s(), read_clock_s()
        age_s = 0.0 if since_s is None else now_s - since_s
        yield Sample("edge_waiting_age_seconds", age_s)
        yield Sample("edge_lacks_servers", int(self._sources.reach.is_lost))
        yield Sample("edge_probes", self._sources.reach_monitor.probe_count)
        yield from count_samples(
            "edge_unreadable", dispatcher.unreadable_counts
        )
        connections = self._sources.connections
        yield Sample("edge_dials", connections.dial_count)
        yield Sample("edge_backend_connections", connections.connection_count)

    def _read_view(self) -> Iterator[Sample]:
        view, store = self._sources.view, self._sources.store
        now_s = read_clock_s()
        revision = view.route_table.revision if view.route_table else 0
        yield Sample("edge_configuration_revision", revision)
        yield Sample("edge_known_servers", len(view.directory.server_ids()))
        yield Sample("edge_out_domains", len(view.directory.out_domains))
        for watch in self._sources.watches:
            labels = (watch.kind,)
            yield Sample("edge_store_version", watch.version or 0, labels)
            yield Sample("edge_store_failing", int(watch.is_failing), labels)
            yield Sample("edge_store_returns", watch.restore_count, labels)
            yield Sample(
                "edge_store_answer_age_seconds", watch.age_s(now_s), labels
            )
        yield Sample("edge_store_era", store.era)
        yield Sample(
            "edge_unreadable", store.unreadable_era_count, ("store_era",)
        )
        yield from count_samples("edge_store_calls", store.call_counts)
        yield from count_samples("edge_store_failures", store.failure_counts)
        yield Sample("edge_unreadable", view.unreadable_count, ("store",))

    def _read_nodes(self) -> Iterator[Sample]:
        nodes, now_s = self._sources.nodes, read_clock_s()
        yield Sample("edge_running_nodes", len(nodes.alive_names(now_s)))
        yield Sample("edge_sharing_nodes", nodes.sharing_count(now_s))
        peer_link = self._sources.find_peer_link()
        if peer_link is not None:
            yield from count_samples(
                "edge_peer_exchanges", peer_link.exchange_counts
            )
            yield Sample(
                "edge_unreadable", peer_link.unreadable_count, ("heartbeats",)
            )
        yield from count_samples(
            "edge_left_out_lines", self._sources.decisions.dropped_line_counts
        )
        yield Sample("edge_faults", self._sources.faults.fault_count)
