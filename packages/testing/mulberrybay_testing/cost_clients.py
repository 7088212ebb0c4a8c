"""Clients that measure latency: one query at a time, or a bare fan-out."""

from __future__ import annotations

import http.client
import socket
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Final, NamedTuple

from mulberrybay_testing.deployment import Deployment
from mulberrybay_testing.deployment_access import NodeProcess

WORKER_COUNT: Final = 8
REFUSED_PAUSE_S: Final = 0.1


class LoadResult(NamedTuple):
    """How a number of queries went.

    Attributes:
        took_s: From the first to the last.
        refused_count: Refusals after which a query was sent again.
    """

    took_s: float
    refused_count: int


class QueryClient:
    """Sends queries one after the other on a kept connection."""

    def __init__(self, port: int, path: str, headers: dict[str, str]) -> None:
        self._connection = http.client.HTTPConnection("127.0.0.1", port)
        self._path = path
        self._headers = headers
        self.refused_count = 0

    def send(self) -> float:
        """Sends a request until it is not refused; returns the last latency.

        Raises:
            RuntimeError: The answer is not whole.
        """
        began_at_s = time.perf_counter()
        self._connection.request("POST", self._path, b'"valve"', self._headers)
        answer = self._connection.getresponse()
        body = answer.read()
        latency_s = time.perf_counter() - began_at_s
        if answer.status == 503:
            self.refused_count += 1
            time.sleep(REFUSED_PAUSE_S)
            return self.send()
        if answer.status != 200 or b'"missing_shards": [0' in body:
            raise RuntimeError(f"status {answer.status}: {body[:300]!r}")
        return latency_s


def make_client(node: NodeProcess) -> QueryClient:
    """Returns a client of a node's queries."""
    return QueryClient(
        node.caller_port, "/v1/query/field-search", {"X-Deadline-Ms": "5000"}
    )


def send_queries(nodes: list[NodeProcess], query_count: int) -> LoadResult:
    """Sends queries from several connections until all are answered."""

    def work(client: QueryClient) -> None:
        for _ in range(query_count // WORKER_COUNT):
            client.send()

    clients = [
        make_client(nodes[index % len(nodes)]) for index in range(WORKER_COUNT)
    ]
    began_at_s = time.perf_counter()
    with ThreadPoolExecutor(WORKER_COUNT) as pool:
        # The list raises what a worker raised.
        list(pool.map(work, clients))
    took_s = time.perf_counter() - began_at_s
    refused_count = sum(client.refused_count for client in clients)
    return LoadResult(took_s, refused_count)


class FanOut:
    """Sends a request to a backend server of each shard, without the tier."""

    def __init__(self, deployment: Deployment) -> None:
        self._exchanges = []
        services: set[str] = set()
        for server in deployment.backends:
            if server["service"] not in services:
                address = ("127.0.0.1", server["port"])
                connection = socket.create_connection(address)
                request = encode_search(len(services))
                self._exchanges.append((connection, request))
                services.add(server["service"])

    def send(self) -> float:
        """Sends all requests at once; returns when the last reply is there.

        Raises:
            RuntimeError: A reply is not whole.
        """
        began_at_s = time.perf_counter()
        for connection, request in self._exchanges:
            connection.sendall(request)
        for connection, _ in self._exchanges:
            data = connection.recv(65536)
            if not data.startswith(b"HTTP/1.1 200") or data[-1:] != b"}":
                raise RuntimeError(f"not a whole reply: {data!r}")
        return time.perf_counter() - began_at_s


def encode_search(shard: int) -> bytes:
    """Returns a search as a holder sends it."""
    return (
        "POST /v1/search HTTP/1.1\r\nHost: b\r\nX-Request-Id: direct\r\n"
        f"X-Deadline-Ms: 5000\r\nX-Index-Version: 1\r\nX-Shard: {shard}\r\n"
        'Content-Length: 7\r\n\r\n"valve"'
    ).encode()
