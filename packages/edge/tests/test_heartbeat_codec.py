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


DEMANDS = tuple(
    TenantDemand(2**64 - 1 - number, 12.5, 3.0, 0.5, number)
    for number in range(MAX_TOLD_TENANT_COUNT)
)


@pytest.mark.parametrize("lacks_servers", [False, True])
@pytest.mark.parametrize("suspects", [(), REPORTS])
@pytest.mark.parametrize("tenants", [(), DEMANDS])
def test_decoded_heartbeat_equals_encoded_one(
    lacks_servers: bool,
    suspects: tuple[SuspectReport, ...],
    tenants: tuple[TenantDemand, ...],
) -> None:
    heartbeat = HEARTBEAT._replace(
        lacks_servers=lacks_servers, suspects=suspects, tenants=tenants
    )
    assert decode_heartbeat(encode_heartbeat(heartbeat)) == heartbeat


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
