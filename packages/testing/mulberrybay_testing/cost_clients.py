"""Clients that measure query throughput and latency, with or without nodes."""

from __future__ import annotations

import http.client
import socket
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Final, NamedTuple

from mulberrybay_testing.deployment import Deployment
from mulberrybay_testing.deployment_access import NodeProcess

WORKER_COUNT: Final = 8
REFUSAL_RETRY_DELAY_S: Final = 0.1


class QueryLoadResult(NamedTuple):
    """The result of sending a number of queries.

    Attributes:
        elapsed_s: Time from the first request to the last answer.
        refused_count: Refusals, each followed by a retry.
    """

    elapsed_s: float
    refused_count: int


class QueryClient:
    """Sends queries one after the other over one persistent connection."""

    def __init__(self, port: int, path: str, headers: dict[str, str]) -> None:
        self._connection = http.client.HTTPConnection("127.0.0.1", port)
        self._path = path
        self._headers = headers
        self.refused_count = 0

    def send(self) -> float:
        """Sends a query and retries it after each refusal.

        Returns:
            The latency of the last attempt in seconds.

        Raises:
            RuntimeError: The answer is an error or misses shards.
        """
        started_at_s = time.perf_counter()
        self._connection.request("POST", self._path, b'"valve"', self._headers)
        answer = self._connection.getresponse()
        body = answer.read()
        latency_s = time.perf_counter() - started_at_s
        if answer.status == 503:
            self.refused_count += 1
            time.sleep(REFUSAL_RETRY_DELAY_S)
            return self.send()
        if answer.status != 200 or b'"missing_shards": [0' in body:
            raise RuntimeError(f"status {answer.status}: {body[:300]!r}")
        return latency_s


def make_query_client(node: NodeProcess) -> QueryClient:
    """Returns a client that sends field-search queries to a node."""
    return QueryClient(
        node.caller_port, "/v1/query/field-search", {"X-Deadline-Ms": "5000"}
    )


def send_queries(nodes: list[NodeProcess], query_count: int) -> QueryLoadResult:
    """Sends queries over several connections and waits for all answers."""

    def send_sequentially(client: QueryClient) -> None:
        for _ in range(query_count // WORKER_COUNT):
            client.send()

    clients = [
        make_query_client(nodes[index % len(nodes)])
        for index in range(WORKER_COUNT)
    ]
    started_at_s = time.perf_counter()
    with ThreadPoolExecutor(WORKER_COUNT) as pool:
        # Reading the results raises the exception of a failed worker.
        list(pool.map(send_sequentially, clients))
    elapsed_s = time.perf_counter() - started_at_s
    refused_count = sum(client.refused_count for client in clients)
    return QueryLoadResult(elapsed_s, refused_count)


class FanOut:
    """Sends a request directly to one backend server of each shard.

    Its latency is the baseline for queries through the nodes.
    """

    def __init__(self, deployment: Deployment) -> None:
        self._requests = []
        services: set[str] = set()
        for server in deployment.backends:
            if server["service"] not in services:
                address = ("127.0.0.1", server["port"])
                connection = socket.create_connection(address)
                request = encode_search_request(len(services))
                self._requests.append((connection, request))
                services.add(server["service"])

    def send(self) -> float:
        """Sends all requests and waits for all replies.

        Returns:
            The time until the last reply in seconds.

        Raises:
            RuntimeError: A reply is an error or incomplete.
        """
        started_at_s = time.perf_counter()
        for connection, request in self._requests:
            connection.sendall(request)
        for connection, _ in self._requests:
            data = connection.recv(65536)
            if not data.startswith(b"HTTP/1.1 200") or data[-1:] != b"}":
                raise RuntimeError(f"error or incomplete reply: {data!r}")
        return time.perf_counter() - started_at_s


def encode_search_request(shard: int) -> bytes:
    """Returns the HTTP request that a holder sends for a search."""
    return (
        "POST /v1/search HTTP/1.1\r\nHost: b\r\nX-Request-Id: direct\r\n"
        f"X-Deadline-Ms: 5000\r\nX-Index-Version: 1\r\nX-Shard: {shard}\r\n"
        'Content-Length: 7\r\n\r\n"valve"'
    ).encode()
