"""Heartbeats between nodes of two releases; see docs/UPGRADES.md."""

import pathlib
import zlib
from typing import Any

import capnp
import pytest

from mulberrybay_core.object_cache import CacheUpdate
from mulberrybay_core.store_messages import StoredObject
from mulberrybay_edge import heartbeat_codec
from mulberrybay_edge.heartbeat_codec import (
    PROTOCOL_VERSION,
    HeartbeatError,
    decode_heartbeat,
)
from mulberrybay_edge.peer_exchange import decode_update, encode_update
from mulberrybay_nodes.frames import FrameReader

SCHEMA_TEXT = (
    pathlib.Path(heartbeat_codec.__file__)
    .with_name("edge.capnp")
    .read_text(encoding="utf-8")
)
FILE_ID = "@0xb3f1d9c26a7e4058;"
LAST_FIELD = "  tenants @19 :List(TenantDemand);\n"
FIELDS = {
    "version": PROTOCOL_VERSION,
    "name": "node-2",
    "incarnation": 7,
    "failureDomain": "zone-b",
    "callerHost": "127.0.0.1",
    "callerPort": 8001,
    "peerHost": "127.0.0.1",
    "peerPort": 8002,
    "isServing": True,
    "cpuCores": 1.5,
    "storeAgeS": 0.5,
}


def load(path: pathlib.Path, text: str, file_id: str) -> Any:  # noqa: ANN401
    """Returns the schema of another release."""
    assert text.startswith(FILE_ID)
    path.write_text(text.replace(FILE_ID, file_id), encoding="utf-8")
    return capnp.load(str(path))


def encode(schema: Any, fields: dict[str, Any]) -> bytes:  # noqa: ANN401
    message = schema.EdgeHeartbeat.new_message(**fields)
    return zlib.compress(message.to_bytes())


def test_heartbeat_of_a_newer_release_is_read_without_its_new_fields(
    tmp_path: pathlib.Path,
) -> None:
    text = SCHEMA_TEXT.replace(
        LAST_FIELD, f"{LAST_FIELD}  added @20 :Text;\n  rate @21 :Float64;\n"
    )
    newer = load(tmp_path / "newer.capnp", text, "@0xb3f1d9c26a7e4059;")

    data = encode(newer, {**FIELDS, "added": "x", "rate": 2.0, "isHub": True})

    heartbeat = decode_heartbeat(data)
    assert heartbeat.sender.name == "node-2"
    assert heartbeat.is_hub


def test_heartbeat_of_an_older_release_means_what_that_release_does(
    tmp_path: pathlib.Path,
) -> None:
    first = SCHEMA_TEXT.index("  isRestoring @14")
    end = SCHEMA_TEXT.index(LAST_FIELD) + len(LAST_FIELD)
    text = SCHEMA_TEXT[:first] + SCHEMA_TEXT[end:]
    older = load(tmp_path / "older.capnp", text, "@0xb3f1d9c26a7e405a;")

    heartbeat = decode_heartbeat(encode(older, FIELDS))

    assert heartbeat.is_serving
    assert heartbeat.sender.cpu_cores == pytest.approx(1.5)
    assert not heartbeat.is_restoring
    assert not heartbeat.is_hub
    assert not heartbeat.lacks_servers
    assert heartbeat.suspects == ()
    assert heartbeat.tenants == ()
    assert heartbeat.rollouts == ()


def test_object_of_an_older_release_has_no_status(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against nodes that can't learn objects from older ones."""
    text = SCHEMA_TEXT.replace("  status @3 :Text;\n", "")
    older = load(tmp_path / "older.capnp", text, "@0xb3f1d9c26a7e405c;")
    item = {"name": "a", "version": 1, "value": "{}"}
    message = older.Update.new_message(
        version=PROTOCOL_VERSION, storeVersion=1, names=["a"], items=[item]
    )
    _, update = decode_update(zlib.compress(message.to_bytes()))
    assert update.items == (StoredObject("", "a", 1, {}),)

    stored = StoredObject("", "a", 1, {}, {"state": "running"})
    frame = encode_update(0, CacheUpdate(1, ("a",), (stored,)))
    (payload,) = FrameReader().feed(frame)
    with older.Update.from_bytes(zlib.decompress(payload)) as read:
        assert [item.value for item in read.items] == ["{}"]


def test_heartbeat_of_another_protocol_version_is_rejected(
    tmp_path: pathlib.Path,
) -> None:
    other = load(tmp_path / "other.capnp", SCHEMA_TEXT, "@0xb3f1d9c26a7e405b;")
    data = encode(other, {**FIELDS, "version": PROTOCOL_VERSION + 1})

    with pytest.raises(HeartbeatError, match="version"):
        decode_heartbeat(data)
