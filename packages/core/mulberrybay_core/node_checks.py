"""Checks what other nodes say of themselves before it is used.

A number that is none would end what a node does periodically, and a host name
would be looked up for each heartbeat.
"""

import functools
import math

from mulberrybay_core.addresses import Address, parse_ipv4_address
from mulberrybay_core.edge_nodes import EdgeHeartbeat, EdgeNodeInfo
from mulberrybay_core.fatal_requests import SuspectReport


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
    return heartbeat
