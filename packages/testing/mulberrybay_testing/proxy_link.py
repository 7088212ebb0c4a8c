"""One proxied connection and the faults injected into it."""

from __future__ import annotations

import asyncio
import time
from typing import Literal, TypedDict

Direction = Literal["to_target", "from_target"]

_CHUNK_BYTES = 64 * 1024
_MAX_QUEUED_CHUNKS = 64

_END_OF_STREAM = b""


class ProxySettings(TypedDict, total=False):
    """Settings of a proxy in a control document; absent keys are unchanged.

    `target_down` refuses connections as `cut` does; either of them suffices.

    `cut_after_bytes` counts the bytes from the target over all connections.
    Once they are sent, every further answer is cut until it is set to null.
    """

    cut: bool | None
    target_down: bool | None
    delay_ms: float | None
    silent: bool | None
    silent_all: bool | None
    one_way: Direction | None
    cut_after_bytes: int | None
    drop_existing: bool | None


class ProxyFaults:
    """The active faults of one proxy, shared by its connections."""

    def __init__(self) -> None:
        self.cut = False
        self.target_down = False
        self.delay_s = 0.0
        self.silent_all = False
        self.one_way: Direction | None = None
        self.bytes_until_cut: int | None = None

    def apply(self, settings: ProxySettings) -> None:
        """Applies the keys that are present."""
        if "cut" in settings:
            self.cut = bool(settings["cut"])
        if "target_down" in settings:
            self.target_down = bool(settings["target_down"])
        if "delay_ms" in settings:
            self.delay_s = (settings["delay_ms"] or 0.0) / 1000
        if "silent_all" in settings:
            self.silent_all = bool(settings["silent_all"])
        if "one_way" in settings:
            self.one_way = settings["one_way"]
        if "cut_after_bytes" in settings:
            self.bytes_until_cut = settings["cut_after_bytes"]


class Link:
    """Forwards bytes between a client and a target."""

    def __init__(self, faults: ProxyFaults) -> None:
        self.silent = False
        self._faults = faults
        self._writers: list[asyncio.StreamWriter] = []

    async def run(
        self,
        client: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        target: tuple[asyncio.StreamReader, asyncio.StreamWriter],
    ) -> None:
        """Forwards in both directions until both have ended or are cut."""
        self._writers = [client[1], target[1]]
        try:
            await asyncio.gather(
                self._forward("to_target", client[0], target[1]),
                self._forward("from_target", target[0], client[1]),
            )
        finally:
            self.abort()

    def abort(self) -> None:
        """Closes both connections without sending what is buffered."""
        for writer in self._writers:
            writer.transport.abort()

    def discards(self, direction: Direction) -> bool:
        """Returns whether bytes and ends of this direction are discarded."""
        faults = self._faults
        return self.silent or faults.silent_all or faults.one_way == direction

    async def _forward(
        self,
        direction: Direction,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        pipe = _DelayedPipe(self, direction, writer)
        sender = asyncio.create_task(pipe.send())
        try:
            await self._receive(reader, pipe)
            await sender
        except OSError:
            if not self.discards(direction):
                self.abort()
        finally:
            sender.cancel()

    async def _receive(
        self, reader: asyncio.StreamReader, pipe: _DelayedPipe
    ) -> None:
        while True:
            chunk = await reader.read(_CHUNK_BYTES)
            await pipe.put(chunk, self._faults.delay_s)
            if chunk == _END_OF_STREAM:
                return

    def consume_bytes_until_cut(
        self, direction: Direction, chunk: bytes
    ) -> bytes:
        """Returns the bytes of a chunk that are sent before the cut."""
        left_bytes = self._faults.bytes_until_cut
        if left_bytes is None or direction == "to_target":
            return chunk
        passed = chunk[:left_bytes]
        self._faults.bytes_until_cut = left_bytes - len(passed)
        return passed


class _DelayedPipe:
    """Writes chunks in order, each after its delay."""

    def __init__(
        self, link: Link, direction: Direction, writer: asyncio.StreamWriter
    ) -> None:
        self._link = link
        self._direction = direction
        self._writer = writer
        self._queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(
            _MAX_QUEUED_CHUNKS
        )

    async def put(self, chunk: bytes, delay_s: float) -> None:
        """Queues a chunk; an empty chunk marks the end of the stream."""
        await self._queue.put((time.monotonic() + delay_s, chunk))

    async def send(self) -> None:
        """Writes the queued chunks until the end of the stream or a cut."""
        while True:
            due_at_s, chunk = await self._queue.get()
            delay_left_s = due_at_s - time.monotonic()
            if delay_left_s > 0:
                await asyncio.sleep(delay_left_s)
            if self._link.discards(self._direction):
                if chunk == _END_OF_STREAM:
                    return
                continue
            if chunk == _END_OF_STREAM:
                self._writer.write_eof()
                return
            if not await self._write(chunk):
                return

    async def _write(self, chunk: bytes) -> bool:
        passed = self._link.consume_bytes_until_cut(self._direction, chunk)
        self._writer.write(passed)
        await self._writer.drain()
        if len(passed) < len(chunk):
            self._link.abort()
            return False
        return True
