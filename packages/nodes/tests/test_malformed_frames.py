"""Malformed frames raise FrameError and nothing else."""

import contextlib

from hypothesis import given, settings, strategies

from mulberrybay_core.attempts import Attempt, AttemptBatch, AttemptKind
from mulberrybay_nodes.codec import FrameError, decode_message, encode_message

BATCH = AttemptBatch(
    "query", AttemptKind.RUN, "class", 1, 2.0, "key", (Attempt(1, "s", 0),), b""
)
FRAME = encode_message(BATCH, 0.0)


@settings(max_examples=400, deadline=None, derandomize=True)
@given(
    changes=strategies.lists(
        strategies.tuples(
            strategies.integers(0, len(FRAME) - 1), strategies.integers(0, 255)
        ),
        min_size=1,
        max_size=6,
    ),
    kept_bytes=strategies.integers(0, len(FRAME)),
)
def test_changed_frames(
    changes: list[tuple[int, int]], kept_bytes: int
) -> None:
    frame = bytearray(FRAME)
    for index, value in changes:
        frame[index] = value
    for payload in (bytes(frame), bytes(frame[:kept_bytes])):
        with contextlib.suppress(FrameError):
            decode_message(payload, 0.0)
