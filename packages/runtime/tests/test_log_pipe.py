"""Tests that a log pipe whose reader stops drops lines and never blocks."""

import json
import os
import time

from mulberrybay_runtime.log_pipe import MAX_BUFFERED_BYTES, LogPipe

LINE = json.dumps({"message": "x" * 200}) + "\n"


def read_available(descriptor: int) -> bytes:
    os.set_blocking(descriptor, False)
    read = b""
    while True:
        try:
            chunk = os.read(descriptor, 1 << 20)
        except BlockingIOError:
            return read
        read += chunk


def test_stopped_reader_drops_lines_without_blocking() -> None:
    reader, writer = os.pipe()
    pipe = LogPipe(writer)
    count = 3 * MAX_BUFFERED_BYTES // len(LINE)

    started_at_s = time.monotonic()
    for _ in range(count):
        pipe.write(LINE)
    elapsed_s = time.monotonic() - started_at_s

    assert elapsed_s < 1.0
    assert pipe.dropped_count > 0
    # When the reader continues, it gets whole lines and the count of dropped
    # lines.
    read = b""
    for _ in range(20):
        read += read_available(reader)
        pipe.write(LINE)
    documents = [json.loads(line) for line in read.splitlines()]
    assert len(documents) + pipe.dropped_count >= count
    assert sum(document.get("lines", 0) for document in documents) == (
        pipe.dropped_count
    )


def test_closed_reader_does_not_raise() -> None:
    reader, writer = os.pipe()
    pipe = LogPipe(writer)
    os.close(reader)

    pipe.write(LINE)
    pipe.write(LINE)
