"""Works out the table of docs/CAPACITY.md from the measured figures.

    python -m mulberrybay_testing.capacity

Reads docs/MEASUREMENTS.md; a test compares the table with the page.
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
MEASURED_HEARTBEAT_PERIOD_S: Final = 0.4

# The size to design for.
NODE_COUNT: Final = 6_000
SERVER_COUNT: Final = 27_000
QUERIES_PER_S: Final = 1.1e6
SHARD_COUNT: Final = 380
CHANGES_PER_S: Final = 15_000 / DAY_S
VM_EVENTS_PER_S: Final = (140 + 8_700) / DAY_S

# Of the plan: classes are an assumption, since the letter names no number.
CLASS_COUNT: Final = 200
CELL_SIZE: Final = 24
RELAY_FANOUT: Final = 8
HEARTBEAT_PERIOD_S: Final = 1.0
WATCHER_COUNT: Final = 12


class Row(NamedTuple):
    """One line of the table.

    Attributes:
        what: What is worked out.
        today: With the code as it is.
        planned: With the mechanism that is to carry it.
        budget: What the letter or the brief allows; empty if nothing.
    """

    what: str
    today: float
    planned: float
    budget: str = ""


def read_figures(text: str) -> dict[str, float]:
    """Returns the measured figures by name."""
    return {name: float(value) for name, value in FIGURE_LINE.findall(text)}


def work_out_queries(figures: Mapping[str, float]) -> list[Row]:
    """Returns the coordinator's and the holder's rows."""
    queries = QUERIES_PER_S / NODE_COUNT
    attempts = queries * SHARD_COUNT
    per_server = QUERIES_PER_S * SHARD_COUNT / SERVER_COUNT
    apart_us = figures["3 node(s): CPU per sub-request"]
    own_us = figures["1 node(s): CPU per sub-request"]
    met = NODE_COUNT * (1 - (1 - 1 / NODE_COUNT) ** SHARD_COUNT)
    slice_nodes = NODE_COUNT * SHARD_COUNT / SERVER_COUNT
    first = figures["a batch of attempts, the first"]
    more = figures["a batch of attempts, each more"]
    replies = SHARD_COUNT * figures["a reply with two hits"]

    def megabytes(holders: float) -> float:
        batches = holders * first + (SHARD_COUNT - holders) * more
        return queries * (batches + replies) / 1e6

    return [
        Row("queries/s at a coordinator", queries, queries),
        Row("sub-requests/s at a holder", attempts, attempts),
        Row("sub-requests/s at a backend server", per_server, per_server),
        Row("cores a node", attempts * apart_us / 1e6, attempts * own_us / 1e6),
        Row("holders that a query meets", met, slice_nodes),
        Row("MB/s a node to holders", megabytes(met), megabytes(slice_nodes)),
    ]


def work_out_leases(figures: Mapping[str, float]) -> list[Row]:
    """Returns the member's rows."""
    large = figures["1000 members: one heartbeat"]
    slope = (large - figures["100 members: one heartbeat"]) / 900
    ack = figures["one answer to a heartbeat"]
    full = 2 * (slope * NODE_COUNT + ack) / MEASURED_HEARTBEAT_PERIOD_S
    bare = 2 * (figures["1 members: one heartbeat"] + ack) / HEARTBEAT_PERIOD_S
    idle = [figures[f"{n} node(s): idle CPU of one"] for n in (1, 12)]
    peer_percent = (idle[1] - idle[0]) / 11
    planned_percent = (
        peer_percent * MEASURED_HEARTBEAT_PERIOD_S / HEARTBEAT_PERIOD_S
    )
    peers = CELL_SIZE - 1
    held = SERVER_COUNT / NODE_COUNT
    health = figures["per 1,000 more servers held: CPU"] * held / 1000
    return [
        Row(
            "heartbeats, KB/s", full * NODE_COUNT / 1e3, bare * peers / 1e3, "7"
        ),
        Row(
            "heartbeats, % of a core",
            peer_percent * NODE_COUNT,
            planned_percent * peers,
            "1.3",
        ),
        Row("health of held servers, % of a core", health, health, "1.3"),
    ]


def work_out_spreading(figures: Mapping[str, float]) -> list[Row]:
    """Returns the rows of the watcher and the platform client."""
    a_class = figures["one more class in the configuration"]
    copies = 1 + RELAY_FANOUT
    change_percent = figures["3 node(s): CPU of a node per change"] / 10
    vm_count = NODE_COUNT + SERVER_COUNT
    vm_kb = figures["a list of 1,000 VMs"] * 1.024 / 1000
    calls = figures["12 node(s): calls to the platform"] / 12
    # A VM is listed as leaving, then as gone or live.
    events = 2 * VM_EVENTS_PER_S * copies
    return [
        Row(
            "changes, KB/s",
            2 * CHANGES_PER_S * CLASS_COUNT * a_class / 1e3,
            copies * CHANGES_PER_S * 2 * a_class / 1e3,
            "7",
        ),
        Row(
            "changes, % of a core",
            CHANGES_PER_S * change_percent,
            CHANGES_PER_S * change_percent * copies,
            "1.3",
        ),
        Row("VM list, KB/s", vm_kb * vm_count, events * vm_kb, "7"),
        Row(
            "VM list, % of a core",
            figures["reading a list of 1,000 VMs"] * vm_count / 1e4,
            figures["reading a list of 1,000 VMs"] * events / 1e4,
            "1.3",
        ),
        Row(
            "calls/s to the platform, all nodes",
            calls * NODE_COUNT,
            calls * WATCHER_COUNT,
            "about 2,000",
        ),
    ]


def work_out_state(figures: Mapping[str, float]) -> list[Row]:
    """Returns the rows of memory."""
    vm_mib = figures["per 1,000 more servers held: memory"] / 1000
    member_mib = figures["per 1,000 members known"] / 1000
    all_mib = SERVER_COUNT * vm_mib + NODE_COUNT * member_mib
    own_mib = 2 * SHARD_COUNT * vm_mib + CELL_SIZE * member_mib
    idle = figures["resident memory of an idle node"]
    held = SERVER_COUNT / NODE_COUNT
    return [
        Row("backend servers held by a node", held, held),
        Row("backend servers and members known, MiB", all_mib, own_mib, "32"),
        Row("the idle process, MiB", idle, idle, "32"),
    ]


def format_value(value: float) -> str:
    """Returns a number with no more digits than it deserves."""
    if value >= 10:
        return f"{value:,.0f}"
    return f"{value:.1f}" if value >= 1 else f"{value:.3f}"


def make_table(text: str) -> str:
    """Returns the table of the capacity page from that of measurements."""
    figures = read_figures(text)
    rows = [
        *work_out_queries(figures),
        *work_out_leases(figures),
        *work_out_spreading(figures),
        *work_out_state(figures),
    ]
    lines = [
        "| at a node, if nothing else is said | as it is | planned | budget |",
        "|---|---|---|---|",
    ]
    for row in rows:
        cells = [format_value(row.today), format_value(row.planned)]
        lines.append(f"| {row.what} | {' | '.join(cells)} | {row.budget} |")
    return "\n".join(lines) + "\n"


def main() -> None:
    """Prints the table."""
    sys.stdout.write(make_table(PAGE.read_text(encoding="utf-8")))


if __name__ == "__main__":
    main()
