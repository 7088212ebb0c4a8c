"""Splits the byte stream between two nodes into frames of bounded length."""

import struct
from typing import Final

MAX_FRAME_BYTES: Final = 8 * 1024 * 1024
BLOCK_BYTES: Final = 64 * 1024
_LENGTH: Final = struct.Struct("<I")


class FrameTooLongError(Exception):
    """A frame is longer than MAX_FRAME_BYTES."""


def wrap_frame(payload: bytes) -> bytes:
    """Returns the payload with its length in front."""
    return _LENGTH.pack(len(payload)) + payload


class FrameReader:
    """Buffers received bytes until frames are complete.

    They are kept in blocks: one buffer that grows to the size of a frame is
    moved again and again, and leaves gaps that the allocator can't give back.
    """

    def __init__(self) -> None:
        self._blocks: list[bytearray] = []
        # The bytes in all blocks, and those up to the end of the next frame.
        self._buffered_bytes = 0
        self._next_end_bytes = _LENGTH.size

    @property
    def held_bytes(self) -> int:
        """What the incomplete frame takes in memory."""
        # A growing buffer is up to an eighth larger than its content.
        return self._buffered_bytes * 9 // 8

    def feed(self, data: bytes) -> list[bytes]:
        """Appends received bytes; returns the frames that are now complete.

        Raises:
            FrameTooLongError: The next frame exceeds MAX_FRAME_BYTES.
        """
        self._append(data)
        if self._buffered_bytes < self._next_end_bytes:
            return []
        buffer = b"".join(self._blocks)
        self._blocks.clear()
        self._buffered_bytes = 0
        frames = []
        start = 0
        self._next_end_bytes = _LENGTH.size
        while len(buffer) - start >= _LENGTH.size:
            length = _LENGTH.unpack_from(buffer, start)[0]
            if length > MAX_FRAME_BYTES:
                raise FrameTooLongError(f"frame of {length} bytes is too long")
            end = start + _LENGTH.size + length
            if len(buffer) < end:
                self._next_end_bytes = end - start
                break
            frames.append(buffer[start + _LENGTH.size : end])
            start = end
        self._append(buffer[start:])
        return frames

    def _append(self, data: bytes) -> None:
        if not data:
            return
        self._buffered_bytes += len(data)
        last = self._blocks[-1] if self._blocks else None
        if last is None or len(last) + len(data) > BLOCK_BYTES:
            self._blocks.append(bytearray(data))
        else:
            last += data
