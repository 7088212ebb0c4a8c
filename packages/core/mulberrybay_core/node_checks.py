"""Checks what other nodes say of themselves before it is used.

A number that is none would end what a node does periodically, and a host name
would be looked up for each heartbeat.
"""

import functools
import math
from typing import Final

from mulberrybay_core.addresses import Address, parse_ipv4_address
from mulberrybay_core.edge_nodes import EdgeHeartbeat, EdgeNodeInfo
from mulberrybay_core.fatal_requests import SuspectReport
from mulberrybay_core.rollouts import RolloutCounts

# The most rollouts that a heartbeat reports on.
MAX_ROLLOUT_COUNT: Final = 8


@functools.lru_cache(maxsize=2048)
def _check_address(address: Address) -> None:
    parse_ipv4_address(str(address))


def _check_quantity(name: str, value: float) -> None:
    if not math.isfinite(value) or value < 0:
        raise ValueError(f"{name}: {value} is not a quantity")


def check_node_info(info: EdgeNodeInfo) -> EdgeNodeInfo:
    """Returns a node's description of itself if it can be used.

    Raises:
        ValueError: The name is empty, an address is not IPv4 with a port, or the
            CPU time is not a quantity.
    """
    if not info.name:
        raise ValueError("the node has no name")
    _check_address(info.caller_address)
    _check_address(info.peer_address)
    _check_quantity("cpu_cores", info.cpu_cores)
    return info


def _check_report(report: SuspectReport) -> None:
    times_s = [report.seen_ago_s, report.replied_ago_s or 0.0]
    for crash in report.crashes:
        times_s += [crash.sent_at_s, crash.crashed_at_s]
    if not all(math.isfinite(time_s) for time_s in times_s):
        raise ValueError("a time of a suspected request is not finite")


def _check_rollout(counts: RolloutCounts) -> None:
    if not counts.service or not counts.target_version:
        raise ValueError("a rollout has no service or no version")
    _check_quantity("age_s", counts.age_s)
    for (_, route), arm in counts.arms.items():
        if arm.bad_count > arm.reply_count:
            raise ValueError(f"{route}: more bad replies than replies")
        if not math.isfinite(arm.log_latency_sum):
            raise ValueError(f"{route}: a latency is not finite")
        _check_quantity(route, arm.log_latency_square_sum)


def check_heartbeat(heartbeat: EdgeHeartbeat) -> EdgeHeartbeat:
    """Returns a heartbeat if all its values can be used.

    Raises:
        ValueError: A rate or time is not a quantity; see also
            `check_node_info`.
    """
    check_node_info(heartbeat.sender)
    _check_quantity("attempts_per_s", heartbeat.attempts_per_s)
    if math.isnan(heartbeat.store_age_s) or heartbeat.store_age_s < 0:
        raise ValueError(f"store_age_s: {heartbeat.store_age_s} is no time")
    for demand in heartbeat.tenants:
        for quantity in demand[1:]:
            _check_quantity("tenants", quantity)
    for report in heartbeat.suspects:
        _check_report(report)
    if len(heartbeat.rollouts) > MAX_ROLLOUT_COUNT:
        raise ValueError(f"{len(heartbeat.rollouts)} rollouts")
    for counts in heartbeat.rollouts:
        _check_rollout(counts)
    return heartbeat
