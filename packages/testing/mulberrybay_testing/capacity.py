"""Computes the table of docs/CAPACITY.md from measured figures.

    python -m mulberrybay_testing.capacity

Reads docs/MEASUREMENTS.md. A test compares the table with the one in
docs/CAPACITY.md.
"""

from __future__ import annotations

import re
import sys
from collections.abc import Mapping
from pathlib import Path
from typing import Final, NamedTuple

FIGURE_PATTERN: Final = re.compile(r"^(\S.*?) {2,}(-?\d+\.\d+) ", re.MULTILINE)
MEASUREMENTS_PAGE: Final = (
    Path(__file__).parents[3] / "docs" / "MEASUREMENTS.md"
)
DAY_S: Final = 86_400.0
MEASURED_HEARTBEAT_PERIOD_S: Final = 0.4

# The size of deployment that the design must support.
NODE_COUNT: Final = 6_000
SERVER_COUNT: Final = 27_000
QUERIES_PER_S: Final = 1.1e6
SHARD_COUNT: Final = 380
CHANGES_PER_S: Final = 15_000 / DAY_S
VM_EVENTS_PER_S: Final = (140 + 8_700) / DAY_S

# Parameters of the planned design. CLASS_COUNT is an assumption because the
# requirements give no number of classes of work.
CLASS_COUNT: Final = 200
CELL_MEMBER_COUNT: Final = 24
RELAY_FANOUT_COUNT: Final = 8
HEARTBEAT_PERIOD_S: Final = 1.0
WATCHER_COUNT: Final = 12


class Row(NamedTuple):
    """One row of the table.

    Attributes:
        quantity: The computed quantity and its unit.
        current: The value with the current code.
        planned: The value with the planned design.
        budget: The required upper limit; empty if there is none.
    """

    quantity: str
    current: float
    planned: float
    budget: str = ""


def read_figures(text: str) -> dict[str, float]:
    """Returns the measured figures by name, each in the unit of its line."""
    return {name: float(value) for name, value in FIGURE_PATTERN.findall(text)}


def compute_query_rows(figures: Mapping[str, float]) -> list[Row]:
    """Returns the rows for query processing by coordinators and holders."""
    queries_per_s = QUERIES_PER_S / NODE_COUNT
    sub_requests_per_s = queries_per_s * SHARD_COUNT
    server_requests_per_s = QUERIES_PER_S * SHARD_COUNT / SERVER_COUNT
    remote_us = figures["3 node(s): CPU per sub-request"]
    local_us = figures["1 node(s): CPU per sub-request"]
    current_holders = NODE_COUNT * (1 - (1 - 1 / NODE_COUNT) ** SHARD_COUNT)
    planned_holders = NODE_COUNT * SHARD_COUNT / SERVER_COUNT
    first_bytes = figures["a batch of attempts, the first"]
    next_bytes = figures["a batch of attempts, each more"]
    reply_bytes = SHARD_COUNT * figures["a reply with two hits"]

    def megabytes_per_s(holder_count: float) -> float:
        batch_bytes = (
            holder_count * first_bytes
            + (SHARD_COUNT - holder_count) * next_bytes
        )
        return queries_per_s * (batch_bytes + reply_bytes) / 1e6

    return [
        Row("queries/s at a coordinator", queries_per_s, queries_per_s),
        Row(
            "sub-requests/s at a holder", sub_requests_per_s, sub_requests_per_s
        ),
        Row(
            "sub-requests/s at a backend server",
            server_requests_per_s,
            server_requests_per_s,
        ),
        Row(
            "cores a node",
            sub_requests_per_s * remote_us / 1e6,
            sub_requests_per_s * local_us / 1e6,
        ),
        Row("holders that a query meets", current_holders, planned_holders),
        Row(
            "MB/s a node to holders",
            megabytes_per_s(current_holders),
            megabytes_per_s(planned_holders),
        ),
    ]


def compute_lease_rows(figures: Mapping[str, float]) -> list[Row]:
    """Returns the rows for heartbeats and health checks of held servers."""
    large_bytes = figures["1000 members: one heartbeat"]
    bytes_per_member = (
        large_bytes - figures["100 members: one heartbeat"]
    ) / 900
    ack_bytes = figures["one answer to a heartbeat"]
    full_bytes_per_s = (
        2
        * (bytes_per_member * NODE_COUNT + ack_bytes)
        / MEASURED_HEARTBEAT_PERIOD_S
    )
    compact_bytes_per_s = (
        2
        * (figures["1 members: one heartbeat"] + ack_bytes)
        / HEARTBEAT_PERIOD_S
    )
    idle_percent = [figures[f"{n} node(s): idle CPU of one"] for n in (1, 12)]
    peer_percent = (idle_percent[1] - idle_percent[0]) / 11
    planned_percent = (
        peer_percent * MEASURED_HEARTBEAT_PERIOD_S / HEARTBEAT_PERIOD_S
    )
    peer_count = CELL_MEMBER_COUNT - 1
    held_server_count = SERVER_COUNT / NODE_COUNT
    health_percent = (
        figures["per 1,000 more servers held: CPU"] * held_server_count / 1000
    )
    return [
        Row(
            "heartbeats, KB/s",
            full_bytes_per_s * NODE_COUNT / 1e3,
            compact_bytes_per_s * peer_count / 1e3,
            "7",
        ),
        Row(
            "heartbeats, % of a core",
            peer_percent * NODE_COUNT,
            planned_percent * peer_count,
            "1.3",
        ),
        Row(
            "health of held servers, % of a core",
            health_percent,
            health_percent,
            "1.3",
        ),
    ]


def compute_propagation_rows(figures: Mapping[str, float]) -> list[Row]:
    """Returns the rows for changes, VM lists and platform calls."""
    class_bytes = figures["one more class in the configuration"]
    transfer_count = 1 + RELAY_FANOUT_COUNT
    change_percent = figures["3 node(s): CPU of a node per change"] / 10
    vm_count = NODE_COUNT + SERVER_COUNT
    vm_kb = figures["a list of 1,000 VMs"] * 1.024 / 1000
    calls_per_s = figures["12 node(s): calls to the platform"] / 12
    # Each VM event causes two updates: leaving, then gone or live.
    transfers_per_s = 2 * VM_EVENTS_PER_S * transfer_count
    return [
        Row(
            "changes, KB/s",
            2 * CHANGES_PER_S * CLASS_COUNT * class_bytes / 1e3,
            transfer_count * CHANGES_PER_S * 2 * class_bytes / 1e3,
            "7",
        ),
        Row(
            "changes, % of a core",
            CHANGES_PER_S * change_percent,
            CHANGES_PER_S * change_percent * transfer_count,
            "1.3",
        ),
        Row("VM list, KB/s", vm_kb * vm_count, transfers_per_s * vm_kb, "7"),
        Row(
            "VM list, % of a core",
            figures["reading a list of 1,000 VMs"] * vm_count / 1e4,
            figures["reading a list of 1,000 VMs"] * transfers_per_s / 1e4,
            "1.3",
        ),
        Row(
            "calls/s to the platform, all nodes",
            calls_per_s * NODE_COUNT,
            calls_per_s * WATCHER_COUNT,
            "about 2,000",
        ),
    ]


def compute_memory_rows(figures: Mapping[str, float]) -> list[Row]:
    """Returns the rows for memory and held backend servers."""
    mib_per_server = figures["per 1,000 more servers held: memory"] / 1000
    mib_per_member = figures["per 1,000 members known"] / 1000
    current_mib = SERVER_COUNT * mib_per_server + NODE_COUNT * mib_per_member
    planned_mib = (
        2 * SHARD_COUNT * mib_per_server + CELL_MEMBER_COUNT * mib_per_member
    )
    idle_mib = figures["resident memory of an idle node"]
    held_server_count = SERVER_COUNT / NODE_COUNT
    return [
        Row(
            "backend servers held by a node",
            held_server_count,
            held_server_count,
        ),
        Row(
            "backend servers and members known, MiB",
            current_mib,
            planned_mib,
            "32",
        ),
        Row("the idle process, MiB", idle_mib, idle_mib, "32"),
    ]


def format_value(value: float) -> str:
    """Formats a number with fewer decimal places the larger it is."""
    if value >= 10:
        return f"{value:,.0f}"
    return f"{value:.1f}" if value >= 1 else f"{value:.3f}"


def make_table(text: str) -> str:
    """Returns the Markdown table for the text of the measurements page."""
    figures = read_figures(text)
    rows = [
        *compute_query_rows(figures),
        *compute_lease_rows(figures),
        *compute_propagation_rows(figures),
        *compute_memory_rows(figures),
    ]
    lines = [
        "| at a node, if nothing else is said | as it is | planned | budget |",
        "|---|---|---|---|",
    ]
    for row in rows:
        cells = [format_value(row.current), format_value(row.planned)]
        lines.append(f"| {row.quantity} | {' | '.join(cells)} | {row.budget} |")
    return "\n".join(lines) + "\n"


def main() -> None:
    """Prints the capacity table."""
    sys.stdout.write(make_table(MEASUREMENTS_PAGE.read_text(encoding="utf-8")))


if __name__ == "__main__":
    main()
