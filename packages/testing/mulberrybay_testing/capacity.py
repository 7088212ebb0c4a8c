"""Works out the capacity page's figures from the measured slopes.

    python -m mulberrybay_testing.capacity

Reads the figures of docs/MEASUREMENTS.md and prints the table of
docs/CAPACITY.md; a test compares the two.
"""

from __future__ import annotations

import re
import sys
from collections.abc import Mapping
from pathlib import Path
from typing import Final, NamedTuple

FIGURE_LINE: Final = re.compile(r"^(\S.*?) {2,}(-?\d+\.\d+) ", re.MULTILINE)
PAGE: Final = Path(__file__).parents[3] / "docs" / "MEASUREMENTS.md"
DAY_S: Final = 86_400.0
KIB: Final = 1024


class Size(NamedTuple):
    """The size to design for.

    Attributes:
        node_count: Nodes.
        server_count: Backend servers.
        queries_per_s: Queries over all nodes.
        shard_count: Shards that each query asks.
        changes_per_day: Changes of the configuration.
        vm_events_per_day: VMs that fail, are restarted or replaced.
        class_count: Classes of work; an assumption, the letter has none.
        cell_size: Nodes that grant each other leases.
        relay_fanout: Nodes to which each relay passes a change on.
        heartbeat_period_s: In cells, between heartbeats to a peer.
    """

    node_count: int = 6_000
    server_count: int = 27_000
    queries_per_s: float = 1.1e6
    shard_count: int = 380
    changes_per_day: float = 15_000
    vm_events_per_day: float = 140 + 8_700
    class_count: int = 200
    cell_size: int = 24
    relay_fanout: int = 8
    heartbeat_period_s: float = 1.0


class Row(NamedTuple):
    """One line of the table.

    Attributes:
        what: What is worked out.
        today: With the code as it is.
        planned: With the mechanism that is to carry it.
        budget: What the letter allows; empty if it says nothing.
    """

    what: str
    today: str
    planned: str
    budget: str


def read_figures(text: str) -> dict[str, float]:
    """Returns the measured figures by name."""
    return {name: float(value) for name, value in FIGURE_LINE.findall(text)}


def work_out(figures: Mapping[str, float], size: Size) -> list[Row]:
    """Returns the table's rows."""
    return [
        *_work_out_queries(figures, size),
        *_work_out_leases(figures, size),
        *_work_out_spreading(figures, size),
        *_work_out_state(figures, size),
    ]


def _work_out_queries(figures: Mapping[str, float], size: Size) -> list[Row]:
    per_node = size.queries_per_s * size.shard_count / size.node_count
    per_server = size.queries_per_s * size.shard_count / size.server_count
    cores_apart = per_node * figures["3 node(s): CPU per sub-request"] / 1e6
    cores_own = per_node * figures["1 node(s): CPU per sub-request"] / 1e6
    slice_count = size.server_count / size.shard_count
    slice_nodes = size.node_count / slice_count
    slice_attempts = size.shard_count / slice_nodes
    spread = 1 - (1 - 1 / size.node_count) ** size.shard_count
    holders_met = size.node_count * spread
    queries = size.queries_per_s / size.node_count
    first = figures["a batch of attempts, the first"]
    more = figures["a batch of attempts, each more"]
    reply = figures["a reply with two hits"]
    bytes_today = queries * (holders_met * first + size.shard_count * reply)
    bytes_slice = queries * (
        slice_nodes * (first + more * (slice_attempts - 1))
        + size.shard_count * reply
    )
    return [
        Row("queries/s a node", f"{queries:.0f}", "the same", ""),
        Row("sub-requests/s a node", f"{per_node:,.0f}", "the same", ""),
        Row(
            "sub-requests/s a backend server",
            f"{per_server:,.0f}",
            "the same",
            "",
        ),
        Row(
            "cores a node, all sub-requests",
            f"{cores_apart:.0f} (as at three nodes)",
            f"{cores_own:.0f} (as at one node)",
            "",
        ),
        Row(
            "messages to holders a query",
            f"{holders_met:.0f}",
            f"{slice_nodes:.0f} (slices)",
            "",
        ),
        Row(
            "MB/s a node, to holders and back",
            f"{bytes_today / 1e6:.0f}",
            f"{bytes_slice / 1e6:.0f}",
            "",
        ),
    ]


def _work_out_leases(figures: Mapping[str, float], size: Size) -> list[Row]:
    peers = size.cell_size - 1
    list_slope = (
        figures["1000 members: one heartbeat"]
        - figures["100 members: one heartbeat"]
    ) / 900
    heartbeat_today = list_slope * size.node_count
    ack = figures["one answer to a heartbeat"]
    today = (size.node_count - 1) * 2 * (heartbeat_today + ack) / 0.4
    bare = figures["1 members: one heartbeat"]
    planned = peers * 2 * (bare + ack) / size.heartbeat_period_s
    slope = (
        figures["3 node(s): idle CPU of one"]
        - figures["1 node(s): idle CPU of one"]
    ) / 2
    held_count = size.server_count / size.node_count
    health_cpu = figures["per 1,000 more servers held: CPU"] * held_count / 1000
    cpu_today = slope * (size.node_count - 1)
    cpu_planned = slope * peers * 0.4 / size.heartbeat_period_s
    return [
        Row(
            "heartbeats, KB/s a node",
            f"{today / 1e3:,.0f}",
            f"{planned / 1e3:.1f}",
            "7",
        ),
        Row(
            "heartbeats, % of a core a node",
            f"over {cpu_today:,.0f}",
            f"{cpu_planned:.1f}",
            "1.3",
        ),
        Row(
            "health of held servers, % of a core a node",
            f"{health_cpu:.2f}",
            "the same",
            "1.3",
        ),
    ]


def _work_out_spreading(figures: Mapping[str, float], size: Size) -> list[Row]:
    changes = size.changes_per_day / DAY_S
    document = size.class_count * figures["one more class in the configuration"]
    today = changes * document * 2
    change = 2 * figures["one more class in the configuration"]
    copies = 1 + size.relay_fanout
    planned = changes * change * copies
    cpu = changes * figures["3 node(s): CPU of a node per change"] / 10
    vm_bytes = figures["a list of 1,000 VMs"] * KIB / 1000
    vm_count = size.node_count + size.server_count
    vm_events = 2 * size.vm_events_per_day / DAY_S
    list_cpu = figures["reading a list of 1,000 VMs"] * vm_count / 1e4
    calls_a_node = figures["12 node(s): calls to the platform"] / 12
    depth = _depth(size)
    return [
        Row(
            "changes, KB/s a node",
            f"{today / 1e3:.1f}",
            f"{planned / 1e3:.2f}",
            "7",
        ),
        Row(
            "changes, % of a core a node",
            f"{cpu:.2f}",
            f"{cpu * copies:.2f}",
            "1.3",
        ),
        Row("hops of a change", "2 (from any peer)", f"{depth}", "5 s"),
        Row(
            "VM list, KB/s a node",
            f"{vm_bytes * vm_count / 1e3:,.0f}",
            f"{vm_events * vm_bytes * copies / 1e3:.2f}",
            "7",
        ),
        Row(
            "VM list, % of a core a node",
            f"{list_cpu:.0f}",
            "not measured",
            "1.3",
        ),
        Row(
            "calls/s to the platform, all nodes",
            f"{calls_a_node * size.node_count:,.0f}",
            f"{calls_a_node * 12:.0f} (12 watchers)",
            "about 2,000",
        ),
    ]


def _depth(size: Size) -> int:
    depth, reached = 0, 1
    while reached < size.node_count:
        depth += 1
        reached += size.relay_fanout**depth
    return depth


def _work_out_state(figures: Mapping[str, float], size: Size) -> list[Row]:
    vm_mib = figures["per 1,000 more servers held: memory"] / 1000
    all_vms = (size.node_count + size.server_count) * vm_mib
    own_vms = 2 * size.shard_count * vm_mib
    members = figures["per 1,000 members known"] * size.node_count / 1000
    idle = figures["resident memory of an idle node"]
    return [
        Row(
            "servers held by a node",
            f"{size.server_count / size.node_count:.1f}",
            "the same",
            "",
        ),
        Row(
            "VMs and members known, MiB",
            f"{all_vms + members:.0f}",
            f"{own_vms:.1f}",
            "32",
        ),
        Row("the idle process itself, MiB", f"{idle:.0f}", f"{idle:.0f}", "32"),
    ]


def print_table(rows: list[Row]) -> str:
    """Returns the rows as a table of Markdown."""
    lines = [
        "| a figure | as it is today | planned | budget |",
        "|---|---|---|---|",
    ]
    lines += [f"| {' | '.join(row)} |" for row in rows]
    return "\n".join(lines) + "\n"


def main() -> None:
    """Prints the table."""
    figures = read_figures(PAGE.read_text(encoding="utf-8"))
    sys.stdout.write(print_table(work_out(figures, Size())))


if __name__ == "__main__":
    main()
