"""Measures the costs of a node: CPU, latency, memory and message sizes.

    python -m mulberrybay_testing.node_costs [MEASUREMENT]...

The measurements are queries, latency, idle, memory and sizes; the default is
all of them.

Each measurement prints one line per figure. All except `sizes` start their own
deployment. CPU time and memory are those of the node's process, from /proc.
"""

from __future__ import annotations

import http.client
import os
import statistics
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from typing import Final, NamedTuple

from mulberrybay_testing.class_spec import search_class
from mulberrybay_testing.control_client import get_control
from mulberrybay_testing.cost_clients import (
    FanOut,
    QueryClient,
    make_query_client,
    send_queries,
)
from mulberrybay_testing.deployment import Deployment
from mulberrybay_testing.message_sizes import print_sizes

SHARD_COUNT: Final = 20
QUERY_COUNT: Final = 2000
WARM_UP_QUERY_COUNT: Final = 300
WARM_UP_ROUND_COUNT: Final = 8
LATENCY_SAMPLE_COUNT: Final = 400
LOW_LOAD_INTERVAL_S: Final = 0.02
IDLE_SAMPLE_S: Final = 10.0
SETTLE_S: Final = 3.0
CONNECTION_COUNT: Final = 1000
ADDED_SERVER_COUNT: Final = 1000
CONFIGURATION_CHANGE_COUNT: Final = 40
TICKS_PER_S: Final = os.sysconf("SC_CLK_TCK")


class ProcessUsage(NamedTuple):
    """The CPU time and resident memory of a process."""

    cpu_s: float
    resident_kb: int


def read_usage(pid: int) -> ProcessUsage:
    """Reads the usage of a process from /proc."""
    stat = Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = stat.rpartition(")")[2].split()
    cpu_s = (int(fields[11]) + int(fields[12])) / TICKS_PER_S
    status = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    line = next(x for x in status.splitlines() if x.startswith("VmRSS"))
    return ProcessUsage(cpu_s, int(line.split()[1]))


def read_cpu_s(deployment: Deployment) -> float:
    """Returns the total CPU time of all nodes."""
    return sum(read_usage(n.process.pid).cpu_s for n in deployment.nodes)


def print_figure(name: str, value: float, unit: str) -> None:
    """Prints one figure on a line."""
    print(f"{name:<58} {value:>10.2f} {unit}", flush=True)


@contextmanager
def start_nodes(node_count: int) -> Iterator[Deployment]:
    """Starts nodes and backend servers for a class of work with 20 shards.

    The backend servers answer without delay.
    """
    work_class = search_class(
        "field-search", SHARD_COUNT, service_time_ms=0.0, slot_count=8
    )
    with (
        tempfile.TemporaryDirectory() as folder,
        Deployment(Path(folder), (work_class,), node_count) as deployment,
    ):
        yield deployment


def warm_up(deployment: Deployment) -> None:
    """Sends rounds of queries until a round has no refusal.

    Stops after `WARM_UP_ROUND_COUNT` rounds.
    """
    for _ in range(WARM_UP_ROUND_COUNT):
        if not send_queries(
            deployment.nodes, WARM_UP_QUERY_COUNT
        ).refused_count:
            return


def measure_queries() -> None:
    """Measures CPU time per query and per sub-request, and queries/s."""
    for node_count in (1, 3):
        with start_nodes(node_count) as deployment:
            warm_up(deployment)
            cpu_s = read_cpu_s(deployment)
            elapsed_s, refused_count = send_queries(
                deployment.nodes, QUERY_COUNT
            )
            cpu_s = read_cpu_s(deployment) - cpu_s
        label = f"{node_count} node(s)"
        query_us = cpu_s / QUERY_COUNT * 1e6
        print_figure(f"{label}: CPU per query", query_us, "µs")
        print_figure(
            f"{label}: CPU per sub-request", query_us / SHARD_COUNT, "µs"
        )
        print_figure(
            f"{label}: queries a second", QUERY_COUNT / elapsed_s, "1/s"
        )
        print_figure(
            f"{label}: refused and sent again", refused_count, "queries"
        )
        print_figure(
            f"{label}: cores busy meanwhile", cpu_s / elapsed_s, "cores"
        )
        print_figure(
            f"{label}: queries/s of one busy core", 1e6 / query_us, "1/s"
        )


def measure_latency() -> None:
    """Compares query latency at low load with that of a direct fan-out."""
    for node_count in (1, 3):
        with start_nodes(node_count) as deployment:
            fan_out_ms = sample_latencies(FanOut(deployment))
            query_ms = sample_latencies(make_query_client(deployment.nodes[0]))
        label = f"{node_count} node(s)"
        for index, name in enumerate(("median", "99th percentile")):
            added_ms = query_ms[index] - fan_out_ms[index]
            print_figure(
                f"{label}: bare fan-out, {name}", fan_out_ms[index], "ms"
            )
            print_figure(f"{label}: query, {name}", query_ms[index], "ms")
            print_figure(f"{label}: added by the tier, {name}", added_ms, "ms")


def sample_latencies(client: QueryClient | FanOut) -> tuple[float, float]:
    """Returns the median and the 99th percentile at low load, in ms.

    Queries are sent one at a time, with pauses.
    """
    for _ in range(50):
        client.send()
    samples = []
    for _ in range(LATENCY_SAMPLE_COUNT):
        time.sleep(LOW_LOAD_INTERVAL_S)
        samples.append(client.send() * 1000)
    percentiles = statistics.quantiles(samples, n=100)
    return percentiles[49], percentiles[98]


def measure_idle() -> None:
    """Measures CPU use and platform calls of idle nodes by node count.

    With 3 nodes it also measures the cost of configuration changes.
    """
    for node_count in (1, 3, 6, 12):
        with start_nodes(node_count) as deployment:
            time.sleep(SETTLE_S)
            call_count = count_platform_calls(deployment)
            idle_percent = sample_idle_percent(deployment)
            call_count = count_platform_calls(deployment) - call_count
            calls_per_s = call_count / IDLE_SAMPLE_S
            print_figure(
                f"{node_count} node(s): idle CPU of one", idle_percent, "%"
            )
            print_figure(
                f"{node_count} node(s): calls to the platform",
                calls_per_s,
                "1/s",
            )
            if node_count == 3:
                measure_changes(deployment, idle_percent)


def count_platform_calls(deployment: Deployment) -> int:
    """Returns the number of calls that the platform has received."""
    calls: dict[str, int] = get_control(deployment.platform_port)["calls"]
    return sum(calls.values())


def sample_idle_percent(deployment: Deployment) -> float:
    """Returns the mean CPU use of an idle node, in % of a core."""
    cpu_s = read_cpu_s(deployment)
    time.sleep(IDLE_SAMPLE_S)
    cpu_s = read_cpu_s(deployment) - cpu_s
    return 100 * cpu_s / IDLE_SAMPLE_S / len(deployment.nodes)


def measure_changes(deployment: Deployment, idle_percent: float) -> None:
    """Measures the CPU time per node for one configuration change."""
    cpu_s = read_cpu_s(deployment)
    started_at_s = time.monotonic()
    for _ in range(CONFIGURATION_CHANGE_COUNT):
        deployment.put_configuration()
        time.sleep(0.1)
    elapsed_s = time.monotonic() - started_at_s
    node_count = len(deployment.nodes)
    cpu_s = (read_cpu_s(deployment) - cpu_s) / node_count
    cpu_per_change_s = (
        cpu_s - idle_percent / 100 * elapsed_s
    ) / CONFIGURATION_CHANGE_COUNT
    print_figure(
        "3 node(s): CPU of a node per change", cpu_per_change_s * 1000, "ms"
    )


def measure_memory() -> None:
    """Measures a node's memory: idle, with connections, with servers."""
    with start_nodes(1) as deployment, ExitStack() as exits:
        node = deployment.nodes[0]
        time.sleep(SETTLE_S)
        idle = read_usage(node.process.pid)
        print_figure(
            "resident memory of an idle node", idle.resident_kb / 1024, "MiB"
        )
        for _ in range(CONNECTION_COUNT):
            connection = http.client.HTTPConnection(
                "127.0.0.1", node.caller_port
            )
            exits.callback(connection.close)
            connection.request("GET", "/v1/addresses")
            connection.getresponse().read()
        growth_kb = read_usage(node.process.pid).resident_kb - idle.resident_kb
        print_figure("per 1,000 callers' connections", growth_kb / 1024, "MiB")
    with start_nodes(1) as deployment:
        measure_held_servers(deployment)


def measure_held_servers(deployment: Deployment) -> None:
    """Measures the memory and CPU of holding 1,000 more backend servers."""
    pid = deployment.nodes[0].process.pid
    time.sleep(SETTLE_S)
    idle_percent = sample_idle_percent(deployment)
    resident_kb = read_usage(pid).resident_kb
    backend = deployment.vms()[0]
    added_vms = [
        {**backend, "vm_id": f"more-{index}", "service": f"more/{index}"}
        for index in range(ADDED_SERVER_COUNT)
    ]
    deployment.control_platform(vms=[*deployment.vms(), *added_vms])
    time.sleep(SETTLE_S)
    held_count = deployment.status(deployment.nodes[0])["held_count"]
    print_figure("backend servers held", held_count, "servers")
    growth_percent = sample_idle_percent(deployment) - idle_percent
    growth_kb = read_usage(pid).resident_kb - resident_kb
    print_figure("per 1,000 more servers held: memory", growth_kb / 1024, "MiB")
    print_figure("per 1,000 more servers held: CPU", growth_percent, "%")


MEASUREMENTS: Final[dict[str, Callable[[], None]]] = {
    "queries": measure_queries,
    "latency": measure_latency,
    "idle": measure_idle,
    "memory": measure_memory,
    "sizes": lambda: print_sizes(print_figure),
}


def main(names: list[str]) -> int:
    """Runs the named measurements, or all; returns the exit code."""
    unknown = [name for name in names if name not in MEASUREMENTS]
    if unknown:
        known = ", ".join(MEASUREMENTS)
        print(
            f"unknown measurements: {unknown}; known: {known}", file=sys.stderr
        )
        return 2
    load_average = os.getloadavg()[0]
    print_figure("load average of the machine before", load_average, "")
    for name in names or MEASUREMENTS:
        MEASUREMENTS[name]()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
