"""Compares schemes for sharing a backend server's slots among nodes.

Usage: python -m mulberrybay_testing.slot_schemes

The queueing model has Poisson arrivals at several nodes, one backend server and
lognormal service times. The schemes are:

- `holder`: all requests go to one node, the holder, which has one queue for all
  slots.
- `split`: each node has its own share of the slots and a queue for it.
- `borrowed`: as `split`, but a node without a free slot borrows a permit from
  the node whose slot is free first, which takes a round trip.
"""

from __future__ import annotations

import heapq
import random
import statistics
from typing import Final, NamedTuple

REQUEST_COUNT: Final = 40_000
MEDIAN_SERVICE_S: Final = 0.008
SERVICE_LOG_SIGMA: Final = 0.2
SEEDS: Final = (1, 2, 3)


class SchemeSpec(NamedTuple):
    """The parameters of a simulation.

    Attributes:
        node_count: Number of nodes that send requests.
        slot_count: Number of slots of the backend server.
        utilization: Offered load in relation to the capacity of all slots.
        hop_s: One-way delay between two nodes.
    """

    node_count: int
    slot_count: int
    utilization: float
    hop_s: float


def simulate(scheme: str, spec: SchemeSpec, seed: int) -> list[float]:
    """Returns the latencies of all requests under a scheme, in seconds."""
    random_source = random.Random(seed)
    rate_per_s = spec.utilization * spec.slot_count / MEDIAN_SERVICE_S
    # For each node, a heap of the times at which its slots become free.
    owner_count = spec.node_count if scheme != "holder" else 1
    free_at_s: list[list[float]] = [[] for _ in range(owner_count)]
    for slot in range(spec.slot_count):
        free_at_s[slot % owner_count].append(0.0)
    latencies = []
    now_s = 0.0
    for _ in range(REQUEST_COUNT):
        now_s += random_source.expovariate(rate_per_s)
        owner = random_source.randrange(owner_count)
        ready_s = now_s
        if scheme == "holder":
            is_remote = random_source.randrange(spec.node_count) > 0
            ready_s += spec.hop_s if is_remote else 0.0
        elif scheme == "borrowed" or not free_at_s[owner]:
            # A node without any slot has to borrow under `split` too.
            owner, ready_s = _choose_permit(free_at_s, owner, now_s, spec.hop_s)
        slots = free_at_s[owner]
        start_s = max(ready_s, heapq.heappop(slots))
        service_s = MEDIAN_SERVICE_S * random_source.lognormvariate(
            0, SERVICE_LOG_SIGMA
        )
        heapq.heappush(slots, start_s + service_s)
        # A reply from the holder takes as long as the request to it.
        return_delay_s = ready_s - now_s if scheme == "holder" else 0.0
        latencies.append(start_s + service_s + return_delay_s - now_s)
    return latencies


def _choose_permit(
    free_at_s: list[list[float]], owner: int, now_s: float, hop_s: float
) -> tuple[int, float]:
    """Returns the node whose slot to use and when its permit arrives."""
    if free_at_s[owner] and free_at_s[owner][0] <= now_s:
        return owner, now_s
    permit_owner = min(
        (node for node in range(len(free_at_s)) if free_at_s[node]),
        key=lambda node: free_at_s[node][0],
    )
    return permit_owner, now_s if permit_owner == owner else now_s + 2 * hop_s


def main() -> None:
    """Prints the median and 99th percentile latency of each scheme."""
    print("| nodes | slots | utilization | scheme | p50_ms | p99_ms |")
    print("|---" * 6 + "|")
    for node_count, slot_count in ((3, 3), (6, 3), (6, 2), (6, 6)):
        for utilization in (0.3, 0.6, 0.8):
            spec = SchemeSpec(node_count, slot_count, utilization, 0.0015)
            for scheme in ("holder", "split", "borrowed"):
                latencies_by_seed = [
                    simulate(scheme, spec, seed) for seed in SEEDS
                ]
                cells = [
                    statistics.median(
                        _percentile_ms(latencies, percent)
                        for latencies in latencies_by_seed
                    )
                    for percent in (50, 99)
                ]
                print(
                    f"| {node_count} | {slot_count} | {utilization} "
                    f"| {scheme} | {cells[0]:.1f} | {cells[1]:.1f} |"
                )


def _percentile_ms(latencies: list[float], percent: int) -> float:
    return 1000 * sorted(latencies)[len(latencies) * percent // 100]


if __name__ == "__main__":
    main()
