"""Callers of a deployment, each a thread with a persistent connection."""

import http.client
import itertools
import random
import threading
import time
from typing import Final, Self

from deployment import RunningNode
from faulty_deployment import FaultyDeployment
from fleet_history import CallerRequest, FleetHistory

from mulberrybay_testing.http_server import Request
from mulberrybay_testing.ports import HOST

CALLER_COUNT: Final = 6
REQUEST_PAUSE_S: Final = 0.03
TIMEOUT_S: Final = 6.0
DEADLINE_MS: Final = 2000
ADDRESS_TTL_S: Final = 0.3
# The share of callers that use a node until its process is gone.
STAYING_RATIO: Final = 0.5
KIND_NAMES: Final = ("search", "record", "booking", "revision")
KIND_WEIGHTS: Final = (4, 3, 3, 1)
# Servers crash under the requests of one caller, which repeats the same one.
FATAL: Final = "fatal"
FATAL_PATHS: Final = ("/search/1", "/records/1", "/bookings/1")
FATAL_PAUSE_S: Final = 0.3
MAX_FATAL_CALLER_COUNT: Final = 3


def is_fatal(request: Request) -> bool:
    """Whether a server crashes under a request."""
    return request.headers.get("authorization") == FATAL


class FleetCaller(threading.Thread):
    """Resolves node addresses through the directory and sends requests.

    Some callers stay at a node until its process is gone.
    """

    _numbers = itertools.count(1)

    def __init__(
        self, deployment: FaultyDeployment, history: FleetHistory, seed: int
    ) -> None:
        super().__init__(name=f"caller-{seed}")
        self._deployment = deployment
        self._history = history
        self._random = random.Random(seed)
        self._stays = self._random.random() < STAYING_RATIO
        self._stayed_at: RunningNode | None = None
        self._connection: http.client.HTTPConnection | None = None
        self._connected_node: RunningNode | None = None
        self._ports: list[int] = []
        self._ports_expire_at_s = 0.0
        self._stop_requested = threading.Event()

    def run(self) -> None:
        """Sends requests until `stop` is called."""
        while not self._stop_requested.is_set():
            kind = self._random.choices(KIND_NAMES, KIND_WEIGHTS)[0]
            node = self._choose_node()
            if node is not None:
                self.send_request(kind, node)
            time.sleep(REQUEST_PAUSE_S)
        self._disconnect()

    def stop(self) -> None:
        """Stops the thread after the request in progress, and waits for it."""
        self._stop_requested.set()
        self.join()

    def _choose_node(self) -> RunningNode | None:
        stayed_at = self._stayed_at
        if stayed_at is not None and stayed_at.process.returncode is None:
            return stayed_at
        node = self._choose_any_node()
        self._stayed_at = node if self._stays else None
        return node

    def _choose_any_node(self) -> RunningNode | None:
        if self._connected_node is not None and self._random.random() < 0.9:
            return self._connected_node
        self._disconnect()
        if time.monotonic() >= self._ports_expire_at_s:
            self._resolve()
        nodes = [
            node
            for node in self._deployment.nodes
            if node.callers_port in self._ports
        ]
        return self._random.choice(nodes) if nodes else None

    def _resolve(self) -> None:
        node = self._random.choice(self._deployment.nodes)
        try:
            addresses = node.advertised_addresses()
        except (OSError, http.client.HTTPException):
            return
        self._ports = [int(text.rpartition(":")[2]) for text in addresses]
        self._ports_expire_at_s = time.monotonic() + ADDRESS_TTL_S

    def _disconnect(self) -> None:
        if self._connection is not None:
            self._connection.close()
        self._connection = self._connected_node = None

    def _choose_path(self, kind: str) -> tuple[str, int]:
        number = self._random.randrange(1000)
        revisions = sorted(self._history.configured_at_s)[-2:]
        if kind == "revision" and revisions:
            revision = self._random.choice(revisions)
            return f"/revision-{revision}/{number}", revision
        folder = {"search": "search", "booking": "bookings"}.get(
            kind, "records"
        )
        return f"/{folder}/{number}", 0

    def send_request(self, kind: str, node: RunningNode) -> CallerRequest:
        """Sends one request and records its outcome in the history."""
        path, revision = self._choose_path(kind)
        request_id = f"r-{next(self._numbers)}"
        node_pid = node.process.pid
        sent_at_s = time.monotonic()
        status, headers, body = 0, {}, b""
        try:
            status, headers, body = self._send(node, kind, path, request_id)
        except (OSError, http.client.HTTPException):
            self._disconnect()
        request = CallerRequest(
            request_id,
            kind,
            path,
            node.name,
            node_pid,
            sent_at_s,
            time.monotonic(),
            status,
            headers,
            body,
            revision,
        )
        self._history.add(request)
        return request

    def _send(
        self, node: RunningNode, kind: str, path: str, request_id: str
    ) -> tuple[int, dict[str, str], bytes]:
        connection = self._connection
        if connection is None or self._connected_node is not node:
            self._disconnect()
            connection = http.client.HTTPConnection(
                HOST, node.callers_port, timeout=TIMEOUT_S
            )
        self._connection, self._connected_node = connection, node
        headers = {
            "Host": "a.example",
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(DEADLINE_MS),
        }
        if kind == FATAL:
            headers["Authorization"] = FATAL
        is_booking = path.startswith("/bookings")
        method, body = ("POST", b"van") if is_booking else ("GET", None)
        connection.request(method, path, body, headers)
        reply = connection.getresponse()
        content = reply.read()
        lower_case_headers = {
            name.lower(): value for name, value in reply.getheaders()
        }
        if reply.will_close:
            self._disconnect()
        return reply.status, lower_case_headers, content


class FatalCaller(FleetCaller):
    """Repeats one request under which servers crash, at any node."""

    def __init__(
        self,
        deployment: FaultyDeployment,
        history: FleetHistory,
        seed: int,
        path: str,
    ) -> None:
        super().__init__(deployment, history, seed)
        self._path = path

    def run(self) -> None:
        """Sends the request until `stop` is called."""
        while not self._stop_requested.is_set():
            self.send_request(
                FATAL, self._random.choice(self._deployment.nodes)
            )
            self._disconnect()
            time.sleep(FATAL_PAUSE_S)

    def _choose_path(self, kind: str) -> tuple[str, int]:
        del kind
        return self._path, 0


class FleetLoad:
    """Runs the callers of a deployment; a context manager."""

    def __init__(
        self, deployment: FaultyDeployment, history: FleetHistory, seed: int
    ) -> None:
        self._callers = [
            FleetCaller(deployment, history, seed * CALLER_COUNT + number)
            for number in range(CALLER_COUNT)
        ]
        # Some seeds have copies of the request on their way at the same time.
        for number in range(1 + seed % MAX_FATAL_CALLER_COUNT):
            path = FATAL_PATHS[seed // 2 % len(FATAL_PATHS)]
            self._callers.append(
                FatalCaller(deployment, history, seed + number, path)
            )

    def __enter__(self) -> Self:
        for caller in self._callers:
            caller.start()
        return self

    def __exit__(self, *_: object) -> None:
        for caller in self._callers:
            caller.stop()


def request_each_kind(
    deployment: FaultyDeployment, history: FleetHistory, seed: int
) -> list[CallerRequest]:
    """Sends one request of each kind to every node, except of revisions."""
    caller = FleetCaller(deployment, history, seed)
    return [
        caller.send_request(kind, node)
        for node in deployment.nodes
        for kind in ("search", "record", "booking")
    ]
