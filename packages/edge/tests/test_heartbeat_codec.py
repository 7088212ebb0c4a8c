"""Encoding heartbeats, and decoding valid, invalid and corrupted datagrams."""

import random
import zlib

import pytest

from mulberrybay_core.addresses import Address
from mulberrybay_core.edge_nodes import EdgeHeartbeat, EdgeNodeInfo
from mulberrybay_core.fatal_requests import (
    MAX_CRASH_COUNT,
    MAX_TOLD_COUNT,
    Crash,
    SuspectReport,
)
from mulberrybay_core.request_identity import IDENTITY_BYTES
from mulberrybay_core.rollouts import ArmCounts, RolloutCounts
from mulberrybay_core.tenants.quotas import (
    MAX_TOLD_COUNT as MAX_TOLD_TENANT_COUNT,
)
from mulberrybay_core.tenants.quotas import TenantDemand
from mulberrybay_edge.heartbeat_codec import (
    MAX_HEARTBEAT_BYTES,
    HeartbeatError,
    decode_heartbeat,
    encode_heartbeat,
)

HEARTBEAT = EdgeHeartbeat(
    EdgeNodeInfo(
        "edge-zone-b-17",
        1784355888416982062,
        "zone-b",
        Address("10.3.0.26", 8469),
        Address("10.3.0.26", 8500),
        1.5,
    ),
    True,
    12,
    (1874, 1574, 12, 2400),
    12.5,
    0.5,
)


# Times are exact in 32 bits.
REPORTS = tuple(
    SuspectReport(
        bytes([number] * IDENTITY_BYTES),
        tuple(
            Crash(2**64 - 1 - index, bool(index % 2), -2.5 - index, -2.25)
            for index in range(MAX_CRASH_COUNT)
        ),
        None if number % 2 else 0.5,
        0.25,
    )
    for number in range(MAX_TOLD_COUNT)
)


def make_rollouts(count: int, route_count: int) -> tuple[RolloutCounts, ...]:
    arm = ArmCounts(2**32 - 1, 3, -12.5, 45.625, 1200)
    arms = {
        (is_new, f"route-{number}"): arm
        for is_new in (False, True)
        for number in range(route_count)
    }
    return tuple(
        RolloutCounts(f"service-{number}", "v2", 31.5, arms, 3, True, 40)
        for number in range(count)
    )


DEMANDS = tuple(
    TenantDemand(2**64 - 1 - number, 12.5, 3.0, 0.5, number)
    for number in range(MAX_TOLD_TENANT_COUNT)
)


@pytest.mark.parametrize("lacks_servers", [False, True])
@pytest.mark.parametrize("suspects", [(), REPORTS])
@pytest.mark.parametrize("rollouts", [(), make_rollouts(2, 3)])
@pytest.mark.parametrize("tenants", [(), DEMANDS])
def test_decoded_heartbeat_equals_encoded_one(
    lacks_servers: bool,
    suspects: tuple[SuspectReport, ...],
    rollouts: tuple[RolloutCounts, ...],
    tenants: tuple[TenantDemand, ...],
) -> None:
    heartbeat = HEARTBEAT._replace(
        lacks_servers=lacks_servers,
        suspects=suspects,
        rollouts=rollouts,
        tenants=tenants,
    )
    assert decode_heartbeat(encode_heartbeat(heartbeat)) == heartbeat


@pytest.mark.parametrize("count", [8, 20])
def test_rollouts_that_do_not_fit_are_left_out_from_the_end(count: int) -> None:
    """Guards against heartbeats that receivers reject as too long."""
    rollouts = make_rollouts(count, 9)
    heartbeat = HEARTBEAT._replace(suspects=REPORTS, rollouts=rollouts)
    decoded = decode_heartbeat(encode_heartbeat(heartbeat))
    assert decoded.suspects == REPORTS
    assert 0 < len(decoded.rollouts) < 8
    assert decoded.rollouts == rollouts[: len(decoded.rollouts)]


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\x00",
        b"\xff" * 64,
        b"no heartbeat",
        encode_heartbeat(HEARTBEAT)[:-3],
        zlib.compress(b""),
        zlib.compress(b"\x00" * 8),
        zlib.compress(b"\xff" * 160),
        zlib.compress(b"\x00" * (MAX_HEARTBEAT_BYTES + 1)),
    ],
)
def test_invalid_datagram_raises_heartbeat_error(data: bytes) -> None:
    """Guards against another exception, which the caller would not handle.

    Datagrams are empty, truncated, too long or not a heartbeat at all.
    """
    with pytest.raises(HeartbeatError):
        decode_heartbeat(data)


@pytest.mark.parametrize("seed", range(20))
def test_corrupted_heartbeat_is_decoded_or_rejected(seed: int) -> None:
    """Guards against other exceptions, or the process ending, on bad bytes.

    Random bytes of the decompressed message are replaced, so that the error is
    found by Cap'n Proto and not already by zlib.
    """
    rng = random.Random(seed)
    message = zlib.decompress(encode_heartbeat(HEARTBEAT))
    for _ in range(200):
        corrupted = bytearray(message)
        for _ in range(rng.randint(1, 4)):
            corrupted[rng.randrange(len(corrupted))] = rng.randrange(256)
        try:
            decode_heartbeat(zlib.compress(bytes(corrupted)))
        except HeartbeatError:
            continue


def test_route_name_that_utf8_can_not_carry_does_not_end_heartbeats() -> None:
    """Guards against a configuration that makes every node look lost."""
    counts = RolloutCounts("web", "v2", 1.0, {(True, "a\ud800"): ArmCounts(1)})
    heartbeat = HEARTBEAT._replace(rollouts=(counts,))
    (decoded,) = decode_heartbeat(encode_heartbeat(heartbeat)).rollouts
    assert decoded.arms == {(True, "a?"): ArmCounts(1)}
