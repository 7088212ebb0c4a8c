"""The hits in a search reply are extracted without changing their JSON."""

import json

import pytest

from mulberrybay_backends.protocol import read_backend_reply
from mulberrybay_core.attempts import AttemptKind
from mulberrybay_core.backend_messages import BackendOutcome, BackendRequest
from mulberrybay_runtime.http_exchange import HttpReply

REQUEST = BackendRequest("r", AttemptKind.SEARCH, 7, 2, "", 1.0, b"1")
HEADERS = {"x-request-id": "r", "x-index-version": "7", "x-shard": "2"}


def read_hits(body: bytes) -> tuple[BackendOutcome, bytes]:
    result = read_backend_reply(REQUEST, HttpReply(200, HEADERS, body, True))
    return result.outcome, result.body


@pytest.mark.parametrize(
    "body",
    [
        b'{"hits": [{"id": "a"}, {"id": "b"}]}',
        b'{"hits":[1],"index_version":7,"shard":2}',
        b'{"hits": [1], "index_version": "7", "shard": "2"}',
        b'{"hits": [1], "shard": "]"}',
        b'{"shard": "\\u005b", "hits": [1]}',
        b' { "shard" : 2 , "hits" : [ [1], [2] ] } \n',
        b'{"hits": [], "shard": 2}',
        b'{"hits": [ ]}',
        b'{"hits": ["]", "["]}',
        b'{"hits": ["\\"hits\\""]}',
        b'{"hits": [{"hits": [1]}]}',
        b'{"hits": [1], "hits": [2]}',
        b'{"notes": "[", "hits": [1], "more": ["]"]}',
        b'{"hits": [1], "shard": [2]}',
        b'{"a[": 1, "hits": [1]}',
        '{"hits": ["Kyiv \u2013 Київ"]}'.encode(),
        b'{"\\u0068its": [1]}',
    ],
)
def test_hits_are_the_same_json(body: bytes) -> None:
    outcome, hits_json = read_hits(body)
    assert outcome is BackendOutcome.OK
    assert json.loads(hits_json) == json.loads(body)["hits"]
    # Hits of shards are joined in the caller's answer, which leaves out exactly
    # the replies that equal b"[]".
    assert (hits_json == b"[]") == (json.loads(body)["hits"] == [])


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[1]",
        b'{"hits": 1}',
        b'{"hits": [1]',
        b'{"hits": [1]}]',
        b'{"hits": ["\xff"]}',
        '{"hits": [1]}'.encode("utf-16"),
        b"[" * 100_000,
    ],
)
def test_reply_without_valid_hits_is_a_bad_reply(body: bytes) -> None:
    outcome, _ = read_hits(body)
    assert outcome is BackendOutcome.BAD_REPLY
