"""Splits the byte stream between two nodes into frames of bounded length."""

import struct
from typing import Final

MAX_FRAME_BYTES: Final = 8 * 1024 * 1024
_LENGTH: Final = struct.Struct("<I")


class FrameTooLongError(Exception):
    """A frame is longer than MAX_FRAME_BYTES."""


def wrap_frame(payload: bytes) -> bytes:
    """Returns the payload with its length in front."""
    return _LENGTH.pack(len(payload)) + payload


class FrameReader:
    """Buffers received bytes until frames are complete."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Appends received bytes; returns the frames that are now complete.

        Raises:
            FrameTooLongError: The next frame exceeds MAX_FRAME_BYTES.
        """
        self._buffer += data
        frames = []
        start = 0
        while len(self._buffer) - start >= _LENGTH.size:
            length = _LENGTH.unpack_from(self._buffer, start)[0]
            if length > MAX_FRAME_BYTES:
                raise FrameTooLongError(f"frame of {length} bytes is too long")
            end = start + _LENGTH.size + length
            if len(self._buffer) < end:
                break
            frames.append(bytes(self._buffer[start + _LENGTH.size : end]))
            start = end
        del self._buffer[:start]
        return frames
