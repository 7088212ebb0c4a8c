"""Objects of the platform's store, passed on from node to node.

A node that the store refuses or does not answer learns from a peer what it
lacks. Each question has a connection of its own, so one that has fallen
silent harms no other.
"""

import json
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

ASK_TIMEOUT_S: Final = 1.0
_FAULTS: Final = (
    capnp.KjException,
    FrameTooLongError,
    UnicodeDecodeError,
    ValueError,
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
    """Returns the frame of an update."""
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
    return wrap_frame(bytes(message.to_bytes()))


def decode_update(payload: bytes) -> tuple[int, CacheUpdate]:
    """Returns the kind's number and the update of a frame."""
    with SCHEMA.Update.from_bytes(
        payload, traversal_limit_in_words=2**22
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


class _Server:
    """One connection of a peer that asks."""

    def __init__(self, exchange: "PeerExchange") -> None:
        self._exchange = exchange
        self._frames = FrameReader()

    def on_connected(self, stream: Stream) -> None:
        """Does nothing; peers dial."""

    def on_data(self, stream: Stream, data: bytes) -> None:
        """Answers questions."""
        try:
            for payload in self._frames.feed(data):
                answer = self._exchange.answer(payload)
                if answer is None:
                    stream.close()
                else:
                    stream.send(answer)
        except _FAULTS as error:
            self._exchange.note_fault(stream.peer, error)
            stream.close()

    def on_closed(self, stream: Stream, reason: str) -> None:
        """The peer has its answer, or has given up."""


class _Question:
    """One question to a peer."""

    def __init__(self, exchange: "PeerExchange", data: bytes) -> None:
        self._exchange = exchange
        self._frames = FrameReader()
        self._data = data
        self.timer: Timer | None = None

    def on_connected(self, stream: Stream) -> None:
        """Asks."""
        stream.send(self._data)

    def on_data(self, stream: Stream, data: bytes) -> None:
        """Takes the answer."""
        try:
            for payload in self._frames.feed(data):
                self._exchange.take(*decode_update(payload))
                self._end(stream)
                return
        except _FAULTS as error:
            self._exchange.note_fault(stream.peer, error)
            self._end(stream)

    def on_closed(self, stream: Stream, reason: str) -> None:
        """There will be no answer; the node asks again while it is behind."""
        self._exchange.counts["unanswered"] += 1
        if self.timer is not None:
            self.timer.cancel()

    def _end(self, stream: Stream) -> None:
        if self.timer is not None:
            self.timer.cancel()
        stream.close()


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
        self._streams.listen(address, lambda _: _Server(self))

    def ask(self, peer: Address, kind_index: int, since_version: int) -> None:
        """Asks a peer for what has changed of a kind since a version."""
        self.counts["asked"] += 1
        question = _Question(self, encode_request(kind_index, since_version))
        stream = self._streams.dial(peer, question)
        question.timer = self._timers.call_later(ASK_TIMEOUT_S, stream.close)

    def answer(self, payload: bytes) -> bytes | None:
        """Returns the answer to a question; None if nothing is known."""
        kind_index, since_version = decode_request(payload)
        if kind_index >= len(self._watches):
            return None
        update = self._watches[kind_index].cache.since(since_version)
        if update is None:
            return None
        self.counts["answered"] += 1
        return encode_update(kind_index, update)

    def take(self, kind_index: int, update: CacheUpdate) -> None:
        """Takes a peer's answer."""
        if kind_index < len(self._watches):
            self.counts["taken"] += 1
            self._log.info(
                "learned from a peer",
                kind=kind_index,
                version=update.store_version,
                changes=len(update.items),
            )
            self._watches[kind_index].take_update(update)

    def note_fault(self, peer: Address, error: Exception) -> None:
        """Counts a frame that can't be read."""
        self.counts["unreadable"] += 1
        self._log.warning("unreadable frame", peer=str(peer), cause=repr(error))
