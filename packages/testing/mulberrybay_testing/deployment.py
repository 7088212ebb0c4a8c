"""Starts a whole deployment as processes on loopback, for tests and demos."""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import Any, Final, Self

from mulberrybay_testing.class_spec import ClassSpec, run_class, search_class
from mulberrybay_testing.deployment_access import DeploymentAccess, NodeProcess
from mulberrybay_testing.ports import free_port
from mulberrybay_testing.processes import ManagedProcess, Processes

DOMAINS: Final = ("d1", "d2", "d3")
READY_TIMEOUT_S: Final = 15.0
POLL_PERIOD_S: Final = 0.05


class Deployment(DeploymentAccess):
    """Runs a platform, backend servers and nodes within a context."""

    def __init__(
        self,
        folder: Path,
        classes: tuple[ClassSpec, ...] | None = None,
        node_count: int = 3,
        settings: Mapping[str, Any] | None = None,
    ) -> None:
        """Prepares a deployment; entering the context starts its processes.

        Args:
            folder: Folder for settings, logs and output.
            classes: The classes of work; by default one of `search_class` and
                one of `run_class`.
            node_count: Number of nodes, spread over the failure domains.
            settings: Additional settings for every node.
        """
        super().__init__(
            folder,
            classes or (search_class(), run_class()),
            platform_port=free_port(),
            backend_control_port=free_port(),
        )
        self._processes = Processes(folder)
        self._node_count = node_count
        self._settings = dict(settings or {})

    def __enter__(self) -> Self:
        """Starts everything and waits until every node serves."""
        self._processes.__enter__()
        try:
            self._start()
        except BaseException:
            self._processes.__exit__()
            raise
        return self

    def __exit__(self, *exc: object) -> None:
        """Ends every process.

        Nodes are killed because a graceful stop takes several seconds.
        """
        for node in self.nodes:
            node.process.kill()
        self._processes.__exit__(*exc)

    @property
    def processes(self) -> Processes:
        """The processes of the deployment; a test can start more with it."""
        return self._processes

    def _start(self) -> None:
        self._plan_backends()
        plans = [self._plan_node(index) for index in range(self._node_count)]
        _wait_ready(self._start_standins())
        self.put_configuration()
        self.put_snapshots()
        self.nodes += [self._start_node(plan) for plan in plans]
        _wait_ready(node.process for node in self.nodes)
        self.wait_serving()

    def _start_standins(self) -> list[ManagedProcess]:
        return [self._start_platform(), self._start_backends()]

    def _plan_backends(self) -> None:
        index = 0
        for spec in self.classes:
            for service in spec.services:
                for _ in range(spec.replica_count):
                    self._plan_backend(spec, service, index)
                    index += 1

    def _plan_backend(self, spec: ClassSpec, service: str, index: int) -> None:
        server_id = f"vm-{service.replace('/', '-')}-{index}"
        vm = {
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
        self.backends.append({**vm, **options, **spec.server_options})
        self._vms.append({**vm, "role": "backend", "state": "live"})

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

    def _start_platform(self) -> ManagedProcess:
        vms_path = self._folder / "vms.json"
        vms_path.write_text(json.dumps(self._vms), encoding="utf-8")
        return self._processes.start_module(
            "platform",
            "platform_standin",
            "--port",
            self.platform_port,
            "--log",
            self._folder / "platform.log",
            "--vms",
            vms_path,
        )

    def _start_backends(self) -> ManagedProcess:
        spec_path = self._folder / "backends.json"
        spec_path.write_text(json.dumps(self.backends), encoding="utf-8")
        return self._processes.start_module(
            "backends",
            "backend_standin",
            "--spec",
            spec_path,
            "--log",
            self._folder / "backends.log",
            "--control-port",
            self.backend_control_port,
            "--log-requests",
        )

    def _start_node(self, plan: dict[str, Any]) -> NodeProcess:
        node_id = plan["node_id"]
        path = self._folder / f"{node_id}.toml"
        path.write_text(self._node_toml(plan), encoding="utf-8")
        process = self._start_node_process(node_id, path)
        return NodeProcess(process=process, settings_path=path, **plan)

    def _start_node_process(
        self, name: str, settings_path: Path
    ) -> ManagedProcess:
        program = Path(sys.executable).with_name("mulberrybayd")
        return self._processes.start(name, [str(program), str(settings_path)])

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
        # JSON strings, numbers and lists are also valid TOML.
        return "".join(
            f"{key} = {json.dumps(value)}\n" for key, value in values.items()
        )

    def restart_node(self, index: int, generation: str = "again") -> None:
        """Starts a node process again after it ended, with the same settings.

        Args:
            index: Index of the node.
            generation: Suffix for the name of the process and its output files.
        """
        node = self.nodes[index]
        name = f"{node.node_id}-{generation}"
        process = self._start_node_process(name, node.settings_path)
        _wait_ready([process])
        self.nodes[index] = node._replace(process=process)

    def is_settled(self, node: NodeProcess) -> bool:
        """Returns whether a node is serving and has no claim in progress."""
        try:
            status = self.status(node)
        except OSError:
            return False
        return bool(status["is_serving"]) and not status["claiming_count"]

    def wait_serving(self, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Waits until all running nodes serve and together hold every server.

        Raises:
            TimeoutError: They do not within the timeout.
        """
        ends_at_s = time.monotonic() + timeout_s
        while time.monotonic() < ends_at_s:
            running = [n for n in self.nodes if n.process.returncode is None]
            if all(self.is_settled(node) for node in running):
                held = sum(self.status(n)["held_count"] for n in running)
                if held >= len(self.backends):
                    return
            time.sleep(POLL_PERIOD_S)
        raise TimeoutError(
            f"nodes not serving or servers not held after {timeout_s} s"
        )


def _wait_ready(processes: Iterable[ManagedProcess]) -> None:
    for process in processes:
        process.wait_ready(timeout_s=READY_TIMEOUT_S)
