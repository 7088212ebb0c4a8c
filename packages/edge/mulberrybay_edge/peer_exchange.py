"""Copies objects of the platform's store between nodes.

A node that gets errors or no reply from the store requests the changes that
it lacks from a peer. Each request has its own connection, so that one that
becomes unresponsive does not delay the others. When many objects change, all
nodes send requests at about the same time. Replies are therefore compressed,
and a node sends only a few of them at once, so that its network link stays
free for callers.
"""

import json
import zlib
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any, Final, Self

import capnp

from mulberrybay_core.addresses import Address
from mulberrybay_core.decode_errors import DECODE_ERRORS
from mulberrybay_core.object_cache import CacheUpdate
from mulberrybay_core.store_messages import JsonObject, StoredObject
from mulberrybay_edge.heartbeat_codec import PROTOCOL_VERSION, SCHEMA
from mulberrybay_edge.store_watch import StoreWatch
from mulberrybay_nodes.frames import (
    FrameReader,
    FrameTooLongError,
    wrap_frame,
)
from mulberrybay_runtime.clock import read_clock_s
from mulberrybay_runtime.logs import StructuredLog
from mulberrybay_runtime.streams import Stream, Streams
from mulberrybay_runtime.timers import Timer, Timers

REQUEST_TIMEOUT_S: Final = 1.0
# The maximum number of replies that a node sends at a time. It closes the
# connection of a further request, and the peer sends its next request to another
# node.
MAX_CONCURRENT_REPLY_COUNT: Final = 4
# Callers that are no nodes may connect too. A request takes some 40 bytes, and
# its sender gives up after REQUEST_TIMEOUT_S.
MAX_REQUEST_BYTES: Final = 1024
INCOMING_LIFE_S: Final = 2 * REQUEST_TIMEOUT_S
# Beyond this count, the oldest connection is closed for a new one.
MAX_INCOMING_COUNT: Final = 64
# At most one line on unreadable frames in this time.
LOG_PERIOD_S: Final = 10.0
# The fastest level, because nodes have little CPU time to spare.
COMPRESSION_LEVEL: Final = 1
# Far larger than all objects of one kind together. A frame that decompresses to
# more is rejected as malformed.
MAX_UPDATE_BYTES: Final = 64 * 1024 * 1024
# The exceptions that decoding a malformed frame may raise.
_DECODE_ERRORS: Final = (
    *DECODE_ERRORS,
    capnp.KjException,
    FrameTooLongError,
    zlib.error,
)


UpdateHandler = Callable[[CacheUpdate], None]


class ExchangeMessageError(ValueError):
    """A frame is malformed or has another protocol version."""


def encode_request(kind_index: int, since_version: int) -> bytes:
    """Returns the frame that requests changes of one kind of objects.

    Args:
        kind_index: The number of the kind, in the order of the watches.
        since_version: The version up to which the changes are known.
    """
    message = SCHEMA.UpdateRequest.new_message(
        version=PROTOCOL_VERSION,
        kindIndex=kind_index,
        sinceVersion=since_version,
    )
    return wrap_frame(bytes(message.to_bytes()))


def decode_request(payload: bytes) -> tuple[int, int]:
    """Returns the kind's number and the known version from a request.

    Raises:
        ExchangeMessageError: The request has another protocol version.
    """
    with SCHEMA.UpdateRequest.from_bytes(payload) as message:
        if message.version != PROTOCOL_VERSION:
            raise ExchangeMessageError(f"unsupported version {message.version}")
        return message.kindIndex, message.sinceVersion


def encode_update(kind_index: int, update: CacheUpdate) -> bytes:
    """Returns the frame of an update; its content is compressed."""
    message = SCHEMA.Update.new_message(
        version=PROTOCOL_VERSION,
        kindIndex=kind_index,
        storeVersion=update.store_version,
        names=list(update.names),
        hasKeptObjects=update.has_kept_objects,
        items=[_encode_object(stored) for stored in update.items],
    )
    return wrap_frame(zlib.compress(message.to_bytes(), COMPRESSION_LEVEL))


def _encode_object(stored: StoredObject) -> dict[str, Any]:
    item = {
        "name": stored.name,
        "version": stored.version,
        "value": json.dumps(stored.value),
    }
    if stored.status is not None:
        item["status"] = json.dumps(stored.status)
    return item


def _decode_json_object(text: str) -> JsonObject:
    value = json.loads(text)
    if not isinstance(value, dict):
        raise ExchangeMessageError("an object's value is not a JSON object")
    return value


def decode_update(payload: bytes) -> tuple[int, CacheUpdate]:
    """Returns the kind's number and the update from a frame's payload.

    Raises:
        ExchangeMessageError: The payload is truncated, too large or of another
            protocol version, or an object in it has no valid value.
    """
    decompressor = zlib.decompressobj()
    decompressed = decompressor.decompress(payload, MAX_UPDATE_BYTES)
    if not decompressor.eof:
        raise ExchangeMessageError("truncated or too long")
    with SCHEMA.Update.from_bytes(
        decompressed, traversal_limit_in_words=MAX_UPDATE_BYTES // 8
    ) as message:
        if message.version != PROTOCOL_VERSION:
            raise ExchangeMessageError(f"unsupported version {message.version}")
        items = [
            StoredObject(
                "",
                item.name,
                item.version,
                _decode_json_object(item.value),
                _decode_json_object(item.status) if item.status else None,
            )
            for item in message.items
        ]
        return message.kindIndex, CacheUpdate(
            message.storeVersion,
            tuple(message.names),
            tuple(items),
            message.hasKeptObjects,
        )


class _IncomingConnection:
    """A connection on which a peer sends a request.

    Attributes:
        stream: The connection.
        timer: Closes the connection.
    """

    def __init__(
        self, exchange: "PeerExchange", stream: Stream, timers: Timers
    ) -> None:
        self._exchange = exchange
        self._frame_reader = FrameReader()
        self._received_bytes = 0
        self.stream = stream
        stream.read_size_bytes = 2 * MAX_REQUEST_BYTES
        self.timer = timers.call_later(INCOMING_LIFE_S, self.give_up)

    def on_connected(self, stream: Stream) -> None:
        """Does nothing: incoming connections are already open."""

    def on_data(self, stream: Stream, data: bytes) -> None:
        """Replies to a request."""
        self._received_bytes += len(data)
        try:
            if self._received_bytes > MAX_REQUEST_BYTES:
                raise FrameTooLongError("more bytes than a request has")
            requests = [
                decode_request(payload)
                for payload in self._frame_reader.feed(data)
            ]
        except _DECODE_ERRORS as error:
            self._exchange.record_unreadable(stream.peer, error)
            self.close()
            return
        for kind_index, since_version in requests:
            reply = None
            if not stream.unsent:
                reply = self._exchange.make_reply(kind_index, since_version)
            if reply is None:
                self.close()
                return
            stream.send(reply)
            self._exchange.add_replying_stream(stream)

    def on_closed(self, stream: Stream, reason: str) -> None:
        """Handles the end of the connection, with or without a reply."""
        self._release()

    def give_up(self) -> None:
        """Closes a connection whose peer doesn't wait for it any more."""
        self._exchange.counts["incoming_closed"] += 1
        self.close()

    def close(self) -> None:
        """Closes the connection."""
        self._release()
        self.stream.close()

    def _release(self) -> None:
        self.timer.cancel()
        self._exchange.remove_incoming(self)


class _PendingRequest:
    """A request to a peer, on a connection of its own."""

    def __init__(
        self,
        exchange: "PeerExchange",
        kind_index: int,
        data: bytes,
        apply: UpdateHandler,
    ) -> None:
        self._exchange = exchange
        self._frame_reader = FrameReader()
        self._data = data
        self.apply = apply
        self.kind_index = kind_index
        self.timer: Timer | None = None

    def on_connected(self, stream: Stream) -> None:
        """Sends the request."""
        stream.send(self._data)

    def on_data(self, stream: Stream, data: bytes) -> None:
        """Applies the update that the peer sent."""
        try:
            payloads = self._frame_reader.feed(data)
            decoded = decode_update(payloads[0]) if payloads else None
        except _DECODE_ERRORS as error:
            self._exchange.record_unreadable(stream.peer, error)
            self._finish_and_close(stream)
            return
        if decoded is None:
            return
        self._finish_and_close(stream)
        kind_index, update = decoded
        if kind_index == self.kind_index:
            self._exchange.record_update(kind_index, update)
            self.apply(update)

    def on_closed(self, stream: Stream, reason: str) -> None:
        """Handles a connection that closed without a reply.

        The node sends another request while it still lacks changes.
        """
        self._exchange.counts["unanswered"] += 1
        self._finish()

    def on_timeout(self, stream: Stream) -> None:
        """Closes the connection because no reply came in time.

        The node sends another request while it still lacks changes.
        """
        self._exchange.counts["unanswered"] += 1
        self._finish_and_close(stream)

    def _finish_and_close(self, stream: Stream) -> None:
        self._finish()
        stream.close()

    def _finish(self) -> None:
        self._exchange.remove_pending(self)
        if self.timer is not None:
            self.timer.cancel()


class PeerExchange:
    """Requests changed objects from peers and replies to their requests."""

    def __init__(
        self,
        streams: Streams,
        timers: Timers,
        watches: Sequence[StoreWatch],
    ) -> None:
        self._streams = streams
        self._timers = timers
        self._watches = watches
        self._log = StructuredLog("peers")
        self._pending: dict[int, _PendingRequest] = {}
        self._replying_streams: set[Stream] = set()
        # In the order of their start.
        self._incoming: dict[_IncomingConnection, None] = {}
        self._unreadable_log_at_s = 0.0
        self._encoded_updates: dict[tuple[int, int], tuple[int, bytes]] = {}
        self.counts: Counter[str] = Counter()

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        """Does nothing: `Streams` closes the sockets."""

    def listen(self, address: Address) -> None:
        """Accepts connections of peers.

        Raises:
            OSError: The address is in use or does not belong to this VM.
        """
        self._streams.listen(address, self._accept)

    def _accept(self, stream: Stream) -> _IncomingConnection:
        if len(self._incoming) >= MAX_INCOMING_COUNT:
            next(iter(self._incoming)).give_up()
        connection = _IncomingConnection(self, stream, self._timers)
        self._incoming[connection] = None
        return connection

    def request_update(
        self,
        peer: Address,
        kind_index: int,
        since_version: int,
        apply: UpdateHandler,
    ) -> None:
        """Requests the objects of a kind that changed after a version.

        Does nothing while an earlier request for the kind is pending.

        Args:
            peer: The address of the peer.
            kind_index: The number of the kind, in the order of the watches.
            since_version: The position up to which the changes are known.
            apply: Called with the peer's reply.
        """
        if kind_index in self._pending:
            return
        self.counts["asked"] += 1
        data = encode_request(kind_index, since_version)
        request = self._pending[kind_index] = _PendingRequest(
            self, kind_index, data, apply
        )
        stream = self._streams.dial(peer, request)
        request.timer = self._timers.call_later(
            REQUEST_TIMEOUT_S, lambda: request.on_timeout(stream)
        )

    def remove_pending(self, request: _PendingRequest) -> None:
        """Removes a request that has ended."""
        if self._pending.get(request.kind_index) is request:
            del self._pending[request.kind_index]

    def make_reply(self, kind_index: int, since_version: int) -> bytes | None:
        """Returns the frame that replies to a request.

        None if this node has not read the kind, or if it is already sending
        as many replies as it may.
        """
        if kind_index >= len(self._watches):
            return None
        if self._count_replying() >= MAX_CONCURRENT_REPLY_COUNT:
            self.counts["busy"] += 1
            return None
        cache = self._watches[kind_index].cache
        update = cache.update_since(since_version)
        if update is None:
            return None
        self.counts["answered"] += 1
        return self._encode_cached(kind_index, since_version, update)

    def _encode_cached(
        self, kind_index: int, since_version: int, update: CacheUpdate
    ) -> bytes:
        """Encodes an update, or returns it if it is already encoded.

        Peers that request the same changes get the same bytes.
        """
        key = (kind_index, since_version)
        cached = self._encoded_updates.get(key)
        if cached is not None and cached[0] == update.store_version:
            return cached[1]
        data = encode_update(kind_index, update)
        for old_key in [
            old for old in self._encoded_updates if old[0] == kind_index
        ]:
            del self._encoded_updates[old_key]
        self._encoded_updates[key] = (update.store_version, data)
        return data

    def _count_replying(self) -> int:
        self._replying_streams = {s for s in self._replying_streams if s.unsent}
        return len(self._replying_streams)

    def add_replying_stream(self, stream: Stream) -> None:
        """Adds a connection on which a reply is being sent."""
        self._replying_streams.add(stream)

    def remove_incoming(self, connection: _IncomingConnection) -> None:
        """Removes a connection that has closed."""
        self._incoming.pop(connection, None)
        self._replying_streams.discard(connection.stream)

    def record_update(self, kind_index: int, update: CacheUpdate) -> None:
        """Counts and logs an update that a peer sent."""
        self.counts["taken"] += 1
        self._log.info(
            "learned from a peer",
            kind=kind_index,
            version=update.store_version,
            changes=len(update.items),
        )

    def record_unreadable(self, peer: Address, error: Exception) -> None:
        """Counts a frame that can't be decoded; logs some of them."""
        self.counts["unreadable"] += 1
        now_s = read_clock_s()
        if now_s < self._unreadable_log_at_s:
            return
        self._unreadable_log_at_s = now_s + LOG_PERIOD_S
        self._log.warning("unreadable frame", peer=str(peer), cause=repr(error))
