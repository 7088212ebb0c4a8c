"""A deployment on loopback: platform stand-ins and real node processes."""

import contextlib
import http.client
import json
import pathlib
import re
import signal
import sys
from collections.abc import Callable, Mapping
from typing import Any, Final, NamedTuple, Self

from standins import (
    BackendStandIn,
    LoopThread,
    StoreCopy,
    StoreStandIn,
    serve,
)

from mulberrybay_testing.http_server import HttpServer
from mulberrybay_testing.ports import HOST, free_port
from mulberrybay_testing.processes import ManagedProcess, Processes
from mulberrybay_testing.waiting import wait_until

NODE_PROGRAM_PATH: Final = (
    pathlib.Path(__file__).parents[2] / "platform" / "node.py"
)
SHARDS: Final = ("shard-0", "shard-1", "shard-2", "shard-3")
SINGLE_SERVICES: Final = ("records", "bookings")
START_TIMEOUT_S: Final = 10.0


class Answer(NamedTuple):
    """A node's answer; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class RunningNode(NamedTuple):
    """A node's process and the ports on which it listens."""

    name: str
    process: ManagedProcess
    callers_port: int
    readiness_port: int
    directory_port: int
    metrics_port: int
    peer_port: int
    zone: str

    def send_request(
        self,
        path: str,
        *,
        method: str = "GET",
        request_id: str = "id-1",
        deadline_ms: int = 2000,
        host: str = "a.example",
        body: bytes | None = None,
        caller: str = "",
    ) -> Answer:
        """Sends one request on a new connection and returns the answer."""
        headers = {
            "Host": host,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(deadline_ms),
        }
        if caller:
            headers["Authorization"] = caller
        return fetch(self.callers_port, path, method, headers, body)

    def is_ready(self) -> bool:
        """Whether the readiness check succeeds."""
        with contextlib.suppress(OSError):
            return fetch(self.readiness_port, "/api/readiness").status == 200
        return False

    def handles_signals(self) -> bool:
        """Whether the process catches or blocks SIGHUP and SIGTERM.

        Until the node's first lines have run, the interpreter keeps the
        default actions, and either signal ends the process.
        """
        path = pathlib.Path(f"/proc/{self.process.pid}/status")
        with contextlib.suppress(OSError):
            text = path.read_text(encoding="ascii")
            masks = re.findall(r"^Sig(?:Blk|Cgt):\s*(\w+)", text, re.M)
            non_default_masks = [int(mask, 16) for mask in masks]
            return all(
                any(mask >> (number - 1) & 1 for mask in non_default_masks)
                for number in (signal.SIGHUP, signal.SIGTERM)
            )
        return False

    def advertised_addresses(self) -> list[str]:
        """Returns the callers' addresses that the node's directory returns.

        The list is empty if the directory answers with an error.
        """
        path = "/api/resolve?name=a.example&region=r&zone=zone-a"
        answer = fetch(self.directory_port, path)
        if answer.status != 200:
            return []
        return list(json.loads(answer.body)["addrs"])

    def known_node_count(self) -> int:
        """Returns the number of nodes that it has heard of, itself included."""
        text = fetch(self.metrics_port, "/metrics").body.decode()
        match = re.search(r"^mulberrybay_edge_running_nodes (\S+)", text, re.M)
        return int(float(match[1])) if match else 0

    @property
    def address(self) -> str:
        """The address to which callers connect."""
        return f"{HOST}:{self.callers_port}"


def fetch(
    port: int,
    path: str,
    method: str = "GET",
    headers: dict[str, str] | None = None,
    body: bytes | None = None,
) -> Answer:
    """Sends one request to a loopback port on a new connection."""
    connection = http.client.HTTPConnection(HOST, port, timeout=10)
    with contextlib.closing(connection):
        connection.request(method, path, body, headers or {})
        reply = connection.getresponse()
        lower_case_headers = {
            name.lower(): value for name, value in reply.getheaders()
        }
        return Answer(reply.status, lower_case_headers, reply.read())


def route(name: str, prefix: str, **fields: object) -> dict[str, Any]:
    """Returns a route for the operator's configuration.

    Args:
        name: The route's name.
        prefix: The path prefix.
        **fields: Fields to add or to override.
    """
    return {
        "name": name,
        "hostname": "a.example",
        "path_prefix": prefix,
        "route_type": "idempotent",
        "timeout_ms": 2000,
        "target_latency_ms": 300,
        "priority": 1,
        "max_attempts": 2,
        **fields,
    }


def service_settings(name: str) -> dict[str, Any]:
    """Returns a service for the operator's configuration."""
    return {
        "name": name,
        "health_path": "/health",
        "max_conns": 30,
        "protocol": "h1",
        "tls": False,
        "warmup_s": 3.0,
        "warmup_per_s": 0.0,
    }


def configuration(revision: int, **fields: object) -> dict[str, Any]:
    """Returns an operator's configuration; `fields` override its fields."""
    return {
        "revision": revision,
        "routes": [
            route(
                "search",
                "/search/",
                gather=[*SHARDS],
                top_k=3,
                oldest_version=0.5,
            ),
            route("record", "/records/", service="records"),
            route(
                "booking",
                "/bookings/",
                service="bookings",
                route_type="non_idempotent",
            ),
        ],
        "services": [
            service_settings(name) for name in (*SHARDS, *SINGLE_SERVICES)
        ],
        "limits": {
            "max_header_bytes": 4096,
            "max_body_bytes": 65536,
            "header_timeout_ms": 1000,
            "idle_timeout_ms": 5000,
        },
        **fields,
    }


class Deployment:
    """Platform stand-ins and nodes; a context manager.

    Attributes:
        zones: The zones of a service's backend servers, one per server.
        shards: The services whose replies are parts of an answer.
        services: The services that have backend servers from the start.
        contact_ms: The bound that nodes have after a fault.
        config_apply_ms: The bound that they have otherwise.
        extra_settings: Lines that are added to the nodes' settings.
        rollout_bounds: The lines of the settings on rollouts; none if empty.
        more_bounds: Further bounds in their settings.
        choose_program: Returns the program to start for a node's name.
    """

    zones: tuple[str, ...] = ("zone-a", "zone-a")
    shards: tuple[str, ...] = SHARDS
    services: tuple[str, ...] = (*SHARDS, *SINGLE_SERVICES)
    contact_ms: int = 4000
    config_apply_ms: int = 3000
    extra_settings: str = ""
    rollout_bounds: str = ""
    more_bounds: Mapping[str, float] = {}

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._exit_stack = contextlib.ExitStack()
        self.store = StoreStandIn()
        self.store_port = free_port()
        self.backends: dict[str, list[BackendStandIn]] = {}
        self._servers: dict[str, HttpServer] = {}
        self.nodes: list[RunningNode] = []
        self._start_count = 0
        self.choose_program: Callable[[str], pathlib.Path] = lambda _: (
            NODE_PROGRAM_PATH
        )
        # What was written last under each kind and name; None for a removal.
        self._written: dict[tuple[str, str], object] = {}

    def __enter__(self) -> Self:
        self._loop = self._exit_stack.enter_context(LoopThread())
        self._loop.run(serve(self.store, self.store_port))
        self._store_connect_port = self._add_link("store", self.store_port)
        self._processes = self._exit_stack.enter_context(
            Processes(self._folder)
        )
        for service in self.services:
            for zone in self.zones:
                self.add_backend(service, zone=zone)
        self.put("config", "main", self.first_configuration())
        return self

    def __exit__(self, *_: object) -> None:
        self._exit_stack.close()

    # The platform: the store and the backend servers.

    def first_configuration(self) -> dict[str, Any]:
        """Returns the configuration with which nodes start."""
        return configuration(1)

    def put(self, kind: str, name: str, spec: object) -> None:
        """Writes an object to the store."""
        self._written[kind, name] = spec
        self._loop.run(self.store.put(kind, name, spec))

    def remove(self, kind: str, name: str) -> None:
        """Removes an object from the store."""
        self._written[kind, name] = None
        if name in self.store.names(kind):
            self._loop.run(self.store.remove(kind, name))

    def forget_history(self) -> None:
        """Makes the store discard its change history."""
        self._loop.run(self.store.forget_history())

    def take_store_copy(self) -> StoreCopy:
        """Returns a copy to which the store can return later."""
        return self._loop.run(self.store.take_copy())

    def return_store_from(self, copy: StoreCopy) -> None:
        """Makes the store lose all that was written since a copy."""
        self._loop.run(self.store.return_from(copy))

    def write_again(self) -> None:
        """Writes what operators and servers wrote and the store has lost."""
        for (kind, name), spec in self._written.items():
            if self.store.spec(kind, name) == spec:
                continue
            if spec is None:
                self._loop.run(self.store.remove(kind, name))
            else:
                self._loop.run(self.store.put(kind, name, spec))

    def _add_link(self, name: str, port: int) -> int:
        """Returns the port through which nodes connect to a stand-in.

        Subclasses put a proxy in between.
        """
        del name
        return port

    def add_backend(
        self, service: str, *, zone: str = "zone-a", version: str = "v1"
    ) -> BackendStandIn:
        """Starts a backend server and registers it in the store."""
        backend = BackendStandIn(
            service, is_shard=service in self.shards, zone=zone
        )
        backend.version = version
        backend.connect_port = self._add_link(backend.server_id, backend.port)

        async def on_running(is_running: bool) -> None:
            await self._set_running(backend, is_running)

        backend.on_running = on_running
        self._servers[backend.server_id] = self._loop.run(
            serve(backend, backend.port)
        )
        self.backends.setdefault(service, []).append(backend)
        self.put("servers", backend.server_id, backend.entry())
        return backend

    async def _set_running(
        self, backend: BackendStandIn, is_running: bool
    ) -> None:
        """Handles that a server crashed or is back; see `_add_link`."""

    def stop_listening(self, backend: BackendStandIn) -> None:
        """Makes a backend server refuse new connections."""

        async def stop() -> None:
            self._servers[backend.server_id].stop_listening()

        self._loop.run(stop())

    def stop_at_once(self, backend: BackendStandIn) -> None:
        """Ends a backend server for good, without its entry."""
        self.remove("servers", backend.server_id)
        self._loop.run(backend.stop_at_once())

    def crash(self, backend: BackendStandIn) -> None:
        """Ends a backend server, which starts again by itself."""
        self._loop.run(backend.crash())

    # Nodes.

    def start_node(self, name: str, zone: str = "zone-a") -> RunningNode:
        """Starts a node without waiting until it is ready."""
        return self._start(name, [free_port() for _ in range(5)], zone)

    def restart(self, node: RunningNode) -> RunningNode:
        """Restarts a node that has exited, with the same ports."""
        self.nodes.remove(node)
        ports = [
            node.peer_port,
            node.callers_port,
            node.readiness_port,
            node.directory_port,
            node.metrics_port,
        ]
        return self._start(node.name, ports, node.zone)

    def write_invalid_settings(self, node: RunningNode) -> None:
        """Overwrites a node's settings file with invalid TOML."""
        path = self._folder / f"{node.name}.toml"
        path.write_text("listen = [", encoding="utf-8")

    def peer_ports(self) -> list[int]:
        """Returns the ports on which the nodes receive heartbeats."""
        return [node.peer_port for node in self.nodes]

    def _start(self, name: str, ports: list[int], zone: str) -> RunningNode:
        settings = self._folder / f"{name}.toml"
        bounds = json.dumps(
            {
                "contact_ms": self.contact_ms,
                "config_apply_ms": self.config_apply_ms,
                **self.more_bounds,
            }
        )
        settings.write_text(
            f"bounds = '{bounds}'\n"
            f"{self.extra_settings}"
            f'node_name = "{name}"\n'
            f'failure_domain = "{zone}"\n'
            "stop_grace_s = 3\n"
            "max_address_life_s = 0.3\n"
            "cold_factor = 1.5\n"
            "cpu_share = 0.5\n"
            "core_speed = 2\n"
            f'store_address = "{HOST}:{self._store_connect_port}"\n'
            "[listen]\n"
            f'host = "{HOST}"\n'
            f"peer_port = {ports[0]}\n"
            f'callers = "{HOST}:{ports[1]}"\n'
            f'readiness = "{HOST}:{ports[2]}"\n'
            f'directory = "{HOST}:{ports[3]}"\n'
            f"metrics_port = {ports[4]}\n"
            "[repeats]\n"
            "ratio = 0.2\nwindow_s = 10\nslack_count = 56\n"
            f"{self.rollout_bounds}",
            encoding="utf-8",
        )
        self._start_count += 1
        process = self._processes.start(
            f"{name}-{self._start_count}",
            [sys.executable, str(self.choose_program(name))],
            {"MULBERRYBAY_SETTINGS": str(settings)},
        )
        node = RunningNode(name, process, *ports[1:], ports[0], zone)
        self.nodes.append(node)
        return node

    def start_nodes(self, count: int) -> list[RunningNode]:
        """Starts nodes and waits until each has heard of all of them."""
        nodes = [self.start_node(f"node-{n}") for n in range(1, count + 1)]
        for node in nodes:
            wait_until(node.is_ready, START_TIMEOUT_S, f"{node.name} is ready")
        for node in nodes:
            wait_until(
                lambda node=node: node.known_node_count() == count,  # type: ignore[misc]
                START_TIMEOUT_S,
                f"{node.name} has heard of all nodes",
            )
        return nodes

    def log_lines(self, node: RunningNode) -> list[dict[str, Any]]:
        """Returns the JSON log lines that a node has written."""
        path = self._folder / f"{node.process.name}.stdout"
        lines = path.read_text(errors="replace").split("\n")[:-1]
        return [json.loads(line) for line in lines if line.startswith("{")]

    def messages(self, node: RunningNode) -> set[str]:
        """Returns the distinct messages of a node's log lines."""
        return {line["message"] for line in self.log_lines(node)}
