"""Callers of a deployment, each a thread that keeps its connection."""

import http.client
import itertools
import random
import threading
import time
from typing import Final, Self

from deployment import RunningNode
from faulty_deployment import FaultyDeployment
from fleet_history import Asked, FleetHistory

from mulberrybay_testing.ports import HOST

CALLER_COUNT: Final = 6
PAUSE_S: Final = 0.03
TIMEOUT_S: Final = 6.0
DEADLINE_MS: Final = 2000
ADDRESS_LIFE_S: Final = 0.3
KINDS: Final = ("search", "record", "booking", "revision")
WEIGHTS: Final = (4, 3, 3, 1)


class FleetCaller(threading.Thread):
    """Asks the directory where to go, and sends requests there."""

    _numbers = itertools.count(1)

    def __init__(
        self, deployment: FaultyDeployment, history: FleetHistory, seed: int
    ) -> None:
        super().__init__(name=f"caller-{seed}")
        self._deployment = deployment
        self._history = history
        self._random = random.Random(seed)
        self._kept: http.client.HTTPConnection | None = None
        self._kept_node: RunningNode | None = None
        self._ports: list[int] = []
        self._ports_end_s = 0.0
        self._ends = threading.Event()

    def run(self) -> None:
        """Calls until it is told to end."""
        while not self._ends.is_set():
            kind = self._random.choices(KINDS, WEIGHTS)[0]
            node = self._choose()
            if node is not None:
                self.ask(kind, node)
            time.sleep(PAUSE_S)
        self._drop()

    def end(self) -> None:
        """Ends after the request in progress."""
        self._ends.set()
        self.join()

    def _choose(self) -> RunningNode | None:
        if self._kept_node is not None and self._random.random() < 0.9:
            return self._kept_node
        self._drop()
        if time.monotonic() >= self._ports_end_s:
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
            addresses = node.named()
        except (OSError, http.client.HTTPException):
            return
        self._ports = [int(text.rpartition(":")[2]) for text in addresses]
        self._ports_end_s = time.monotonic() + ADDRESS_LIFE_S

    def _drop(self) -> None:
        if self._kept is not None:
            self._kept.close()
        self._kept = self._kept_node = None

    def _path(self, kind: str) -> tuple[str, int]:
        number = self._random.randrange(1000)
        revisions = sorted(self._history.configured)[-2:]
        if kind == "revision" and revisions:
            revision = self._random.choice(revisions)
            return f"/revision-{revision}/{number}", revision
        folder = {"search": "search", "booking": "bookings"}.get(
            kind, "records"
        )
        return f"/{folder}/{number}", 0

    def ask(self, kind: str, node: RunningNode) -> Asked:
        """Sends one request and notes how it ended."""
        path, revision = self._path(kind)
        request_id = f"r-{next(self._numbers)}"
        lifetime = node.process.pid
        sent_at_s = time.monotonic()
        status, headers, body = 0, {}, b""
        try:
            status, headers, body = self._send(node, kind, path, request_id)
        except (OSError, http.client.HTTPException):
            self._drop()
        asked = Asked(
            request_id,
            kind,
            path,
            node.name,
            lifetime,
            sent_at_s,
            time.monotonic(),
            status,
            headers,
            body,
            revision,
        )
        self._history.add(asked)
        return asked

    def _send(
        self, node: RunningNode, kind: str, path: str, request_id: str
    ) -> tuple[int, dict[str, str], bytes]:
        connection = self._kept
        if connection is None or self._kept_node is not node:
            self._drop()
            connection = http.client.HTTPConnection(
                HOST, node.callers_port, timeout=TIMEOUT_S
            )
        self._kept, self._kept_node = connection, node
        headers = {
            "Host": "a.example",
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(DEADLINE_MS),
        }
        method, body = ("POST", b"van") if kind == "booking" else ("GET", None)
        connection.request(method, path, body, headers)
        reply = connection.getresponse()
        content = reply.read()
        lower = {name.lower(): value for name, value in reply.getheaders()}
        if reply.will_close:
            self._drop()
        return reply.status, lower, content


class FleetLoad:
    """The callers of a deployment; a context manager."""

    def __init__(
        self, deployment: FaultyDeployment, history: FleetHistory, seed: int
    ) -> None:
        self._callers = [
            FleetCaller(deployment, history, seed * CALLER_COUNT + number)
            for number in range(CALLER_COUNT)
        ]

    def __enter__(self) -> Self:
        for caller in self._callers:
            caller.start()
        return self

    def __exit__(self, *_: object) -> None:
        for caller in self._callers:
            caller.end()


def ask_each_kind(
    deployment: FaultyDeployment, history: FleetHistory, seed: int
) -> list[Asked]:
    """Asks every node once for each kind."""
    caller = FleetCaller(deployment, history, seed)
    return [
        caller.ask(kind, node)
        for node in deployment.nodes
        for kind in ("search", "record", "booking")
    ]
