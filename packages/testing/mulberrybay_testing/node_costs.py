"""Measures what a node costs: CPU, latency, memory and bytes.

    python -m mulberrybay_testing.node_costs [queries|latency|idle|memory|sizes]...

Every measurement starts a deployment of its own and prints one line a figure.
CPU is that of the node's process, from /proc.
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
    make_client,
    send_queries,
)
from mulberrybay_testing.deployment import Deployment
from mulberrybay_testing.message_sizes import show_sizes

SHARD_COUNT: Final = 20
QUERY_COUNT: Final = 2000
WARM_UP_COUNT: Final = 300
WARM_UP_ROUND_COUNT: Final = 8
LATENCY_SAMPLE_COUNT: Final = 400
LOW_LOAD_PAUSE_S: Final = 0.02
IDLE_S: Final = 10.0
SETTLE_S: Final = 3.0
CONNECTION_COUNT: Final = 1000
SERVER_COUNT: Final = 1000
CHANGE_COUNT: Final = 40
TICKS_PER_S: Final = os.sysconf("SC_CLK_TCK")


class Usage(NamedTuple):
    """What a process has used: CPU time and resident memory."""

    cpu_s: float
    resident_kb: int


def read_usage(pid: int) -> Usage:
    """Reads the usage of a process from /proc."""
    stat = Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = stat.rpartition(")")[2].split()
    cpu_s = (int(fields[11]) + int(fields[12])) / TICKS_PER_S
    status = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    line = next(x for x in status.splitlines() if x.startswith("VmRSS"))
    return Usage(cpu_s, int(line.split()[1]))


def read_cpu_s(deployment: Deployment) -> float:
    """Returns the CPU time of all nodes together."""
    return sum(read_usage(n.process.pid).cpu_s for n in deployment.nodes)


def show(name: str, value: float, unit: str) -> None:
    """Prints one figure."""
    print(f"{name:<58} {value:>10.2f} {unit}", flush=True)


@contextmanager
def start_nodes(node_count: int) -> Iterator[Deployment]:
    """Starts nodes over a class of 20 shards whose servers answer at once."""
    work_class = search_class(
        "field-search", SHARD_COUNT, service_time_ms=0.0, slot_count=8
    )
    with (
        tempfile.TemporaryDirectory() as folder,
        Deployment(Path(folder), (work_class,), node_count) as deployment,
    ):
        yield deployment


def warm_up(deployment: Deployment) -> None:
    """Sends queries until none of a round is refused, or for some rounds."""
    for _ in range(WARM_UP_ROUND_COUNT):
        if not send_queries(deployment.nodes, WARM_UP_COUNT).refused_count:
            return


def measure_queries() -> None:
    """CPU per query and per sub-request, and queries a second."""
    for node_count in (1, 3):
        with start_nodes(node_count) as deployment:
            warm_up(deployment)
            cpu_s = read_cpu_s(deployment)
            took_s, refused_count = send_queries(deployment.nodes, QUERY_COUNT)
            cpu_s = read_cpu_s(deployment) - cpu_s
        label = f"{node_count} node(s)"
        query_us = cpu_s / QUERY_COUNT * 1e6
        show(f"{label}: CPU per query", query_us, "µs")
        show(f"{label}: CPU per sub-request", query_us / SHARD_COUNT, "µs")
        show(f"{label}: queries a second", QUERY_COUNT / took_s, "1/s")
        show(f"{label}: refused and sent again", refused_count, "queries")
        show(f"{label}: cores busy meanwhile", cpu_s / took_s, "cores")
        show(f"{label}: queries/s of one busy core", 1e6 / query_us, "1/s")


def measure_latency() -> None:
    """Latency of queries one at a time, against a bare fan-out."""
    for node_count in (1, 3):
        with start_nodes(node_count) as deployment:
            direct_ms = sample_latencies(FanOut(deployment))
            tier_ms = sample_latencies(make_client(deployment.nodes[0]))
        label = f"{node_count} node(s)"
        for index, name in enumerate(("median", "99th percentile")):
            added_ms = tier_ms[index] - direct_ms[index]
            show(f"{label}: bare fan-out, {name}", direct_ms[index], "ms")
            show(f"{label}: query, {name}", tier_ms[index], "ms")
            show(f"{label}: added by the tier, {name}", added_ms, "ms")


def sample_latencies(client: QueryClient | FanOut) -> tuple[float, float]:
    """Returns the median and the 99th percentile at low load, in ms."""
    for _ in range(50):
        client.send()
    samples = []
    for _ in range(LATENCY_SAMPLE_COUNT):
        time.sleep(LOW_LOAD_PAUSE_S)
        samples.append(client.send() * 1000)
    cuts = statistics.quantiles(samples, n=100)
    return cuts[49], cuts[98]


def measure_idle() -> None:
    """CPU of idle nodes by number of peers, of changes and of VM lists."""
    for node_count in (1, 3, 6, 12):
        with start_nodes(node_count) as deployment:
            time.sleep(SETTLE_S)
            call_count = count_platform_calls(deployment)
            idle_percent = sample_idle_percent(deployment)
            call_count = count_platform_calls(deployment) - call_count
            rate = call_count / IDLE_S
            show(f"{node_count} node(s): idle CPU of one", idle_percent, "%")
            show(f"{node_count} node(s): calls to the platform", rate, "1/s")
            if node_count == 3:
                measure_changes(deployment, idle_percent)


def count_platform_calls(deployment: Deployment) -> int:
    """Returns the calls that the platform has counted."""
    calls: dict[str, int] = get_control(deployment.platform_port)["calls"]
    return sum(calls.values())


def sample_idle_percent(deployment: Deployment) -> float:
    """Returns the mean CPU of a node while nothing is asked of it."""
    cpu_s = read_cpu_s(deployment)
    time.sleep(IDLE_S)
    cpu_s = read_cpu_s(deployment) - cpu_s
    return 100 * cpu_s / IDLE_S / len(deployment.nodes)


def measure_changes(deployment: Deployment, idle_percent: float) -> None:
    """Prints the CPU at a node of one configuration change."""
    cpu_s = read_cpu_s(deployment)
    began_at_s = time.monotonic()
    for _ in range(CHANGE_COUNT):
        deployment.put_configuration()
        time.sleep(0.1)
    took_s = time.monotonic() - began_at_s
    node_count = len(deployment.nodes)
    cpu_s = (read_cpu_s(deployment) - cpu_s) / node_count
    change_s = (cpu_s - idle_percent / 100 * took_s) / CHANGE_COUNT
    show("3 node(s): CPU of a node per change", change_s * 1000, "ms")


def measure_memory() -> None:
    """Resident memory of a node and what it grows by."""
    with start_nodes(1) as deployment, ExitStack() as exits:
        node = deployment.nodes[0]
        time.sleep(SETTLE_S)
        idle = read_usage(node.process.pid)
        show("resident memory of an idle node", idle.resident_kb / 1024, "MiB")
        for _ in range(CONNECTION_COUNT):
            connection = http.client.HTTPConnection(
                "127.0.0.1", node.caller_port
            )
            exits.callback(connection.close)
            connection.request("GET", "/v1/addresses")
            connection.getresponse().read()
        grown_kb = read_usage(node.process.pid).resident_kb - idle.resident_kb
        show("per 1,000 callers' connections", grown_kb / 1024, "MiB")
    with start_nodes(1) as deployment:
        measure_held_servers(deployment)


def measure_held_servers(deployment: Deployment) -> None:
    """Prints the memory and CPU of 1,000 more backend servers held."""
    pid = deployment.nodes[0].process.pid
    time.sleep(SETTLE_S)
    idle_percent = sample_idle_percent(deployment)
    resident_kb = read_usage(pid).resident_kb
    backend = deployment.vms()[0]
    more = [
        {**backend, "vm_id": f"more-{index}", "service": f"more/{index}"}
        for index in range(SERVER_COUNT)
    ]
    deployment.control_platform(vms=[*deployment.vms(), *more])
    time.sleep(SETTLE_S)
    held_count = deployment.status(deployment.nodes[0])["held_count"]
    show("backend servers held", held_count, "servers")
    grown_percent = sample_idle_percent(deployment) - idle_percent
    grown_kb = read_usage(pid).resident_kb - resident_kb
    show("per 1,000 more servers held: memory", grown_kb / 1024, "MiB")
    show("per 1,000 more servers held: CPU", grown_percent, "%")


MEASUREMENTS: Final[dict[str, Callable[[], None]]] = {
    "queries": measure_queries,
    "latency": measure_latency,
    "idle": measure_idle,
    "memory": measure_memory,
    "sizes": lambda: show_sizes(show),
}


def main(names: list[str]) -> int:
    """Runs the named measurements, or all; returns the exit code."""
    unknown = [name for name in names if name not in MEASUREMENTS]
    if unknown:
        known = ", ".join(MEASUREMENTS)
        print(f"unknown: {unknown}; known: {known}", file=sys.stderr)
        return 2
    load_average = os.getloadavg()[0]
    show("load average of the machine before", load_average, "")
    for name in names or MEASUREMENTS:
        MEASUREMENTS[name]()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
