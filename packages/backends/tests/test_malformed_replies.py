"""Malformed replies of backend servers give results, not exceptions."""

import json

import pytest
from hypothesis import given, settings, strategies

from mulberrybay_backends.health import parse_is_leaving
from mulberrybay_backends.protocol import read_backend_reply
from mulberrybay_core.attempts import AttemptKind
from mulberrybay_core.backend_messages import BackendOutcome, BackendRequest
from mulberrybay_core.errors import RunState
from mulberrybay_runtime.http_exchange import HttpReply

HEADER_VALUES = strategies.one_of(
    strategies.sampled_from(["1", "0", "nan", "inf", "-1", "7,8", "9" * 5000]),
    strategies.text(max_size=8),
)
HEADERS = strategies.dictionaries(
    strategies.sampled_from(
        [
            "retry-after",
            "x-index-version",
            "x-index-versions",
            "x-leaving",
            "x-not-run",
            "x-shard",
        ]
    ),
    HEADER_VALUES,
)
BODIES = strategies.one_of(
    strategies.binary(max_size=20),
    strategies.sampled_from(
        [b'{"hits": []}', b"[" * 100_000, '"\u00e9"'.encode("utf-16"), b"\xff"]
    ),
)


@settings(max_examples=500, deadline=None, derandomize=True)
@given(
    kind=strategies.sampled_from(AttemptKind),
    status=strategies.sampled_from([200, 204, 408, 409, 499, 500, 503, 999]),
    headers=HEADERS,
    body=BODIES,
)
def test_any_reply_has_a_result(
    kind: AttemptKind, status: int, headers: dict[str, str], body: bytes
) -> None:
    request = BackendRequest("r", kind, 1, 0, "key", 1.0, b"1")
    reply = HttpReply(status, {**headers, "x-request-id": "r"}, body, True)
    result = read_backend_reply(request, reply)
    if result.outcome is BackendOutcome.OK:
        assert result.run_state is RunState.RAN
        json.loads(result.body.decode("ascii"))
    if result.run_state is RunState.NOT_RUN:
        assert headers.get("x-not-run") == "1" or status == 409


@pytest.mark.parametrize(
    "body", [b'{"status": []}', b'{"status": {}}', b"[" * 100_000, b"[]", b""]
)
def test_any_health_reply_is_read_or_ignored(body: bytes) -> None:
    assert parse_is_leaving(HttpReply(200, {}, body, True)) is None
