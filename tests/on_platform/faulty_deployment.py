"""A deployment in which nodes connect through fault-injecting proxies."""

import pathlib
from typing import Final

from deployment import START_TIMEOUT_S, RunningNode
from linked_deployment import LinkedDeployment
from standins import BackendStandIn

from mulberrybay_testing.proxy_link import ProxySettings
from mulberrybay_testing.tcp_proxy import Proxy
from mulberrybay_testing.uncontrolled_callers import SETTINGS
from mulberrybay_testing.waiting import wait_until

ZONES: Final = ("zone-a", "zone-b", "zone-c")
STORE: Final = "store"


# With more nodes, most follow only some of the others.
MAX_MESH_NODE_COUNT: Final = 12


class FaultyDeployment(LinkedDeployment):
    """A deployment with one replica of each service in each of three zones.

    Nodes reach the store and the backend servers through proxies.
    """

    zones = ZONES
    extra_settings = SETTINGS

    def __init__(self, folder: pathlib.Path) -> None:
        super().__init__(folder)
        self._proxies: dict[str, Proxy] = {}

    def _add_link(self, name: str, port: int) -> int:
        proxy = self._start_proxy(name, port)
        self._proxies[name] = proxy
        return proxy.spec.listen_port

    async def _set_running(
        self, backend: BackendStandIn, is_running: bool
    ) -> None:
        proxy = self._proxies[backend.server_id]
        await proxy.apply({"target_down": not is_running})
        await super()._set_running(backend, is_running)

    def set_link_faults(self, name: str, settings: ProxySettings) -> None:
        """Sets the faults of the links to the store or to a backend server."""
        for proxy_name, proxy in self._proxies.items():
            if name in (proxy_name, proxy_name.partition(" ")[0]):
                self._loop.run(proxy.apply(settings))

    def silence_open_connections(self, name: str) -> None:
        """Makes the open links to the store or a server silent for good."""
        self.set_link_faults(name, {"silent": True})

    def start_nodes_in_each_zone(self, count: int) -> None:
        """Starts nodes in each zone and waits until all are ready."""
        for number in range(len(self.zones) * count):
            zone = self.zones[number % len(self.zones)]
            self.start_node(f"node-{number + 1}", zone)
        self.wait_ready(START_TIMEOUT_S * (1 + count / 8))

    def wait_ready(self, timeout_s: float) -> None:
        """Waits until every node is ready and has heard of all others."""

        def are_ready() -> bool:
            count = len(self.nodes)
            return all(
                node.is_ready()
                and (
                    count > MAX_MESH_NODE_COUNT
                    or node.known_node_count() == count
                )
                for node in self.nodes
            )

        wait_until(are_ready, timeout_s, "all nodes are ready")

    def node(self, name: str) -> RunningNode:
        """Returns the running node with the given name."""
        return next(node for node in self.nodes if node.name == name)
