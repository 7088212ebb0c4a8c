"""What callers may send, a node may relay to another one."""

import pytest
from request_fakes import NAMES

from mulberrybay_core import caller_errors
from mulberrybay_core.caller_messages import CallerAnswer, CallerRequest
from mulberrybay_core.routing import CallerLimits
from mulberrybay_edge.sending import RequestTemplate
from mulberrybay_runtime.callers.parser import (
    RELAYED_HEADER_BYTES,
    ReceivedRequest,
    RequestReader,
    decode_request,
)

LIMITS = CallerLimits(max_header_bytes=4096)
LINE_END_BYTES = 3
HOST = "a.example"


class _Timing:
    peer_host = ""

    def network_time_s(self) -> float:
        return 0.0


def read(data: bytes, piece_bytes: int) -> CallerRequest | CallerAnswer:
    """Returns the request, or the error with which it is refused."""
    received: list[ReceivedRequest | CallerAnswer] = []
    reader = RequestReader(
        received.append, lambda: None, _Timing(), NAMES.expected_server
    )
    for start in range(0, len(data), piece_bytes):
        error = reader.feed(data[start : start + piece_bytes], LIMITS)
        if error is not None:
            return error
    (request,) = received
    if isinstance(request, CallerAnswer):
        return request
    return decode_request(request, NAMES)


def make_head(extra_bytes: int, first: str = "") -> bytes:
    """Returns a head so many bytes above the limit."""
    counted_bytes = len("/x") + len("Host" + HOST) + 2 * LINE_END_BYTES + 1
    value = "v" * (LIMITS.max_header_bytes - counted_bytes + extra_bytes)
    return (
        f"POST /x HTTP/1.1\r\n{first}Host: {HOST}\r\nY: {value}\r\n\r\n"
    ).encode()


@pytest.mark.parametrize("piece_bytes", [10, 1_000, 100_000])
def test_request_at_the_limit_is_relayed_as_it_is(piece_bytes: int) -> None:
    """The next node refused it with 431 for headers that nodes add."""
    request = read(make_head(0), piece_bytes)
    assert isinstance(request, CallerRequest)
    relayed = RequestTemplate(request, NAMES).encode("node-with-a-name", 2.0)

    passed_on = read(relayed, piece_bytes)

    assert isinstance(passed_on, CallerRequest)
    assert passed_on.is_relayed
    assert passed_on.headers == request.headers


@pytest.mark.parametrize("piece_bytes", [10, 1_000, 100_000])
def test_callers_gain_little_by_the_header_of_nodes(piece_bytes: int) -> None:
    assert read(make_head(1), piece_bytes) == caller_errors.HEADERS_TOO_LARGE
    first = f"{NAMES.expected_server}: any\r\n"
    data = make_head(RELAYED_HEADER_BYTES, first)
    assert read(data, piece_bytes) == caller_errors.HEADERS_TOO_LARGE
