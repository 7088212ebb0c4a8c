"""A caller closes its connection while its request is processed."""

import json
import socket
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest

from mulberrybay_core.run_record import record_kind
from mulberrybay_testing.deployment import Deployment
from mulberrybay_testing.deployment_access import NodeProcess
from mulberrybay_testing.event_log import Event
from mulberrybay_testing.history import answer_problems, send_query
from mulberrybay_testing.http_caller import make_key
from mulberrybay_testing.run_history import RunCall, RunHistory, check_history
from mulberrybay_testing.waiting import wait_until

SHARD_COUNT = 4
# A request takes 0.9 s; it must be cancelled much sooner.
SLOW_FACTOR = 300.0
CANCEL_LIMIT_S = 0.5
WAIT_S = 5.0


@pytest.fixture(scope="module")
def deployment(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[Deployment]:
    with Deployment(tmp_path_factory.mktemp("leavers")) as running:
        running.control_backends({"all": True}, slow_factor=SLOW_FACTOR)
        yield running


class DisconnectingCaller:
    """A caller that sends one request and disconnects before the answer."""

    def __init__(
        self, deployment: Deployment, node: NodeProcess, path: str, key: str
    ) -> None:
        self._deployment = deployment
        self._began_at_s = time.time()
        head = (
            f"POST {path} HTTP/1.1\r\nHost: node\r\n"
            f"Idempotency-Key: {key}\r\nContent-Length: 5\r\n\r\n"
        )
        address = ("127.0.0.1", node.caller_port)
        self._connection = socket.create_connection(address, WAIT_S)
        self._connection.sendall(head.encode() + b'"van"')

    def events(self, name: str) -> list[Event]:
        """Returns the events that backend servers logged since the request."""
        return [
            event
            for event in self._deployment.backend_events(name)
            if event["at_s"] >= self._began_at_s
        ]

    def disconnect(self, request_count: int) -> set[str]:
        """Disconnects once the backend servers have the sub-requests.

        Returns the ids of the sub-requests.
        """
        wait_until(
            lambda: len(self.events("request")) == request_count,
            WAIT_S,
            "the sub-requests",
        )
        self._connection.close()
        return {event["request_id"] for event in self.events("request")}


def test_query_of_a_disconnected_caller_is_cancelled(
    deployment: Deployment,
) -> None:
    """The sub-requests of a disconnected caller's query are cancelled.

    Another caller's query at the same node is not affected.
    """
    node = deployment.nodes[0]
    caller = DisconnectingCaller(deployment, node, "/v1/query/field-search", "")
    request_ids = caller.disconnect(SHARD_COUNT)
    with ThreadPoolExecutor() as pool:
        other = pool.submit(
            send_query, node, "field-search", "other", b'"other"', 3000
        )
        wait_until(
            lambda: (
                {event["request_id"] for event in caller.events("cancelled")}
                == request_ids
            ),
            CANCEL_LIMIT_S,
            "the cancellations",
        )
        record = other.result()
    # The other caller's query is not affected, and the node still serves.
    assert record.status == 200
    assert answer_problems([record], {1: SHARD_COUNT}) == []
    assert deployment.status(node)["is_serving"]


def test_run_of_a_disconnected_caller_takes_effect_once(
    deployment: Deployment,
) -> None:
    """A run goes on without its caller, and a retry returns its outcome."""
    key, history = make_key(), RunHistory()
    node, other = deployment.nodes[:2]
    caller = DisconnectingCaller(deployment, node, "/v1/run/route-planner", key)
    caller.disconnect(1)
    first_try = RunCall(key, "van", node.node_id, "unknown")
    wait_until(lambda: len(caller.events("effect")) == 1, WAIT_S, "the effect")
    wait_until(
        lambda: is_recorded_as_ran(deployment, key), WAIT_S, "the outcome"
    )
    retry = history.run(other.node_id, other.caller_port, key)
    assert retry.outcome == "ran"
    assert check_history([first_try, retry], caller.events("effect")) == []
    assert deployment.status(node)["is_serving"]


def is_recorded_as_ran(deployment: Deployment, key: str) -> bool:
    """Returns whether the record of a run has the state "ran"."""
    kind = record_kind(key)
    answer = deployment.get_object(kind, f"route-planner:{key}")
    state = json.loads(answer.body)["value"]["state"]
    return bool(state == "ran")
