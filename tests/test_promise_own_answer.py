"""Promise 5: each caller gets the complete answer to its own request."""

import http.client
import json
import socket
import time
from collections.abc import Iterator

import pytest

from mulberrybay_runtime.http_exchange import HttpReply, ReplyParser
from mulberrybay_testing.class_spec import search_class
from mulberrybay_testing.deployment import Deployment
from mulberrybay_testing.history import (
    QueryLoad,
    QueryRecord,
    answer_problems,
)

SHARD_COUNT = 4
SEGMENT_GAP_S = 0.02
QUIET_S = 0.7
ANSWER_TIMEOUT_S = 5.0


@pytest.fixture(scope="module")
def deployment(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[Deployment]:
    """Starts three nodes and two replicas of each of four shards."""
    with Deployment(
        tmp_path_factory.mktemp("own"), (search_class(),)
    ) as running:
        yield running


@pytest.fixture(autouse=True)
def sound_backends(deployment: Deployment) -> Iterator[None]:
    """Clears the backend servers' faults after a test."""
    yield
    deployment.control_backends(
        {"all": True}, reply_fault=None, slow_factor=1.0
    )


@pytest.mark.parametrize(
    ("fault", "probability", "slow_factor"),
    [
        ("swap", 0.5, 1.0),
        ("duplicate", 0.5, 1.0),
        ("cut_short", 0.2, 1.0),
        ("wrong_shard", 0.2, 1.0),
        ("swap", 0.5, 20.0),
        ("duplicate", 0.5, 20.0),
    ],
)
def test_faulty_shard_replies_reach_no_caller(
    deployment: Deployment, fault: str, probability: float, slow_factor: float
) -> None:
    """Shard replies that are faulty or of other requests are not merged.

    In some cases half of the backend servers are slow as well.
    """
    deployment.control_backends(
        {"all": True}, reply_fault=fault, reply_fault_probability=probability
    )
    slow_ids = [server["vm_id"] for server in deployment.backends[::2]]
    deployment.control_backends({"vm_ids": slow_ids}, slow_factor=slow_factor)
    with QueryLoad(deployment, deadline_ms=600) as load:
        load.wait_answers(40, timeout_s=15)
    assert answer_problems(load.records, {1: SHARD_COUNT}) == []


def _make_query(body: bytes, request_id: str) -> bytes:
    head = (
        "POST /v1/query/field-search HTTP/1.1\r\nHost: node\r\n"
        f"X-Request-Id: {request_id}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def _exchange(port: int, *segments: bytes) -> list[HttpReply]:
    """Sends segments with pauses on one connection; returns all replies.

    Reads until the connection has been quiet for QUIET_S, so that a second
    answer to the same request would be found.
    """
    parser = ReplyParser()
    replies: list[HttpReply] = []
    with socket.create_connection(("127.0.0.1", port), 5) as connection:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.settimeout(ANSWER_TIMEOUT_S)
        for segment in segments:
            connection.sendall(segment)
            time.sleep(SEGMENT_GAP_S)
        try:
            while data := connection.recv(65536):
                replies += parser.feed(data)
                connection.settimeout(QUIET_S)
        except TimeoutError:
            pass
    return replies


def _reply_problems(
    reply: HttpReply, request_id: str, body: bytes
) -> list[str]:
    record = QueryRecord(
        "node", request_id, body, 0, 0, reply.status, json.loads(reply.body)
    )
    problems = [] if reply.status == 200 else [f"status {reply.status}"]
    if reply.headers["x-request-id"] != request_id:
        problems.append(f"answers {reply.headers['x-request-id']}")
    return problems + answer_problems([record], {1: SHARD_COUNT})


def test_request_in_several_segments_gets_one_answer(
    deployment: Deployment,
) -> None:
    """A request that arrives in several segments is processed only once."""
    body = b'"in pieces"'
    request = _make_query(body, "pieces")
    middle = len(request) - len(body)
    port = deployment.nodes[0].caller_port
    for segments in (
        (request,),
        (request[:middle], request[middle:]),
        (request[:20], request[20 : middle + 3], request[middle + 3 :]),
    ):
        replies = _exchange(port, *segments)
        assert len(replies) == 1
        assert _reply_problems(replies[0], "pieces", body) == []


@pytest.mark.parametrize("is_one_segment", [True, False])
def test_pipelined_requests_get_their_own_answers_or_none(
    deployment: Deployment, is_one_segment: bool
) -> None:
    """The answers to pipelined requests are not mixed up.

    The node may leave the second request unanswered.
    """
    bodies = [b'"first"', b'"second"']
    requests = [_make_query(body, body.decode()[1:-1]) for body in bodies]
    segments = [b"".join(requests)] if is_one_segment else requests
    deployment.control_backends({"all": True}, slow_factor=40.0)
    replies = _exchange(deployment.nodes[0].caller_port, *segments)
    assert replies
    for reply, body in zip(replies, bodies, strict=False):
        assert _reply_problems(reply, body.decode()[1:-1], body) == []


def test_disconnected_callers_do_not_affect_others(
    deployment: Deployment,
) -> None:
    """Requests of disconnected callers leave no trace in other answers."""
    deployment.control_backends({"all": True}, slow_factor=10.0)
    with QueryLoad(deployment, caller_count=4) as load:
        for number in range(40):
            node = deployment.nodes[number % 3]
            with socket.create_connection(
                ("127.0.0.1", node.caller_port)
            ) as connection:
                connection.sendall(_make_query(b'"gone"', f"gone-{number}"))
        load.wait_answers(40)
    assert answer_problems(load.records, {1: SHARD_COUNT}) == []


def test_connection_stays_in_sync_after_a_missed_deadline(
    deployment: Deployment,
) -> None:
    """Late shard replies of one request must not answer the next one.

    Both requests are sent on the same connection of a caller.
    """
    deployment.control_backends({"all": True}, slow_factor=60.0)
    connection = http.client.HTTPConnection(
        "127.0.0.1", deployment.nodes[1].caller_port, timeout=5
    )
    statuses = []
    for number, deadline_ms in enumerate((40, 2000, 40, 2000)):
        body, request_id = f'"kept {number}"'.encode(), f"kept-{number}"
        headers = {
            "X-Deadline-Ms": str(deadline_ms),
            "X-Request-Id": request_id,
        }
        connection.request("POST", "/v1/query/field-search", body, headers)
        answer = connection.getresponse()
        content = answer.read()
        reply = HttpReply(
            answer.status,
            {name.lower(): value for name, value in answer.getheaders()},
            content,
            True,
        )
        statuses.append(answer.status)
        if answer.status == 200:
            assert _reply_problems(reply, request_id, body) == []
        assert json.loads(content)["request_id"] == request_id
    assert statuses == [504, 200, 504, 200]
