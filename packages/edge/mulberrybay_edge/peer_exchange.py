"""Objects of the platform's store, passed on from node to node.

A node that the store refuses or does not answer learns from a peer what it
lacks. Each question has a connection of its own, so one that has fallen
silent harms no other. When many objects change, all nodes ask at about the
same time: answers are compressed, and a node gives few at once, so that its
link stays free for callers.
"""

import json
import zlib
from collections import Counter
from collections.abc import Sequence
from typing import Final, Self

import capnp

from mulberrybay_core.addresses import Address
from mulberrybay_core.object_cache import CacheUpdate
from mulberrybay_core.store_messages import StoredObject
from mulberrybay_edge.heartbeat_codec import PROTOCOL_VERSION, SCHEMA
from mulberrybay_edge.store_watch import StoreWatch
from mulberrybay_nodes.frames import (
    FrameReader,
    FrameTooLongError,
    wrap_frame,
)
from mulberrybay_runtime.logs import StateLog
from mulberrybay_runtime.streams import Stream, Streams
from mulberrybay_runtime.timers import Timer, Timers

REQUEST_TIMEOUT_S: Final = 1.0
# Whoever asks beyond that asks another peer.
MAX_CONCURRENT_REPLY_COUNT: Final = 4
# The fastest level: nodes have little processor time to spare.
COMPRESSION_LEVEL: Final = 1
# Far more than the objects of one kind; what unpacks to more is no update.
MAX_UPDATE_BYTES: Final = 64 * 1024 * 1024
_DECODE_ERRORS: Final = (
    capnp.KjException,
    FrameTooLongError,
    UnicodeDecodeError,
    ValueError,
    zlib.error,
)


class ExchangeMessageError(ValueError):
    """A frame is not of this protocol version."""


def encode_request(kind_index: int, since_version: int) -> bytes:
    """Returns the frame that asks for a kind."""
    message = SCHEMA.UpdateRequest.new_message(
        version=PROTOCOL_VERSION,
        kindIndex=kind_index,
        sinceVersion=since_version,
    )
    return wrap_frame(bytes(message.to_bytes()))


def decode_request(payload: bytes) -> tuple[int, int]:
    """Returns the kind's number and the version of a question."""
    with SCHEMA.UpdateRequest.from_bytes(payload) as message:
        if message.version != PROTOCOL_VERSION:
            raise ExchangeMessageError(f"version {message.version}")
        return message.kindIndex, message.sinceVersion


def encode_update(kind_index: int, update: CacheUpdate) -> bytes:
    """Returns the frame of an update, compressed."""
    message = SCHEMA.Update.new_message(
        version=PROTOCOL_VERSION,
        kindIndex=kind_index,
        storeVersion=update.store_version,
        names=list(update.names),
        items=[
            {
                "name": stored.name,
                "version": stored.version,
                "value": json.dumps(stored.value),
            }
            for stored in update.items
        ],
    )
    return wrap_frame(zlib.compress(message.to_bytes(), COMPRESSION_LEVEL))


def decode_update(payload: bytes) -> tuple[int, CacheUpdate]:
    """Returns the kind's number and the update of a frame."""
    decompressor = zlib.decompressobj()
    decompressed = decompressor.decompress(payload, MAX_UPDATE_BYTES)
    if not decompressor.eof:
        raise ExchangeMessageError("cut short or too long")
    with SCHEMA.Update.from_bytes(
        decompressed, traversal_limit_in_words=MAX_UPDATE_BYTES // 8
    ) as message:
        if message.version != PROTOCOL_VERSION:
            raise ExchangeMessageError(f"version {message.version}")
        items = []
        for item in message.items:
            value = json.loads(item.value)
            if not isinstance(value, dict):
                raise ExchangeMessageError("an object's value is no table")
            items.append(StoredObject("", item.name, item.version, value))
        return message.kindIndex, CacheUpdate(
            message.storeVersion, tuple(message.names), tuple(items)
        )


class _IncomingConnection:
    """One connection of a peer that asks."""

    def __init__(self, exchange: "PeerExchange") -> None:
        self._exchange = exchange
        self._frame_reader = FrameReader()

    def on_connected(self, stream: Stream) -> None:
        """Does nothing; peers dial."""

    def on_data(self, stream: Stream, data: bytes) -> None:
        """Answers questions."""
        try:
            for payload in self._frame_reader.feed(data):
                reply = self._exchange.make_reply(payload)
                if reply is None:
                    stream.close()
                else:
                    stream.send(reply)
                    self._exchange.add_replying_stream(stream)
        except _DECODE_ERRORS as error:
            self._exchange.record_unreadable(stream.peer, error)
            stream.close()

    def on_closed(self, stream: Stream, reason: str) -> None:
        """The peer has its answer, or has given up."""
        self._exchange.remove_replying_stream(stream)


class _PendingRequest:
    """One question to a peer."""

    def __init__(
        self, exchange: "PeerExchange", kind_index: int, data: bytes
    ) -> None:
        self._exchange = exchange
        self._frame_reader = FrameReader()
        self._data = data
        self.kind_index = kind_index
        self.timer: Timer | None = None

    def on_connected(self, stream: Stream) -> None:
        """Asks."""
        stream.send(self._data)

    def on_data(self, stream: Stream, data: bytes) -> None:
        """Takes the answer."""
        try:
            for payload in self._frame_reader.feed(data):
                self._exchange.apply_update(*decode_update(payload))
                self._finish_and_close(stream)
                return
        except _DECODE_ERRORS as error:
            self._exchange.record_unreadable(stream.peer, error)
            self._finish_and_close(stream)

    def on_closed(self, stream: Stream, reason: str) -> None:
        """There will be no answer; the node asks again while it is behind."""
        self._exchange.counts["unanswered"] += 1
        self._finish()

    def on_timeout(self, stream: Stream) -> None:
        """Gives up; the node asks again while it is behind."""
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
    """Asks peers for objects and answers their questions."""

    def __init__(
        self,
        streams: Streams,
        timers: Timers,
        watches: Sequence[StoreWatch],
    ) -> None:
        self._streams = streams
        self._timers = timers
        self._watches = watches
        self._log = StateLog("peers")
        self._pending: dict[int, _PendingRequest] = {}
        self._replying_streams: set[Stream] = set()
        self._encoded_updates: dict[tuple[int, int], tuple[int, bytes]] = {}
        self.counts: Counter[str] = Counter()

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        """The streams close with their owner."""

    def listen(self, address: Address) -> None:
        """Answers peers.

        Raises:
            OSError: The address is in use or is not this VM's.
        """
        self._streams.listen(address, lambda _: _IncomingConnection(self))

    def request_update(
        self, peer: Address, kind_index: int, since_version: int
    ) -> None:
        """Asks a peer for what has changed of a kind since a version.

        Does nothing while an earlier question about the kind is open.
        """
        if kind_index in self._pending:
            return
        self.counts["asked"] += 1
        data = encode_request(kind_index, since_version)
        request = self._pending[kind_index] = _PendingRequest(
            self, kind_index, data
        )
        stream = self._streams.dial(peer, request)
        request.timer = self._timers.call_later(
            REQUEST_TIMEOUT_S, lambda: request.on_timeout(stream)
        )

    def remove_pending(self, request: _PendingRequest) -> None:
        """Takes the end of a question."""
        if self._pending.get(request.kind_index) is request:
            del self._pending[request.kind_index]

    def make_reply(self, payload: bytes) -> bytes | None:
        """Returns the answer to a question.

        None if nothing is known, or if enough answers are under way.
        """
        kind_index, since_version = decode_request(payload)
        if kind_index >= len(self._watches):
            return None
        if self._count_replying() >= MAX_CONCURRENT_REPLY_COUNT:
            self.counts["busy"] += 1
            return None
        cache = self._watches[kind_index].cache
        update = cache.since(since_version)
        if update is None:
            return None
        self.counts["answered"] += 1
        return self._encode_cached(kind_index, since_version, update)

    def _encode_cached(
        self, kind_index: int, since_version: int, update: CacheUpdate
    ) -> bytes:
        """Encodes an update, once for all peers that lack the same."""
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
        """Takes a connection on which an answer is under way."""
        self._replying_streams.add(stream)

    def remove_replying_stream(self, stream: Stream) -> None:
        """Takes the end of a connection."""
        self._replying_streams.discard(stream)

    def apply_update(self, kind_index: int, update: CacheUpdate) -> None:
        """Takes a peer's answer."""
        if kind_index < len(self._watches):
            self.counts["taken"] += 1
            self._log.info(
                "learned from a peer",
                kind=kind_index,
                version=update.store_version,
                changes=len(update.items),
            )
            self._watches[kind_index].apply_peer_update(update)

    def record_unreadable(self, peer: Address, error: Exception) -> None:
        """Counts a frame that can't be read."""
        self.counts["unreadable"] += 1
        self._log.warning("unreadable frame", peer=str(peer), cause=repr(error))
