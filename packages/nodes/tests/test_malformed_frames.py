"""Tests that malformed frames raise FrameError and no other exception."""

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
def test_corrupt_frames_raise_only_frame_error(
    changes: list[tuple[int, int]], kept_bytes: int
) -> None:
    """Guards against other exceptions from changed or truncated frames.

    The receiver of a frame catches only FrameError, so another exception from
    a peer's corrupt bytes would not close the link.
    """
    frame = bytearray(FRAME)
    for index, value in changes:
        frame[index] = value
    for payload in (bytes(frame), bytes(frame[:kept_bytes])):
        with contextlib.suppress(FrameError):
            decode_message(payload, 0.0)
