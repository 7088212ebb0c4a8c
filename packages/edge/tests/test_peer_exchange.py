"""Requests for changed objects between nodes, and the limit on replies."""

import json
import zlib

import pytest

from mulberrybay_core.addresses import Address
from mulberrybay_core.object_cache import CacheUpdate
from mulberrybay_core.store_messages import ObjectList, StoredObject
from mulberrybay_edge.heartbeat_codec import PROTOCOL_VERSION, SCHEMA
from mulberrybay_edge.peer_exchange import (
    MAX_CONCURRENT_REPLY_COUNT,
    MAX_INCOMING_COUNT,
    MAX_REQUEST_BYTES,
    PeerExchange,
    decode_update,
    encode_update,
)
from mulberrybay_edge.store_watch import StoreWatch
from mulberrybay_nodes.frames import FrameReader, wrap_frame
from mulberrybay_runtime.timers import Timers

PEER = Address("127.0.0.1", 1)
VALUE = {"service": "shard", "address": "127.0.0.1:8000", "state": "ready"}


class _Stream:
    def __init__(self) -> None:
        self.peer = PEER
        self.sent: list[bytes] = []
        self.unsent = bytearray()
        self.is_closed = False

    def send(self, data: bytes) -> bool:
        self.sent.append(data)
        self.unsent += data
        return True

    def close(self) -> None:
        self.is_closed = True


class _Streams:
    def __init__(self) -> None:
        self.dialled: list[tuple[_Stream, object]] = []
        self.accept = None

    def listen(self, address: Address, accept: object) -> None:
        self.accept = accept

    def dial(self, address: Address, observer: object) -> _Stream:
        stream = _Stream()
        self.dialled.append((stream, observer))
        return stream


class _Listener:
    def on_list(self, objects: ObjectList) -> None:
        pass

    def on_changes(self, changes: ObjectList) -> None:
        pass


class _Node:
    """The exchange of a node that watches one kind."""

    def __init__(self, object_count: int = 0) -> None:
        self.watch = StoreWatch(None, Timers(), "servers", _Listener())
        if object_count:
            items = tuple(
                StoredObject("servers", f"i-{number}", number, VALUE)
                for number in range(1, object_count + 1)
            )
            self.watch.cache.replace(ObjectList(items, object_count))
        self.streams = _Streams()
        self.exchange = PeerExchange(self.streams, Timers(), [self.watch])
        self.exchange.listen(PEER)

    def receive_request(self, data: bytes) -> _Stream:
        """Handles a request of a peer on a new connection."""
        stream = _Stream()
        server = self.streams.accept(stream)
        server.on_connected(stream)
        server.on_data(stream, data)
        return stream


def apply(update: CacheUpdate) -> None:
    del update


def request_update(
    node: _Node, since_version: int = 0
) -> tuple[_Stream, object]:
    node.exchange.request_update(
        PEER, 0, since_version, node.watch.apply_peer_update
    )
    stream, request = node.streams.dialled[-1]
    request.on_connected(stream)
    return stream, request


@pytest.mark.parametrize("since_version", [0, 30])
def test_node_gets_missing_objects_from_peer(since_version: int) -> None:
    """Guards against objects that are still missing after a peer's reply.

    The node knows nothing at first, or has already read some of the objects.
    """
    informed, lagging = _Node(40), _Node(since_version)
    stream, request = request_update(lagging, since_version)

    reply_stream = informed.receive_request(stream.sent[0])
    request.on_data(stream, b"".join(reply_stream.sent))

    assert lagging.watch.version == informed.watch.version
    assert len(lagging.watch.cache.all_objects().items) == 40
    assert stream.is_closed


def test_status_of_an_object_is_passed_on() -> None:
    """Guards against nodes that learn a rollout's order but not its state."""
    items = (
        StoredObject("rollouts", "a", 1, VALUE, {"state": "completed"}),
        StoredObject("rollouts", "b", 2, VALUE),
    )
    frame = encode_update(0, CacheUpdate(2, ("a", "b"), items))
    _, update = decode_update(FrameReader().feed(frame)[0])
    assert [item[1:] for item in update.items] == [item[1:] for item in items]


def test_reply_is_compressed_below_quarter_of_object_size() -> None:
    """Guards against large replies, which take the link from callers."""
    informed, lagging = _Node(400), _Node()
    stream, _ = request_update(lagging)
    reply_stream = informed.receive_request(stream.sent[0])
    assert len(reply_stream.sent[0]) < 400 * len(str(VALUE)) / 4


def test_one_request_is_pending_per_kind() -> None:
    """Guards against several requests for a kind at once.

    After a failed connection, the next request must be possible.
    """
    lagging = _Node()
    _, request = request_update(lagging)
    lagging.exchange.request_update(PEER, 0, 0, apply)
    assert len(lagging.streams.dialled) == 1

    request.on_closed(_Stream(), "refused")
    lagging.exchange.request_update(PEER, 0, 0, apply)
    assert len(lagging.streams.dialled) == 2


def test_request_can_be_sent_again_after_timeout() -> None:
    """Guards against an unresponsive peer that blocks all later requests."""
    lagging = _Node()
    stream, request = request_update(lagging)
    request.on_timeout(stream)
    assert stream.is_closed
    lagging.exchange.request_update(PEER, 0, 0, apply)
    assert len(lagging.streams.dialled) == 2


def test_concurrent_replies_are_limited() -> None:
    """Guards against replies to many peers at once, which fill the link.

    A reply counts until all of its bytes are sent.
    """
    informed, lagging = _Node(40), _Node()
    stream, _ = request_update(lagging)
    reply_streams = [
        informed.receive_request(stream.sent[0])
        for _ in range(MAX_CONCURRENT_REPLY_COUNT + 1)
    ]
    assert [reply_stream.is_closed for reply_stream in reply_streams] == [
        *[False] * MAX_CONCURRENT_REPLY_COUNT,
        True,
    ]

    reply_streams[0].unsent.clear()
    assert informed.receive_request(stream.sent[0]).sent


@pytest.mark.parametrize(
    "data",
    [b"\x04\x00\x00\x00none", b"\xff\xff\xff\xff", b"\x00\x00\x00\x00"],
)
def test_unreadable_reply_changes_nothing(data: bytes) -> None:
    """Guards against a malformed reply that stays open or changes the cache."""
    lagging = _Node()
    stream, request = request_update(lagging)
    request.on_data(stream, data)
    assert stream.is_closed
    assert lagging.watch.version is None
    assert lagging.exchange.counts["unreadable"] == 1


@pytest.mark.parametrize("depth", [10_000, 100_000])
def test_object_that_is_nested_too_deeply_does_not_keep_a_request_open(
    depth: int,
) -> None:
    lagging = _Node()
    stream, request = request_update(lagging)
    message = SCHEMA.Update.new_message(
        version=PROTOCOL_VERSION,
        storeVersion=7,
        names=["i-1", "i-2"],
        items=[
            {"name": "i-1", "version": 6, "value": '{"a":' + "[" * depth},
            {"name": "i-2", "version": 7, "value": json.dumps(VALUE)},
        ],
    )

    request.on_data(stream, wrap_frame(zlib.compress(message.to_bytes())))

    assert stream.is_closed
    assert lagging.exchange.counts["unreadable"] == 1
    assert lagging.watch.version is None


class _FaultyListener(_Listener):
    def on_list(self, objects: ObjectList) -> None:
        raise ValueError("a fault of this node")


def test_own_fault_while_an_update_is_applied_is_no_unreadable_frame() -> None:
    informed, lagging = _Node(40), _Node()
    lagging.watch = StoreWatch(None, Timers(), "servers", _FaultyListener())
    stream, request = request_update(lagging)
    reply_stream = informed.receive_request(stream.sent[0])

    with pytest.raises(ValueError, match="a fault of this node"):
        request.on_data(stream, b"".join(reply_stream.sent))

    assert stream.is_closed
    assert lagging.exchange.counts["unreadable"] == 0
    lagging.exchange.request_update(PEER, 0, 0, apply)
    assert len(lagging.streams.dialled) == 2


def test_own_fault_while_a_reply_is_made_is_no_unreadable_frame(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    informed, lagging = _Node(40), _Node()
    stream, _ = request_update(lagging)

    def fail(_: int) -> None:
        raise ValueError("a fault of this node")

    monkeypatch.setattr(informed.watch.cache, "update_since", fail)
    with pytest.raises(ValueError, match="a fault of this node"):
        informed.receive_request(stream.sent[0])
    assert informed.exchange.counts["unreadable"] == 0


def test_bytes_that_are_no_request_are_bounded_for_each_connection() -> None:
    """A frame may announce 8 MiB, which were held until the sender left."""
    node = _Node(1)
    frame = wrap_frame(b"x" * 100_000)
    assert not node.receive_request(frame[:MAX_REQUEST_BYTES]).is_closed
    assert node.receive_request(frame[: MAX_REQUEST_BYTES + 1]).is_closed


def test_oldest_incoming_connection_gives_way_to_a_new_one() -> None:
    node = _Node(1)
    streams = [node.receive_request(b"") for _ in range(MAX_INCOMING_COUNT + 1)]
    assert [stream.is_closed for stream in streams[:2]] == [True, False]
