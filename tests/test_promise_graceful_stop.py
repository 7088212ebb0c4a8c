"""Every planned stop is a graceful shutdown that interrupts no request."""

import http.client
import json
import random
import signal
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any, NamedTuple

import pytest

from mulberrybay_testing.deployment_access import NodeProcess
from mulberrybay_testing.http_caller import make_key
from mulberrybay_testing.proxied_deployment import ProxiedDeployment
from mulberrybay_testing.run_history import (
    RunCall,
    RunHistory,
    check_history,
)

CALLER_COUNT = 8
CALL_PERIOD_S = 0.02
TIMEOUT_S = 5.0
# A stopping node waits until the addresses that it returned have expired and
# its requests in progress have ended.
STOP_LIMIT_S = 8.0
# Longer than a caller may use the addresses that it read.
LOAD_AFTER_STOP_S = 2.5


class CallResult(NamedTuple):
    """The result of one request.

    Attributes:
        at_s: When the request ended.
        problem: What was wrong with the answer; empty if nothing.
    """

    at_s: float
    problem: str


class Caller(threading.Thread):
    """Sends queries and runs.

    A caller without keep-alive uses the addresses that it read for their time
    to live. A caller with keep-alive asks for addresses again only after a
    node has closed its connection.
    """

    def __init__(
        self,
        deployment: ProxiedDeployment,
        seed: int,
        keeps_alive: bool,
        run_ratio: float,
    ) -> None:
        super().__init__(name=f"caller-{seed}")
        self._random = random.Random(seed)
        self._keeps_alive = keeps_alive
        self._run_ratio = run_ratio
        self._ports = [node.caller_port for node in deployment.nodes]
        self._addresses_expire_at_s = 0.0
        self._open_connection: http.client.HTTPConnection | None = None
        self._stop_requested = threading.Event()
        self.answered: list[CallResult] = []
        self.runs: list[RunCall] = []

    def run(self) -> None:
        """Sends requests until the caller is stopped."""
        while not self._stop_requested.is_set():
            problem = self._send_query_or_run()
            self.answered.append(CallResult(time.time(), problem))
            time.sleep(CALL_PERIOD_S)

    def stop(self) -> None:
        """Stops after the request in progress."""
        self._stop_requested.set()
        self.join()

    def _send_query_or_run(self) -> str:
        try:
            is_due = time.monotonic() >= self._addresses_expire_at_s
            if is_due and self._open_connection is None:
                self._read_addresses()
            if self._random.random() < self._run_ratio:
                return self._run()
            return self._query()
        except (OSError, http.client.HTTPException) as error:
            return repr(error)

    def _read_addresses(self) -> None:
        began_at_s = time.monotonic()
        status, document = self._request_addresses()
        assert status == 200, document
        self._ports = [
            int(item["address"].rpartition(":")[2])
            for item in document["addresses"]
        ]
        self._addresses_expire_at_s = began_at_s + document["time_to_live_s"]

    def _request_addresses(self) -> tuple[int, dict[str, object]]:
        """Asks the known nodes for addresses; some of them may have exited.

        Tries the next node only after a refused connection: a node must not
        interrupt a request that it has accepted.
        """
        for port in self._random.sample(self._ports, len(self._ports)):
            try:
                return self._send("GET", "/v1/addresses", None, {}, port)
            except ConnectionRefusedError:
                continue
        raise ConnectionRefusedError("all known nodes refused the connection")

    def _query(self) -> str:
        status, document = self._send("POST", "/v1/query/field-search", 1, {})
        is_whole = status == 200 and document["coverage"]["percent"] == 100
        return "" if is_whole else f"{status}: {document}"

    def _run(self) -> str:
        key = make_key(self._random)
        status, document = self._send(
            "POST", "/v1/run/route-planner", 1, {"Idempotency-Key": key}
        )
        if status != 200:
            state = document["error"]["run_state"]
            self.runs.append(RunCall(key, 1, self.name, state))
            return f"{key} at {time.time():.2f}: {status}: {document}"
        self.runs.append(RunCall(key, 1, self.name, "ran", document["result"]))
        return ""

    def _send(
        self,
        method: str,
        path: str,
        body: object,
        headers: dict[str, str],
        port: int | None = None,
    ) -> tuple[int, dict[str, object]]:
        connection, self._open_connection = self._open_connection, None
        if connection is None:
            port = port or self._random.choice(self._ports)
            connection = http.client.HTTPConnection(
                "127.0.0.1", port, timeout=TIMEOUT_S
            )
        content = None if body is None else json.dumps(body).encode()
        connection.request(method, path, content, headers)
        response = connection.getresponse()
        document = json.loads(response.read())
        if self._keeps_alive and not response.will_close:
            self._open_connection = connection
        else:
            connection.close()
        return response.status, document


@contextmanager
def running_callers(
    deployment: ProxiedDeployment, run_ratio: float = 0.1
) -> Iterator[list[Caller]]:
    """Runs callers, then checks that no request was interrupted or refused."""
    callers = [
        Caller(deployment, seed, seed % 2 == 0, run_ratio)
        for seed in range(CALLER_COUNT)
    ]
    for caller in callers:
        caller.start()
    try:
        yield callers
    finally:
        for caller in callers:
            caller.stop()
    problems = [
        item.problem
        for caller in callers
        for item in caller.answered
        if item.problem
    ]
    answered_count = sum(len(caller.answered) for caller in callers)
    assert problems == [], (len(problems), answered_count)
    runs = [entry for caller in callers for entry in caller.runs]
    keys = {entry.key for entry in runs}
    events = deployment.backend_events("effect")
    matching_events = [
        event for event in events if event["idempotency_key"] in keys
    ]
    assert check_history(runs, matching_events) == []


@pytest.fixture
def deployment(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[ProxiedDeployment]:
    with ProxiedDeployment(tmp_path_factory.mktemp("stops")) as running:
        yield running


def wait_for_exit(node: NodeProcess, limit_s: float = STOP_LIMIT_S) -> float:
    """Waits until a node has exited; returns the time that it took."""
    began_at_s = time.monotonic()
    while node.process.returncode is None:
        assert time.monotonic() < began_at_s + limit_s, "the node did not exit"
        time.sleep(0.02)
    assert node.process.returncode == 0, node.process.log_tail()
    return time.monotonic() - began_at_s


def wait_for_calls(callers: list[Caller], duration_s: float) -> None:
    """Waits for a duration, then until each caller has ended a request."""
    until_s = time.time() + duration_s
    while any(
        not caller.answered or caller.answered[-1].at_s < until_s
        for caller in callers
    ):
        time.sleep(0.02)


def test_node_gets_two_stop_signals_under_load(
    deployment: ProxiedDeployment,
) -> None:
    """A second stop signal must not make the node exit at once."""
    with running_callers(deployment) as callers:
        wait_for_calls(callers, 0.5)
        node = deployment.nodes[0]
        for _ in range(2):
            node.process.signal(signal.SIGTERM)
            wait_for_calls(callers, 0.2)
        wait_for_exit(node)
        wait_for_calls(callers, LOAD_AFTER_STOP_S)


def test_rolling_restart_of_all_nodes_under_load(
    deployment: ProxiedDeployment,
) -> None:
    """Callers notice nothing while each node is stopped and started again."""
    with running_callers(deployment) as callers:
        for index in range(len(deployment.nodes)):
            node = deployment.nodes[index]
            node.process.signal(signal.SIGTERM)
            wait_for_exit(node)
            deployment.restart_node(index)
            deployment.wait_serving()
        wait_for_calls(callers, LOAD_AFTER_STOP_S)


def test_two_nodes_stop_permanently_in_turn_under_load(
    tmp_path_factory: pytest.TempPathFactory,
) -> None:
    """The addresses that the second node returned must not all be outdated.

    The platform still lists the first node while the second one hands over its
    servers. A caller with a kept-alive connection to the second node may know
    only addresses from before the first stop when that connection closes.
    """
    folder = tmp_path_factory.mktemp("two")
    with (
        ProxiedDeployment(folder, node_count=5) as deployment,
        running_callers(deployment) as callers,
    ):
        for node in deployment.nodes[:2]:
            node.process.signal(signal.SIGTERM)
            wait_for_exit(node)
            wait_for_calls(callers, LOAD_AFTER_STOP_S)


@pytest.mark.parametrize("outage", ["refuse", "silent"])
def test_stop_while_the_platform_is_down(
    deployment: ProxiedDeployment, outage: str
) -> None:
    """Queries are answered, and the stop does not wait for the platform."""
    node = deployment.nodes[0]
    deployment.control_platform(outage=outage)
    with running_callers(deployment, run_ratio=0.0) as callers:
        wait_for_calls(callers, 0.5)
        node.process.signal(signal.SIGTERM)
        wait_for_exit(node, 2 * STOP_LIMIT_S)
        wait_for_calls(callers, LOAD_AFTER_STOP_S)


def test_outcome_is_saved_before_a_node_exits(
    deployment: ProxiedDeployment,
) -> None:
    """A stopping node saves the outcome of a run before it exits.

    The platform is down when the run ends and comes back during the stop.
    """
    node, key, history = deployment.nodes[0], make_key(), RunHistory()
    deployment.control_backends({"all": True}, slow_factor=200.0)
    arguments = (node.node_id, node.caller_port, key)
    caller = threading.Thread(target=history.run, args=arguments)
    caller.start()
    while not deployment.backend_events("request"):
        time.sleep(0.01)
    deployment.control_platform(outage="unavailable")
    node.process.signal(signal.SIGTERM)
    caller.join()
    assert [entry.outcome for entry in history.calls] == ["ran"]
    time.sleep(LOAD_AFTER_STOP_S)
    deployment.control_platform(outage=None)
    wait_for_exit(node, 2 * STOP_LIMIT_S)
    assert retry_run(deployment, key)["was_repeat"] is True


def retry_run(deployment: ProxiedDeployment, key: str) -> dict[str, Any]:
    """Retries a run, also while it is refused because of the outage."""
    ends_at_s = time.monotonic() + STOP_LIMIT_S
    while True:
        answer = deployment.run(deployment.nodes[1], key)
        document: dict[str, Any] = answer.json()
        error = document.get("error", {})
        is_refused = error.get("kind") == "platform"
        if not is_refused or time.monotonic() > ends_at_s:
            return document
        time.sleep(error["retry_after_s"])


def test_backend_servers_drain_under_load(
    deployment: ProxiedDeployment,
) -> None:
    """No request fails while backend servers leave one after the other.

    Their replies and the platform's list report them as leaving.
    """
    with running_callers(deployment) as callers:
        for server in deployment.backends[0::8]:
            vm_id = server["vm_id"]
            deployment.control_backends({"vm_ids": [vm_id]}, leaving=True)
            deployment.control_platform(vm_state={vm_id: "leaving"})
            # The stand-in logs requests that come more than 3 s after this.
            wait_for_calls(callers, 3.5)
            deployment.control_backends({"vm_ids": [vm_id]}, down=True)
            wait_for_calls(callers, 1.0)
    assert deployment.backend_events("request_while_leaving") == []
