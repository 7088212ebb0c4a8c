"""What other nodes say of themselves, with any content."""

import math
import random
import zlib
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
from mulberrybay_core.object_cache import CacheUpdate
from mulberrybay_core.rollouts import (
    ArmCounts,
    NodeRollouts,
    RolloutCounts,
    RolloutOrder,
    RolloutState,
    RolloutStatus,
    RolloutStep,
    RolloutTerms,
)
from mulberrybay_core.store_messages import ObjectList, StoredObject
from mulberrybay_core.tenants.quotas import TenantDemand
from mulberrybay_edge.heartbeat_codec import (
    HeartbeatError,
    decode_heartbeat,
    encode_heartbeat,
)
from mulberrybay_edge.node_registry import (
    decode_registration,
    encode_registration,
)
from mulberrybay_edge.peer_exchange import (
    PeerExchange,
    encode_request,
    encode_update,
)
from mulberrybay_edge.store_watch import StoreWatch
from mulberrybay_runtime.datagrams import Datagrams
from mulberrybay_runtime.timers import Timers

ADDRESS = Address("127.0.0.1", 9)
INFO = EdgeNodeInfo("node-2", 7, "zone-b", ADDRESS, ADDRESS)
HEARTBEAT = EdgeHeartbeat(INFO, True, 1, (3,), 1.0, 0.5)
COUNTS = RolloutCounts("records", "v2", 1.0, {})


def with_arm(arm: ArmCounts) -> RolloutCounts:
    """Returns what a node counts of the new version on one route."""
    return COUNTS._replace(arms={(True, "record"): arm})


floats = strategies.floats(width=32)
hosts = strategies.sampled_from(
    ["127.0.0.1", "", "localhost", "1.2.3", "a.." + "b" * 70, "\u0130", "::1"]
)
ports = strategies.integers(0, 65535)
counts = strategies.integers(0, 2**32 - 1)
texts = strategies.text(
    max_size=8, alphabet=strategies.characters(exclude_categories=["Cs"])
)
addresses = strategies.builds(Address, hosts, ports)
infos = strategies.builds(
    EdgeNodeInfo,
    texts,
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
demands = strategies.builds(
    TenantDemand,
    strategies.integers(0, 2**64 - 1),
    floats,
    floats,
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
    rollouts=strategies.lists(
        strategies.builds(
            RolloutCounts,
            strategies.sampled_from(["records", ""]),
            strategies.sampled_from(["v2", ""]),
            floats,
            strategies.dictionaries(
                strategies.tuples(strategies.booleans(), texts),
                strategies.builds(
                    ArmCounts, counts, counts, floats, floats, counts
                ),
                max_size=3,
            ),
            counts,
            strategies.booleans(),
            counts,
        ),
        max_size=3,
    ).map(tuple),
    tenants=strategies.lists(demands, max_size=2).map(tuple),
)


def use(info: EdgeNodeInfo, heartbeat: EdgeHeartbeat | None) -> None:
    """Does with a node's description what a node does in each period."""
    nodes = EdgeNodes(INFO, 0.0)
    nodes.put_registered(info, 1)
    if heartbeat is not None:
        nodes.record_heartbeat(heartbeat, 1.0)
        use_rollouts(heartbeat.rollouts)
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


def use_rollouts(reports: tuple[RolloutCounts, ...]) -> None:
    """Does with a node's counts what the writer does in each period."""
    rollouts = NodeRollouts(RolloutTerms(0.1, 50.0, 5.0), random.Random(1))
    rollouts.finish_first_list()
    order = RolloutOrder("records", "v2", 30.0, 1)
    for step in RolloutStep.CANARY, RolloutStep.PROMOTE:
        status = RolloutStatus(RolloutState.RUNNING, step, "v2")
        rollouts.set_order(order, status, 1.0)
        rollouts.merge("node-2", 1, reports, 2.0)
        for _, due in rollouts.due_statuses(3.0, lambda _: True):
            assert math.isfinite(due.age_s)
        assert all(math.isfinite(s.age_s) for s in rollouts.summaries(3.0))


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
        {"rollouts": (COUNTS._replace(service=""),)},
        {"rollouts": (COUNTS._replace(target_version=""),)},
        {"rollouts": (COUNTS._replace(age_s=math.nan),)},
        {"rollouts": (with_arm(ArmCounts(1, 2)),)},
        {"rollouts": (with_arm(ArmCounts(1, 1, math.inf)),)},
        {"rollouts": (with_arm(ArmCounts(1, 1, 0.0, -1.0)),)},
        {"tenants": (TenantDemand(1, math.inf, 1.0, 1.0, 1.0),)},
        {"tenants": (TenantDemand(1, 1.0, -1.0, 1.0, 1.0),)},
        {"tenants": (TenantDemand(1, 1.0, 1.0, 1.0, math.nan),)},
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


class _Stream:
    """A connection with a peer that records what is sent."""

    peer = ADDRESS

    def __init__(self) -> None:
        self.sent = b""
        self.unsent = bytearray()
        self.is_closed = False

    def send(self, data: bytes) -> bool:
        self.sent += data
        return True

    def close(self) -> None:
        self.is_closed = True


class _Streams:
    """Keeps the observers of connections."""

    def __init__(self) -> None:
        self.accept: Any = None
        self.dialled: list[tuple[_Stream, Any]] = []

    def listen(self, address: Address, accept: object) -> None:
        self.accept = accept

    def dial(self, address: Address, observer: object) -> _Stream:
        self.dialled.append((_Stream(), observer))
        return self.dialled[-1][0]


class _Listener:
    def on_list(self, objects: ObjectList) -> None:
        pass

    def on_changes(self, changes: ObjectList) -> None:
        pass


messages = strategies.one_of(
    strategies.binary(max_size=40),
    strategies.binary(max_size=40).map(zlib.compress),
    strategies.builds(
        encode_request,
        strategies.integers(0, 65535),
        strategies.integers(0, 2**64 - 1),
    ),
    strategies.builds(
        encode_update,
        strategies.integers(0, 3),
        strategies.builds(
            CacheUpdate,
            strategies.integers(0, 2**64 - 1),
            strategies.just(("i-1",)),
            strategies.lists(
                strategies.builds(
                    StoredObject,
                    strategies.just("servers"),
                    strategies.sampled_from(["i-1", "i-2", ""]),
                    strategies.integers(0, 2**64 - 1),
                    strategies.sampled_from([{}, {"a": math.nan}, [], None]),
                    strategies.sampled_from([{}, {"a": math.nan}, [], None]),
                ),
                max_size=2,
            ).map(tuple),
        ),
    ),
)


@settings(max_examples=400, deadline=None, derandomize=True, database=None)
@given(
    data=strategies.lists(messages, max_size=3).map(b"".join),
    flipped=strategies.lists(
        strategies.tuples(strategies.integers(0), strategies.integers(0, 255)),
        max_size=2,
    ),
)
def test_any_bytes_of_a_peer_are_answered_applied_or_end_the_connection(
    data: bytes, flipped: list[tuple[int, int]]
) -> None:
    spoiled = bytearray(data)
    for position, value in flipped if data else []:
        spoiled[position % len(data)] = value
    watch = StoreWatch(None, Timers(), "servers", _Listener())  # type: ignore[arg-type]
    watch.cache.replace(ObjectList((StoredObject("", "i-1", 1, {}),), 5))
    streams: Any = _Streams()
    exchange = PeerExchange(streams, Timers(), [watch])
    exchange.listen(ADDRESS)
    exchange.request_update(ADDRESS, 0, 5, watch.apply_peer_update)

    accepted = _Stream()
    streams.accept(accepted).on_data(accepted, bytes(spoiled))
    dialled, observer = streams.dialled[0]
    observer.on_data(dialled, bytes(spoiled))

    assert watch.version is not None
    if dialled.is_closed:
        exchange.request_update(ADDRESS, 0, 5, watch.apply_peer_update)
        assert len(streams.dialled) == 2
