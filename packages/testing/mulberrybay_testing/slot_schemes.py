"""Compares schemes for a backend server's slots in a queueing model.

Usage: python -m mulberrybay_testing.slot_schemes

Poisson arrivals at several nodes, one backend server, lognormal service
times. Under `holder` every request crosses to the one node that queues for
all slots; under `split` each node queues for its own share of the slots;
under `borrowed` a node without a free slot of its own fetches a permit from
the node that has the most, which takes a round trip.
"""

from __future__ import annotations

import heapq
import random
import statistics
from typing import Final, NamedTuple

REQUEST_COUNT: Final = 40_000
SERVICE_S: Final = 0.008
SERVICE_SIGMA: Final = 0.2
SEEDS: Final = (1, 2, 3)


class SchemeSpec(NamedTuple):
    """The shape of a comparison.

    Attributes:
        node_count: Nodes that send.
        slot_count: Slots of the backend server.
        utilization: Offered load as a share of the slots.
        hop_s: One way between two nodes.
    """

    node_count: int
    slot_count: int
    utilization: float
    hop_s: float


def simulate(scheme: str, spec: SchemeSpec, seed: int) -> list[float]:
    """Returns the latencies of all requests under a scheme."""
    source = random.Random(seed)
    rate_per_s = spec.utilization * spec.slot_count / SERVICE_S
    # The times at which each slot is free, by the node that owns it.
    owner_count = spec.node_count if scheme != "holder" else 1
    free_at_s: list[list[float]] = [[] for _ in range(owner_count)]
    for slot in range(spec.slot_count):
        free_at_s[slot % owner_count].append(0.0)
    latencies = []
    now_s = 0.0
    for _ in range(REQUEST_COUNT):
        now_s += source.expovariate(rate_per_s)
        owner = source.randrange(owner_count)
        ready_s = now_s
        if scheme == "holder":
            is_remote = source.randrange(spec.node_count) > 0
            ready_s += spec.hop_s if is_remote else 0.0
        elif scheme == "borrowed" or not free_at_s[owner]:
            # A node without any slot has to borrow under both schemes.
            owner, ready_s = _borrow(free_at_s, owner, now_s, spec.hop_s)
        slots = free_at_s[owner]
        start_s = max(ready_s, heapq.heappop(slots))
        service_s = SERVICE_S * source.lognormvariate(0, SERVICE_SIGMA)
        heapq.heappush(slots, start_s + service_s)
        # The reply goes back the way that the request came.
        back_s = ready_s - now_s if scheme == "holder" else 0.0
        latencies.append(start_s + service_s + back_s - now_s)
    return latencies


def _borrow(
    free_at_s: list[list[float]], owner: int, now_s: float, hop_s: float
) -> tuple[int, float]:
    """Returns whose slot to use and when the permit is here."""
    if free_at_s[owner] and free_at_s[owner][0] <= now_s:
        return owner, now_s
    lender = min(
        (node for node in range(len(free_at_s)) if free_at_s[node]),
        key=lambda node: free_at_s[node][0],
    )
    return lender, now_s if lender == owner else now_s + 2 * hop_s


def main() -> None:
    """Prints the 50th and 99th percentile of each scheme."""
    print("| nodes | slots | utilization | scheme | p50_ms | p99_ms |")
    print("|---" * 6 + "|")
    for node_count, slot_count in ((3, 3), (6, 3), (6, 2), (6, 6)):
        for utilization in (0.3, 0.6, 0.8):
            spec = SchemeSpec(node_count, slot_count, utilization, 0.0015)
            for scheme in ("holder", "split", "borrowed"):
                runs = [simulate(scheme, spec, seed) for seed in SEEDS]
                cells = [
                    statistics.median(_percentile_ms(run, part) for run in runs)
                    for part in (50, 99)
                ]
                print(
                    f"| {node_count} | {slot_count} | {utilization} "
                    f"| {scheme} | {cells[0]:.1f} | {cells[1]:.1f} |"
                )


def _percentile_ms(latencies: list[float], percent: int) -> float:
    return 1000 * sorted(latencies)[len(latencies) * percent // 100]


if __name__ == "__main__":
    main()
