"""Starts a whole deployment as processes on loopback, for tests and demos."""

from __future__ import annotations

import json
import sys
import time
import uuid
from collections.abc import Mapping
from pathlib import Path
from typing import Any, Final, NamedTuple

from mulberrybay_core.configuration import Configuration
from mulberrybay_core.documents import encode_configuration, encode_snapshots
from mulberrybay_core.snapshot import IndexSnapshot
from mulberrybay_testing.class_spec import ClassSpec, run_class, search_class
from mulberrybay_testing.control_client import get_control, post_control
from mulberrybay_testing.event_log import Event, read_events
from mulberrybay_testing.http_caller import HttpAnswer, send_request
from mulberrybay_testing.ports import free_port
from mulberrybay_testing.processes import ManagedProcess, Processes

DOMAINS: Final = ("d1", "d2", "d3")
READY_TIMEOUT_S: Final = 15.0
POLL_PERIOD_S: Final = 0.05


class NodeProcess(NamedTuple):
    """One node and where it listens."""

    node_id: str
    failure_domain: str
    caller_port: int
    peer_port: int
    operator_port: int
    process: ManagedProcess
    settings_path: Path


class Deployment:
    """A platform, backend servers and nodes; a context manager."""

    def __init__(
        self,
        folder: Path,
        classes: tuple[ClassSpec, ...] | None = None,
        node_count: int = 3,
        settings: Mapping[str, Any] | None = None,
    ) -> None:
        """Plans a deployment; nothing runs before the context is entered.

        Args:
            folder: Where settings, logs and output go.
            classes: The classes of work; one search and one run by default.
            node_count: Nodes, spread over the failure domains.
            settings: Further settings of every node.
        """
        self._folder = folder
        self._processes = Processes(folder)
        self.classes = classes or (search_class(), run_class())
        self._node_count = node_count
        self._settings = dict(settings or {})
        self.platform_port = free_port()
        self.backend_control_port = free_port()
        self.nodes: list[NodeProcess] = []
        self.backends: list[dict[str, Any]] = []
        self._vms: list[dict[str, Any]] = []

    def __enter__(self) -> Deployment:
        """Starts everything and waits until every node serves."""
        self._processes.__enter__()
        try:
            self._start()
        except BaseException:
            self._processes.__exit__()
            raise
        return self

    def __exit__(self, *exc: object) -> None:
        """Ends every process."""
        self._processes.__exit__(*exc)

    @property
    def processes(self) -> Processes:
        """The owner of the processes, for further ones."""
        return self._processes

    def _start(self) -> None:
        self._plan_backends()
        plans = [self._plan_node(index) for index in range(self._node_count)]
        self._start_platform()
        self._start_backends()
        self.put_configuration()
        self.put_snapshots()
        for plan in plans:
            self.nodes.append(self._start_node(plan))
        self.wait_serving()

    def _plan_backends(self) -> None:
        index = 0
        for spec in self.classes:
            for service in spec.services:
                for _ in range(spec.replica_count):
                    self._plan_backend(spec, service, index)
                    index += 1

    def _plan_backend(self, spec: ClassSpec, service: str, index: int) -> None:
        server_id = f"vm-{service.replace('/', '-')}-{index}"
        place = {
            "vm_id": server_id,
            "failure_domain": DOMAINS[index % len(DOMAINS)],
            "host": "127.0.0.1",
            "port": free_port(),
            "service": service,
            "slot_count": spec.slot_count,
            "connection_cap": spec.connection_cap,
        }
        options = {
            "connect_cost_ms": 6.0,
            "service_time_ms": spec.service_time_ms,
            "service_time_sigma": 0.2,
            "straggle_probability": 0.0,
            "straggle_factor": 10.0,
            "index_versions": [1],
            "cold": False,
            "warm_up_requests": 30,
            "cold_slowdown": 4,
            "seed": index + 1,
        }
        self.backends.append({**place, **options, **spec.server_options})
        self._vms.append({**place, "role": "backend", "state": "live"})

    def _plan_node(self, index: int) -> dict[str, Any]:
        node_id = f"node-{index + 1}"
        plan = {
            "node_id": node_id,
            "failure_domain": DOMAINS[index % len(DOMAINS)],
            "caller_port": free_port(),
            "peer_port": free_port(),
            "operator_port": free_port(),
        }
        self._vms.append(
            {
                "vm_id": node_id,
                "role": "entry",
                "failure_domain": plan["failure_domain"],
                "host": "127.0.0.1",
                "port": plan["peer_port"],
                "service": "",
                "state": "live",
                "slot_count": 0,
                "connection_cap": 0,
            }
        )
        return plan

    def _start_platform(self) -> None:
        vms_path = self._folder / "vms.json"
        vms_path.write_text(json.dumps(self._vms), encoding="utf-8")
        self._module(
            "platform",
            "platform_standin",
            "--port",
            str(self.platform_port),
            "--log",
            str(self._folder / "platform.log"),
            "--vms",
            str(vms_path),
        )

    def _start_backends(self) -> None:
        spec_path = self._folder / "backends.json"
        spec_path.write_text(json.dumps(self.backends), encoding="utf-8")
        self._module(
            "backends",
            "backend_standin",
            "--spec",
            str(spec_path),
            "--log",
            str(self._folder / "backends.log"),
            "--control-port",
            str(self.backend_control_port),
            "--log-requests",
        )

    def _module(self, name: str, module: str, *arguments: str) -> None:
        argv = [sys.executable, "-m", f"mulberrybay_testing.{module}"]
        process = self._processes.start(name, [*argv, *arguments])
        process.wait_ready(timeout_s=READY_TIMEOUT_S)

    def _start_node(self, plan: dict[str, Any]) -> NodeProcess:
        node_id = plan["node_id"]
        path = self._folder / f"{node_id}.toml"
        path.write_text(self._node_toml(plan), encoding="utf-8")
        process = self._launch(node_id, path)
        return NodeProcess(process=process, settings_path=path, **plan)

    def _launch(self, name: str, settings_path: Path) -> ManagedProcess:
        program = Path(sys.executable).with_name("mulberrybayd")
        process = self._processes.start(
            name, [str(program), str(settings_path)]
        )
        process.wait_ready(timeout_s=READY_TIMEOUT_S)
        return process

    def _node_toml(self, plan: dict[str, Any]) -> str:
        values = {
            "node_id": plan["node_id"],
            "failure_domain": plan["failure_domain"],
            "caller_address": f"127.0.0.1:{plan['caller_port']}",
            "peer_address": f"127.0.0.1:{plan['peer_port']}",
            "operator_address": f"127.0.0.1:{plan['operator_port']}",
            "platform_address": f"127.0.0.1:{self.platform_port}",
            "operator_token": "test-token",
            **self._settings,
        }
        # JSON strings, numbers and lists are TOML too.
        return "".join(
            f"{key} = {json.dumps(value)}\n" for key, value in values.items()
        )

    def restart_node(self, index: int, generation: str = "again") -> None:
        """Starts a node that has ended, with the same settings."""
        node = self.nodes[index]
        name = f"{node.node_id}-{generation}"
        process = self._launch(name, node.settings_path)
        self.nodes[index] = node._replace(process=process)

    # The platform's objects.

    def put_object(
        self, kind: str, name: str, value: object, expected_version: int = 0
    ) -> HttpAnswer:
        """Writes an object of the platform's store, past the nodes."""
        condition = {"If-Match": f'"{expected_version}"'}
        if not expected_version:
            condition = {"If-None-Match": "*"}
        return send_request(
            self.platform_port,
            "PUT",
            f"/v1/objects/{kind}/{name.replace('/', '%2F')}",
            json.dumps(value).encode(),
            condition,
        )

    def get_object(self, kind: str, name: str) -> HttpAnswer:
        """Reads an object of the platform's store, past the nodes."""
        return send_request(
            self.platform_port, "GET", f"/v1/objects/{kind}/{name}"
        )

    def put_configuration(self, **changes: Any) -> int:  # noqa: ANN401
        """Writes the next revision, past the nodes; returns its number."""
        stored = self.get_object("configuration", "current")
        version = stored.json()["version"] if stored.status == 200 else 0
        revision = 1
        if version:
            revision = stored.json()["value"]["revision"] + 1
        configuration = Configuration(
            revision=revision,
            change_id=f"change-{revision}",
            author="test",
            changed_at_s=time.time(),
            classes=tuple(spec.work_class for spec in self.classes),
            out_domains=frozenset(),
            out_servers=frozenset(),
        )._replace(**changes)
        self.put_object(
            "configuration",
            "current",
            encode_configuration(configuration),
            version,
        )
        return revision

    def put_snapshots(self) -> None:
        """Writes index version 1 of every class, past the nodes."""
        for spec in self.classes:
            name = spec.work_class.name
            snapshot = IndexSnapshot(name, 1, spec.services)
            self.put_object("snapshots", name, encode_snapshots((snapshot,)))

    # Control and observation.

    def control_platform(self, **document: Any) -> None:  # noqa: ANN401
        """Changes the platform's behaviour."""
        post_control(self.platform_port, document)

    def control_backends(
        self,
        target: Mapping[str, Any],
        **changes: Any,  # noqa: ANN401
    ) -> None:
        """Changes backend servers; target is vm_ids, failure_domain or all."""
        document = {**target, "set": changes}
        post_control(self.backend_control_port, document)

    def backend_counters(self) -> dict[str, Any]:
        """Returns what the backend servers counted."""
        return get_control(self.backend_control_port)

    def backend_events(self, name: str | None = None) -> list[Event]:
        """Returns what the backend servers logged, perhaps of one event."""
        events = read_events(self._folder / "backends.log")
        return [e for e in events if name is None or e["event"] == name]

    def vms(self) -> list[dict[str, Any]]:
        """Returns the VMs that the platform was started with."""
        return list(self._vms)

    def platform_events(self) -> list[Event]:
        """Returns what the platform logged."""
        return read_events(self._folder / "platform.log")

    def status(self, node: NodeProcess) -> dict[str, Any]:
        """Returns a node's status."""
        answer = send_request(
            node.operator_port,
            "GET",
            "/v1/status",
            headers={"Authorization": "Bearer test-token"},
        )
        document: dict[str, Any] = answer.json()
        return document

    def change(
        self,
        node: NodeProcess,
        path: str,
        document: object,
        **headers: str,
    ) -> HttpAnswer:
        """Sends a change through a node's administration API.

        Args:
            node: The node to ask.
            path: As "/v1/domains/d2" or "/v1/servers/vm-1".
            document: As {"state": "out"}.
            headers: Further headers; write If_Match for If-Match.
        """
        named = {key.replace("_", "-"): text for key, text in headers.items()}
        return send_request(
            node.operator_port,
            "PUT",
            path,
            json.dumps(document).encode(),
            {
                "Authorization": "Bearer test-token",
                "Change-Id": uuid.uuid4().hex,
                "Operator": "test",
                **named,
            },
        )

    def is_settled(self, node: NodeProcess) -> bool:
        """Returns whether a node serves and no holding is on the move."""
        try:
            status = self.status(node)
        except OSError:
            return False
        return bool(status["is_serving"]) and not status["claiming_count"]

    def wait_serving(self, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Waits until all running nodes serve and hold every server."""
        ends_at_s = time.monotonic() + timeout_s
        while time.monotonic() < ends_at_s:
            running = [n for n in self.nodes if n.process.returncode is None]
            if all(self.is_settled(node) for node in running):
                held = sum(self.status(n)["held_count"] for n in running)
                if held >= len(self.backends):
                    return
            time.sleep(POLL_PERIOD_S)
        raise TimeoutError(f"not all nodes serve after {timeout_s} s")

    # Callers.

    def query(
        self,
        node: NodeProcess,
        class_name: str = "field-search",
        body: object = "valve",
        deadline_ms: int = 2000,
        **headers: str,
    ) -> HttpAnswer:
        """Sends a query to a node."""
        return send_request(
            node.caller_port,
            "POST",
            f"/v1/query/{class_name}",
            json.dumps(body).encode(),
            {"X-Deadline-Ms": str(deadline_ms), **headers},
        )

    def run(
        self,
        node: NodeProcess,
        idempotency_key: str,
        class_name: str = "route-planner",
        body: object = "van",
        deadline_ms: int = 2000,
    ) -> HttpAnswer:
        """Sends a non-idempotent request to a node."""
        return send_request(
            node.caller_port,
            "POST",
            f"/v1/run/{class_name}",
            json.dumps(body).encode(),
            {
                "X-Deadline-Ms": str(deadline_ms),
                "Idempotency-Key": idempotency_key,
            },
        )
