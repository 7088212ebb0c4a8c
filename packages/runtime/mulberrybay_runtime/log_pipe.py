"""Log output to a pipe that never blocks the process.

If the reader is too slow, lines are dropped and counted. Once the reader
catches up, a log line reports the number of dropped lines.
"""

import io
import json
import os
from typing import Final

# Buffered while the reader is slow; lines beyond this limit are dropped.
MAX_BUFFERED_BYTES: Final = 256 * 1024


class LogPipe(io.TextIOBase):
    """Writes whole lines to a file descriptor without blocking.

    Attributes:
        dropped_count: The number of dropped lines.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._buffer = bytearray()
        self._unreported_drop_count = 0
        self.dropped_count = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Buffers or drops a line, then writes without blocking."""
        if len(self._buffer) + len(text) > MAX_BUFFERED_BYTES:
            self.dropped_count += 1
            self._unreported_drop_count += 1
        else:
            if self._unreported_drop_count and not self._buffer:
                self._buffer += self._encode_drop_notice()
            self._buffer += text.encode("utf-8", "replace")
        self._write_buffered()
        return len(text)

    def flush(self) -> None:
        """Writes as many buffered bytes as possible without blocking."""
        self._write_buffered()

    def _encode_drop_notice(self) -> bytes:
        document = {
            "logger": "logs",
            "message": "log lines were dropped because the output was not read",
            "lines": self._unreported_drop_count,
        }
        self._unreported_drop_count = 0
        return json.dumps(document).encode() + b"\n"

    def _write_buffered(self) -> None:
        while self._buffer:
            try:
                written_bytes = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe, so the error can't be logged
                # either.
                self._buffer.clear()
                return
            del self._buffer[:written_bytes]
