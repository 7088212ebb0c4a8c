"""A deployment in which nodes connect through fault-injecting proxies."""

import pathlib
from typing import Final

from deployment import START_TIMEOUT_S, Deployment, RunningNode

from mulberrybay_testing.ports import HOST, free_port
from mulberrybay_testing.proxy_link import ProxySettings
from mulberrybay_testing.tcp_proxy import Proxy, ProxySpec
from mulberrybay_testing.waiting import wait_until

ZONES: Final = ("zone-a", "zone-b", "zone-c")
STORE: Final = "store"


class FaultyDeployment(Deployment):
    """A deployment with one replica of each service in each of three zones.

    Nodes reach the store and the backend servers through proxies.
    """

    zones = ZONES

    def __init__(self, folder: pathlib.Path) -> None:
        super().__init__(folder)
        self._proxies: dict[str, Proxy] = {}

    def _add_link(self, name: str, port: int) -> int:
        proxy = Proxy(ProxySpec(name, free_port(), HOST, port))
        self._proxies[name] = proxy
        self._loop.run(proxy.__aenter__())
        self._exit_stack.callback(
            lambda: self._loop.run(proxy.__aexit__(None, None, None))
        )
        return proxy.spec.listen_port

    def set_link_faults(self, name: str, settings: ProxySettings) -> None:
        """Sets the faults of the link to the store or to a backend server."""
        self._loop.run(self._proxies[name].apply(settings))

    def start_node_in_each_zone(self) -> None:
        """Starts one node in each zone and waits until all are ready."""
        for number, zone in enumerate(self.zones, 1):
            self.start_node(f"node-{number}", zone)
        self.wait_ready(START_TIMEOUT_S)

    def wait_ready(self, timeout_s: float) -> None:
        """Waits until every node is ready and has heard of all others."""

        def are_ready() -> bool:
            count = len(self.nodes)
            return all(
                node.is_ready() and node.known_node_count() == count
                for node in self.nodes
            )

        wait_until(are_ready, timeout_s, "all nodes are ready")

    def node(self, name: str) -> RunningNode:
        """Returns the running node with the given name."""
        return next(node for node in self.nodes if node.name == name)
