"""Standard output as a log that never blocks the process.

Lines that the reader does not take in time are left out and counted; a line
says how many, once the reader reads again.
"""

import io
import json
import os
from typing import Final

# Kept in the process while the reader is slow; more is left out.
MAX_WAITING_BYTES: Final = 256 * 1024


class LogPipe(io.TextIOBase):
    """Writes whole lines to a file descriptor, without waiting.

    Attributes:
        lost_count: Lines that were left out.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._waiting = bytearray()
        self._unreported_count = 0
        self.lost_count = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Takes a line and writes as much as the reader takes now."""
        if len(self._waiting) + len(text) > MAX_WAITING_BYTES:
            self.lost_count += 1
            self._unreported_count += 1
        else:
            if self._unreported_count and not self._waiting:
                self._waiting += self._loss_line()
            self._waiting += text.encode("utf-8", "replace")
        self._drain()
        return len(text)

    def flush(self) -> None:
        """Writes as much of what waits as the reader takes now."""
        self._drain()

    def _loss_line(self) -> bytes:
        document = {
            "logger": "logs",
            "message": "lines were left out, since the output was not read",
            "lines": self._unreported_count,
        }
        self._unreported_count = 0
        return json.dumps(document).encode() + b"\n"

    def _drain(self) -> None:
        while self._waiting:
            try:
                written_bytes = os.write(self._descriptor, self._waiting)
            except BlockingIOError:
                return
            except OSError:
                # Nobody will read: there is nowhere to report it either.
                self._waiting.clear()
                return
            del self._waiting[:written_bytes]
