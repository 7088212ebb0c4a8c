"""Which requests have the same identity."""

import pytest

from mulberrybay_core.caller_messages import CallerRequest
from mulberrybay_core.request_identity import identify_request

REQUEST = CallerRequest(
    method="POST",
    target="/records/1?page=2",
    path="/records/1",
    host="a.example",
    headers=(("Host", "a.example"), ("Authorization", "alice")),
    body=b"body",
    request_id="id-1",
    received_at_s=1.0,
    deadline_s=2.0,
)


@pytest.mark.parametrize(
    "changes",
    [
        {"request_id": "id-2"},
        {"received_at_s": 9.0, "deadline_s": 0.1, "network_time_s": 0.1},
        {"is_relayed": True},
        {"headers": (("authorization", "alice"), ("host", "a.example"))},
        {"headers": (*REQUEST.headers, ("X-B3-TraceId", "1"))},
        {"headers": (*REQUEST.headers, ("Traceparent", "1"))},
        {"headers": (*REQUEST.headers, ("X-Trace-Id", "1"))},
        {"headers": (*REQUEST.headers, ("X-Client-Request-Id", "1"))},
        {"headers": (*REQUEST.headers, ("X-Forwarded-Proto", "https"))},
        {"headers": (("Host", "A.example:80"), ("Authorization", "alice"))},
        {"headers": (*REQUEST.headers, ("b3", "80f198ee56343ba8-1-1"))},
        {"headers": (*REQUEST.headers, ("newrelic", "eyJ2IjpbMCwxXX0="))},
        {"headers": (*REQUEST.headers, ("sw8", "1-TRACE-SEGMENT-3"))},
        {"headers": (*REQUEST.headers, ("X-Sent-At", "1700000000123"))},
        {"headers": (*REQUEST.headers, ("User-Agent", "client/1.2 (try 3)"))},
        {"headers": (*REQUEST.headers, ("Accept", "*/*"))},
        {"headers": (*REQUEST.headers, ("Content-Length", "4"))},
    ],
)
def test_repeat_of_a_request_has_its_identity(changes: dict) -> None:
    repeat = REQUEST._replace(**changes)
    assert identify_request(repeat) == identify_request(REQUEST)


@pytest.mark.parametrize(
    ("header", "repeated"),
    [("10.0.0.1", "10.0.0.1, 10.9.0.7"), ("10.0.0.1:4001", "10.0.0.1:4002")],
)
def test_repeat_by_another_way_has_the_identity_of_its_caller(
    header: str, repeated: str
) -> None:
    first, second, other = (
        REQUEST._replace(headers=(*REQUEST.headers, ("X-Forwarded-For", value)))
        for value in (header, repeated, "10.0.0.2")
    )
    assert identify_request(first) == identify_request(second)
    assert identify_request(first) != identify_request(other)


@pytest.mark.parametrize(
    "changes",
    [
        {"method": "PUT"},
        {"target": "/records/1?page=3"},
        {"host": "b.example"},
        {"body": b"bod"},
        {"headers": (("Host", "a.example"), ("Authorization", "bob"))},
        {"headers": (("Host", "a.example"),)},
        {"headers": (*REQUEST.headers, ("Cookie", "session=2"))},
        {"headers": (*REQUEST.headers, ("X-Api-Key", "2"))},
        {"headers": (*REQUEST.headers, ("X-Forwarded-For", "10.0.0.2"))},
    ],
)
def test_another_request_has_another_identity(changes: dict) -> None:
    other = REQUEST._replace(**changes)
    assert identify_request(other) != identify_request(REQUEST)
