"""What other nodes say of themselves, with any content."""

import math
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given, settings, strategies

from mulberrybay_core.addresses import Address
from mulberrybay_core.edge_nodes import (
    EdgeHeartbeat,
    EdgeNodeInfo,
    EdgeNodes,
    choose_advertised,
    count_advertised,
)
from mulberrybay_core.fatal_requests import Crash, SuspectReport
from mulberrybay_core.store_messages import StoredObject
from mulberrybay_edge.heartbeat_codec import (
    HeartbeatError,
    decode_heartbeat,
    encode_heartbeat,
)
from mulberrybay_edge.node_registry import (
    decode_registration,
    encode_registration,
)
from mulberrybay_runtime.datagrams import Datagrams

ADDRESS = Address("127.0.0.1", 9)
INFO = EdgeNodeInfo("node-2", 7, "zone-b", ADDRESS, ADDRESS)
HEARTBEAT = EdgeHeartbeat(INFO, True, 1, (3,), 1.0, 0.5)
floats = strategies.floats(width=32)
hosts = strategies.sampled_from(
    ["127.0.0.1", "", "localhost", "1.2.3", "a.." + "b" * 70, "\u0130", "::1"]
)
ports = strategies.integers(0, 65535)
addresses = strategies.builds(Address, hosts, ports)
infos = strategies.builds(
    EdgeNodeInfo,
    strategies.text(
        max_size=8, alphabet=strategies.characters(exclude_categories=["Cs"])
    ),
    strategies.integers(0, 2**64 - 1),
    strategies.sampled_from(["", "zone-a"]),
    addresses,
    addresses,
    floats,
)
crashes = strategies.builds(
    Crash,
    strategies.integers(0, 2**64 - 1),
    strategies.booleans(),
    floats,
    floats,
)
heartbeats = strategies.builds(
    EdgeHeartbeat,
    infos,
    strategies.booleans(),
    strategies.integers(0, 2**64 - 1),
    strategies.lists(strategies.integers(0, 2**64 - 1), max_size=3).map(tuple),
    floats,
    floats,
    suspects=strategies.lists(
        strategies.builds(
            SuspectReport,
            strategies.binary(max_size=20),
            strategies.lists(crashes, max_size=2).map(tuple),
            strategies.none() | floats,
            floats,
        ),
        max_size=2,
    ).map(tuple),
)


def use(info: EdgeNodeInfo, heartbeat: EdgeHeartbeat | None) -> None:
    """Does with a node's description what a node does in each period."""
    nodes = EdgeNodes(INFO, 0.0)
    nodes.put_registered(info, 1)
    if heartbeat is not None:
        nodes.record_heartbeat(heartbeat, 1.0)
    count = count_advertised(nodes.attempts_per_s(1.0), 2, 2)
    choose_advertised([*nodes.serving(1.0), INFO, info], min(count, 4))
    nodes.should_watch(1.0)
    nodes.heartbeat_addresses(1.0)
    for address in (info.caller_address, info.peer_address):
        # Other hosts are looked up, which blocks, or raise other errors.
        Datagrams(None).send(b"", address)  # type: ignore[arg-type]
        assert math.isfinite(info.cpu_cores)
        assert all(part.isdecimal() for part in address.host.split("."))
        assert address.port


@settings(max_examples=400, deadline=None, derandomize=True, database=None)
@given(heartbeat=heartbeats)
def test_heartbeat_with_any_values_is_rejected_or_usable(
    heartbeat: EdgeHeartbeat,
) -> None:
    try:
        decoded = decode_heartbeat(encode_heartbeat(heartbeat))
    except HeartbeatError:
        return
    use(decoded.sender, decoded)


@pytest.mark.parametrize(
    "change",
    [
        {"attempts_per_s": math.nan},
        {"attempts_per_s": math.inf},
        {"store_age_s": math.nan},
        {"sender": INFO._replace(cpu_cores=math.nan)},
        {"sender": INFO._replace(cpu_cores=math.inf)},
        {"sender": INFO._replace(peer_address=Address("localhost", 9))},
        {"sender": INFO._replace(caller_address=Address("127.0.0.1", 0))},
        {"sender": INFO._replace(name="")},
        {"suspects": (SuspectReport(b"", (), math.nan, 0.0),)},
        {"suspects": (SuspectReport(b"", (), None, math.inf),)},
        {
            "suspects": (
                SuspectReport(b"", (Crash(1, True, 0.0, math.nan),), None, 0.0),
            )
        },
    ],
)
def test_heartbeat_with_a_value_that_ends_periodic_work_is_rejected(
    change: dict[str, Any],
) -> None:
    assert decode_heartbeat(encode_heartbeat(HEARTBEAT)) == HEARTBEAT
    with pytest.raises(HeartbeatError):
        decode_heartbeat(encode_heartbeat(HEARTBEAT._replace(**change)))


@pytest.mark.parametrize(
    "change",
    [
        lambda value: value | {"cpu_cores": math.nan},
        lambda value: value | {"cpu_cores": "inf"},
        lambda value: value | {"cpu_cores": 10**400},
        lambda value: value | {"peer_address": "localhost:9"},
        lambda value: value | {"caller_address": "127.0.0.1:0"},
        lambda value: value | {"incarnation": math.inf},
        lambda value: value | {"incarnation": None},
        lambda _: {},
    ],
)
def test_registration_with_a_value_that_ends_periodic_work_is_left_out(
    change: Callable[[dict[str, Any]], dict[str, Any]],
) -> None:
    value = encode_registration(INFO, 0)
    assert decode_registration(StoredObject("n", "node-2", 1, value)) == INFO
    stored = StoredObject("n", "node-2", 1, change(dict(value)))
    assert decode_registration(stored) is None
