"""Nodes that lose their links to all backend servers, while others keep theirs."""

import contextlib
import pathlib
import time
from collections.abc import Iterator
from typing import Final

import pytest
from deployment import START_TIMEOUT_S, Deployment, RunningNode
from standins import StoreStandIn, serve

from mulberrybay_testing.http_server import (
    AcceptAllHandler,
    Request,
    Response,
)
from mulberrybay_testing.ports import HOST, free_port
from mulberrybay_testing.tcp_proxy import Proxy, ProxySpec
from mulberrybay_testing.waiting import wait_until

# The users allow more, 4 s, before nodes must have noticed.
NOTICE_TIMEOUT_S: Final = 3.0
REQUESTS: Final = (
    ("/records/1", "GET"),
    ("/search/x", "GET"),
    ("/bookings/1", "POST"),
)


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
    """A deployment in which each node has its own links to backend servers."""

    def __init__(self, folder: pathlib.Path) -> None:
        super().__init__(folder)
        self._links: dict[str, list[Proxy]] = {}

    def start_node(self, name: str, zone: str = "zone-a") -> RunningNode:
        """Starts a node behind links of its own."""
        backends = [
            one for several in self.backends.values() for one in several
        ]
        proxies = [
            Proxy(ProxySpec(name, free_port(), HOST, backend.port))
            for backend in backends
        ]
        for proxy in proxies:
            self._loop.run(proxy.__aenter__())
            self._exit_stack.callback(
                lambda proxy=proxy: self._loop.run(
                    proxy.__aexit__(None, None, None)
                )
            )
        self._links[name] = proxies
        ports = {
            proxy.spec.target_port: proxy.spec.listen_port for proxy in proxies
        }
        port = free_port()
        self._loop.run(serve(_NodeStore(self.store, ports), port))  # type: ignore[arg-type]
        self._store_connect_port = port
        return super().start_node(name, zone)

    def set_cut(self, node: RunningNode, *, is_cut: bool) -> None:
        """Cuts a node off from all backend servers, or ends that."""
        for proxy in self._links[node.name]:
            self._loop.run(proxy.apply({"cut": is_cut}))

    def ready_nodes(self, count: int) -> list[RunningNode]:
        """Starts nodes, and waits until all have links to the servers."""
        nodes = self.start_nodes(count)
        for node in nodes:
            for path, method in REQUESTS:
                wait_until(
                    lambda node=node, path=path, method=method: (  # type: ignore[misc]
                        node.send_request(path, method=method).status == 200
                    ),
                    START_TIMEOUT_S,
                    "the node serves",
                )
        return nodes


@pytest.fixture
def linked(tmp_path: pathlib.Path) -> Iterator[LinkedDeployment]:
    with LinkedDeployment(tmp_path) as deployment:
        yield deployment


def advertises(asked: RunningNode, node: RunningNode) -> bool:
    return node.address in asked.advertised_addresses()


def arrival_count(deployment: Deployment, service: str, path: str) -> int:
    return sum(
        arrival.path == path and arrival.was_executed
        for backend in deployment.backends[service]
        for arrival in backend.arrivals
    )


def test_callers_of_a_node_without_servers_are_served_by_the_others(
    linked: LinkedDeployment,
) -> None:
    nodes = linked.ready_nodes(3)
    cut = next(node for node in nodes if advertises(nodes[0], node))
    others = [node for node in nodes if node is not cut]

    linked.set_cut(cut, is_cut=True)

    for asked in nodes:
        wait_until(
            lambda asked=asked: not advertises(asked, cut),  # type: ignore[misc]
            NOTICE_TIMEOUT_S,
            "the node without servers is not named any more",
        )
        assert all(advertises(asked, other) for other in others)
    for number in range(10):
        for path, method in REQUESTS:
            answer = cut.send_request(
                f"{path}-{number}", method=method, request_id=f"id-{number}"
            )
            assert answer.status == 200
            assert answer.headers["x-request-id"] == f"id-{number}"
        assert arrival_count(linked, "bookings", f"/bookings/1-{number}") == 1
    assert "no backend server can be reached" in linked.messages(cut)

    linked.set_cut(cut, is_cut=False)

    wait_until(
        lambda: advertises(others[0], cut),
        NOTICE_TIMEOUT_S,
        "it is named again",
    )
    assert cut.send_request("/records/9").status == 200


def test_nodes_that_all_lack_servers_stay_named_and_return_by_themselves(
    linked: LinkedDeployment,
) -> None:
    nodes = linked.ready_nodes(3)
    named_count = len(nodes[0].advertised_addresses())

    for node in nodes:
        linked.set_cut(node, is_cut=True)
    for node in nodes:
        wait_until(
            lambda node=node: (  # type: ignore[misc]
                "no backend server can be reached" in linked.messages(node)
            ),
            NOTICE_TIMEOUT_S,
            "the node has noticed",
        )
    time.sleep(1.0)
    for node in nodes:
        assert len(node.advertised_addresses()) == named_count
        assert node.send_request("/records/1").status in (502, 503, 504)

    for node in nodes:
        linked.set_cut(node, is_cut=False)

    for node in nodes:
        wait_until(
            lambda node=node: node.send_request("/records/1").status == 200,  # type: ignore[misc]
            NOTICE_TIMEOUT_S,
            "the node serves again",
        )


def test_servers_that_are_down_take_no_node_out_of_the_directory(
    linked: LinkedDeployment,
) -> None:
    nodes = linked.ready_nodes(2)

    for service in ("records", "bookings"):
        for backend in linked.backends[service]:
            linked.stop_listening(backend)
    ends_at_s = time.monotonic() + 2.0
    while time.monotonic() < ends_at_s:
        for node in nodes:
            with contextlib.suppress(TimeoutError):
                node.send_request("/records/1", deadline_ms=300)

    for node in nodes:
        assert node.send_request("/search/x").status == 200
        assert len(node.advertised_addresses()) == 2
