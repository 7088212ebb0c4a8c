"""A log whose reader stops costs lines, never time."""

import json
import os
import time

from mulberrybay_runtime.log_pipe import MAX_WAITING_BYTES, LogPipe

LINE = json.dumps({"message": "x" * 200}) + "\n"


def drain(descriptor: int) -> bytes:
    os.set_blocking(descriptor, False)
    read = b""
    while True:
        try:
            chunk = os.read(descriptor, 1 << 20)
        except BlockingIOError:
            return read
        read += chunk


def test_reader_that_stops_costs_lines_and_no_time() -> None:
    reader, writer = os.pipe()
    pipe = LogPipe(writer)
    count = 3 * MAX_WAITING_BYTES // len(LINE)

    started_at_s = time.monotonic()
    for _ in range(count):
        pipe.write(LINE)
    took_s = time.monotonic() - started_at_s

    assert took_s < 1.0
    assert pipe.lost_count > 0
    # The reader comes back: whole lines, and one that counts the lost ones.
    read = b""
    for _ in range(20):
        read += drain(reader)
        pipe.write(LINE)
    documents = [json.loads(line) for line in read.splitlines()]
    assert len(documents) + pipe.lost_count >= count
    assert sum(document.get("lines", 0) for document in documents) == (
        pipe.lost_count
    )


def test_closed_reader_stops_nothing() -> None:
    reader, writer = os.pipe()
    pipe = LogPipe(writer)
    os.close(reader)

    pipe.write(LINE)
    pipe.write(LINE)
