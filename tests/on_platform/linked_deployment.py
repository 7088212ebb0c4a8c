"""A deployment in which each node has its own links to backend servers."""

import pathlib

from deployment import Deployment, RunningNode
from standins import BackendStandIn, StoreStandIn

from mulberrybay_testing.http_server import (
    AcceptAllHandler,
    HttpServer,
    Request,
    Response,
)
from mulberrybay_testing.ports import HOST, free_port
from mulberrybay_testing.tcp_proxy import Proxy, ProxySpec


class _NodeStore(AcceptAllHandler):
    """The store as one node sees it: servers are behind links of its own."""

    def __init__(self, store: StoreStandIn, ports: dict[int, int]) -> None:
        self._store = store
        self._ports = ports

    async def handle(self, request: Request) -> Response:
        """Answers one call, with the ports of the node's links."""
        response = await self._store.handle(request)
        body = response.body
        for port, link_port in self._ports.items():
            body = body.replace(
                f"{HOST}:{port}".encode(), f"{HOST}:{link_port}".encode()
            )
        return response._replace(body=body)


class LinkedDeployment(Deployment):
    """A deployment in which each node has its own links to backend servers.

    Attributes:
        has_node_links: Whether nodes have them; without, all share one link to
            each server.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        super().__init__(folder)
        self.has_node_links = True
        self._node_links: dict[str, list[Proxy]] = {}
        self._store_ports: dict[str, int] = {}

    def _start_proxy(self, name: str, port: int) -> Proxy:
        proxy = Proxy(ProxySpec(name, free_port(), HOST, port))
        self._loop.run(proxy.__aenter__())
        self._exit_stack.callback(
            lambda: self._loop.run(proxy.__aexit__(None, None, None))
        )
        return proxy

    def _start(self, name: str, ports: list[int], zone: str) -> RunningNode:
        if self.has_node_links:
            if name not in self._node_links:
                self._link_node(name)
            self._store_connect_port = self._store_ports[name]
        return super()._start(name, ports, zone)

    def _link_node(self, name: str) -> None:
        backends = [one for some in self.backends.values() for one in some]
        proxies = [
            self._start_proxy(name, backend.connect_port)
            for backend in backends
        ]
        self._node_links[name] = proxies
        ports = {
            proxy.spec.target_port: proxy.spec.listen_port for proxy in proxies
        }
        port = free_port()
        server = HttpServer(HOST, port, _NodeStore(self.store, ports))
        self._loop.run(server.listen())
        self._store_ports[name] = self._add_link(f"store of {name}", port)

    async def _set_running(
        self, backend: BackendStandIn, is_running: bool
    ) -> None:
        """Lets the links to a server that is down refuse connections."""
        for proxies in self._node_links.values():
            for proxy in proxies:
                if proxy.spec.target_port == backend.connect_port:
                    await proxy.apply({"target_down": not is_running})

    def set_cut(
        self,
        node_name: str,
        *,
        is_cut: bool,
        drops_connections: bool = False,
    ) -> None:
        """Cuts a node off from all backend servers, or ends that.

        Args:
            node_name: The node.
            is_cut: Whether new connections and bytes hang.
            drops_connections: Whether open connections are reset.
        """
        for proxy in self._node_links[node_name]:
            self._loop.run(
                proxy.apply({"cut": is_cut, "drop_existing": drops_connections})
            )
