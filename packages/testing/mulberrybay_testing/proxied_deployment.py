"""A deployment whose connections between processes go through proxies."""

from __future__ import annotations

import json
import time
from typing import Any, Final

from mulberrybay_core.membership import MembershipSettings
from mulberrybay_testing.class_spec import ClassSpec
from mulberrybay_testing.control_client import post_control
from mulberrybay_testing.deployment import (
    POLL_PERIOD_S,
    READY_TIMEOUT_S,
    Deployment,
)
from mulberrybay_testing.deployment_access import NodeProcess
from mulberrybay_testing.http_caller import make_key
from mulberrybay_testing.ports import free_port
from mulberrybay_testing.processes import ManagedProcess

PLATFORM: Final = "platform"
STOP_TIMEOUT_S: Final = 40.0
# The duration of a lease, plus the time until a node's status shows that the
# lease has expired.
STABLE_LEASES_S: Final = MembershipSettings().lease_s + 0.5


class ProxiedDeployment(Deployment):
    """Runs a proxy for the platform, each backend server and each node.

    The name of a proxy is "platform", the backend server's vm_id or the node's
    node_id.
    """

    _proxies: list[dict[str, Any]]
    _restart_count = 0

    def _add_proxy(self, name: str, target_port: int) -> int:
        port = free_port()
        self._proxies.append(
            {
                "name": name,
                "listen_port": port,
                "target_host": "127.0.0.1",
                "target_port": target_port,
            }
        )
        return port

    def _start(self) -> None:
        self._proxies = []
        self._had_link_faults = False
        self._proxy_control_port = free_port()
        port = self._add_proxy(PLATFORM, self.platform_port)
        self._settings["platform_address"] = f"127.0.0.1:{port}"
        super()._start()

    def _plan_backend(self, spec: ClassSpec, service: str, index: int) -> None:
        super()._plan_backend(spec, service, index)
        vm = self._vms[-1]
        vm["port"] = self._add_proxy(vm["vm_id"], vm["port"])

    def _plan_node(self, index: int) -> dict[str, Any]:
        plan = super()._plan_node(index)
        vm = self._vms[-1]
        vm["port"] = self._add_proxy(vm["vm_id"], vm["port"])
        return plan

    def _node_toml(self, plan: dict[str, Any]) -> str:
        ports = {item["name"]: item["listen_port"] for item in self._proxies}
        address = f"127.0.0.1:{ports[plan['node_id']]}"
        text = super()._node_toml(plan)
        return f'{text}advertised_peer_address = "{address}"\n'

    def _start_standins(self) -> list[ManagedProcess]:
        spec_path = self._folder / "proxies.json"
        spec_path.write_text(json.dumps(self._proxies), encoding="utf-8")
        proxies = self.processes.start_module(
            "proxies",
            "tcp_proxy",
            "--spec",
            spec_path,
            "--control-port",
            self._proxy_control_port,
            "--log",
            self._folder / "proxies.log",
        )
        return [proxies, *super()._start_standins()]

    def control_proxies(self, *names: str, **settings: Any) -> None:  # noqa: ANN401
        """Changes the fault settings of the named proxies."""
        self._had_link_faults = True
        document = {"names": list(names), "set": settings}
        post_control(self._proxy_control_port, document)

    def heal(self) -> None:
        """Ends all faults, resumes frozen nodes and restarts those that ended.

        Returns when all nodes serve again and accept runs.

        Raises:
            TimeoutError: The nodes do not recover in time.
        """
        had_link_faults = self._had_link_faults
        names = [item["name"] for item in self._proxies]
        faultless = {"cut": False, "silent": False, "silent_all": False}
        self.control_proxies(*names, delay_ms=0, one_way=None, **faultless)
        self.control_platform(outage=None, delay_s=0.0)
        self.control_backends(
            {"all": True},
            reply_fault=None,
            refuse_shed=False,
            slow_factor=1.0,
            down=False,
            leaving=False,
        )
        for name in ("backends", PLATFORM):
            self.processes.find(name).thaw()
        for node in self.nodes:
            node.process.thaw()
        for index, node in enumerate(self.nodes):
            if self._has_ended(node):
                self._restart_count += 1
                self.restart_node(index, f"again-{self._restart_count}")
        self.wait_serving()
        if had_link_faults:
            self._wait_for_stable_leases()
        # control_proxies, called above to end the faults, set the flag.
        self._had_link_faults = False
        for node in self.nodes:
            self._wait_until_runs_accepted(node)

    def _wait_for_stable_leases(self) -> None:
        """Waits until leases no longer expire because of faults that ended.

        A connection that a fault made unresponsive stays so until the nodes
        detect it. Leases renewed over it may expire in the meantime.
        """
        ends_at_s = time.monotonic() + READY_TIMEOUT_S
        stable_since_s = time.monotonic()
        while time.monotonic() < stable_since_s + STABLE_LEASES_S:
            if not all(self.is_settled(node) for node in self.nodes):
                stable_since_s = time.monotonic()
            if stable_since_s > ends_at_s:
                raise TimeoutError("the leases of the nodes keep expiring")
            time.sleep(POLL_PERIOD_S)

    def _wait_until_runs_accepted(self, node: NodeProcess) -> None:
        """Waits until a node reaches the platform and accepts runs."""
        ends_at_s = time.monotonic() + READY_TIMEOUT_S
        while self.run(node, make_key()).status != 200:
            if time.monotonic() > ends_at_s:
                raise TimeoutError(f"{node.node_id} does not accept runs")
            time.sleep(POLL_PERIOD_S)

    def _has_ended(self, node: NodeProcess) -> bool:
        """Returns whether a node has ended; waits if the node is leaving."""
        ends_at_s = time.monotonic() + STOP_TIMEOUT_S
        while time.monotonic() < ends_at_s:
            if node.process.returncode is not None:
                return True
            try:
                if not self.status(node)["is_leaving"]:
                    return False
            except OSError:
                pass
            time.sleep(POLL_PERIOD_S)
        raise TimeoutError(f"{node.node_id} is leaving but does not exit")
