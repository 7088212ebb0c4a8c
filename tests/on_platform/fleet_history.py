"""What callers and backend servers saw, and which faults were in force."""

import threading
import time
from collections import defaultdict
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final, NamedTuple

from standins import Arrival, BackendStandIn

# The platform's `contact_ms`, scaled to the deployment's times: rules with a
# bound hold for a node that was left alone for that long.
CONTACT_S: Final = 3.0


class Asked(NamedTuple):
    """One request of a caller, and its end.

    Attributes:
        kind: What was asked: a search, a record, a booking or a revision.
        node_name: The node asked.
        lifetime: The node's process at the time.
        status: The answer's; 0 if the connection ended without one.
        revision: The configuration that the path belongs to; 0 for none.
    """

    request_id: str
    kind: str
    path: str
    node_name: str
    lifetime: int
    sent_at_s: float
    ended_at_s: float
    status: int
    headers: dict[str, str]
    body: bytes
    revision: int


class Disruption(NamedTuple):
    """A fault, from when to when."""

    where: str
    kind: str
    began_at_s: float
    ended_at_s: float


class Withdrawn(NamedTuple):
    """A time in which a server must get no new work, by the store.

    Attributes:
        server_id: The server.
        rule: What withdrew it.
        began_at_s: When the store took the change.
        ended_at_s: When the change was taken back.
    """

    server_id: str
    rule: str
    began_at_s: float
    ended_at_s: float


class FleetHistory:
    """Collects from several threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.asked: list[Asked] = []
        self.disruptions: list[Disruption] = []
        self._open: dict[tuple[str, str], float] = {}
        self.withdrawn: list[Withdrawn] = []
        self.configured: dict[int, float] = {}

    def add(self, asked: Asked) -> None:
        """Notes the end of a request."""
        with self._lock:
            self.asked.append(asked)

    def begin(self, where: str, kind: str) -> None:
        """Notes the begin of a fault."""
        with self._lock:
            self._open.setdefault((where, kind), time.monotonic())

    def end(self, where: str, kind: str) -> None:
        """Notes the end of a fault."""
        with self._lock:
            began_at_s = self._open.pop((where, kind), None)
            if began_at_s is not None:
                self.disruptions.append(
                    Disruption(where, kind, began_at_s, time.monotonic())
                )

    @contextmanager
    def during(self, where: str, kind: str) -> Iterator[None]:
        """Notes a fault that lasts as long as the block."""
        self.begin(where, kind)
        try:
            yield
        finally:
            self.end(where, kind)

    def is_calm(self, where: str, from_s: float, to_s: float) -> bool:
        """Whether nothing disrupted a place in a time and just before it."""
        return not any(
            item.where == where
            and item.began_at_s <= to_s
            and item.ended_at_s >= from_s - CONTACT_S
            for item in self.disruptions
        )


class ArrivalIndex:
    """The arrivals at all backend servers by request."""

    def __init__(self, backends: dict[str, list[BackendStandIn]]) -> None:
        self.by_request: defaultdict[
            str, list[tuple[BackendStandIn, Arrival]]
        ] = defaultdict(list)
        for servers in backends.values():
            for server in servers:
                for arrival in server.arrivals:
                    self.by_request[arrival.request_id].append(
                        (server, arrival)
                    )

    def runs(self, request_id: str) -> int:
        """Returns how often a request has run."""
        return sum(
            arrival.has_run for _, arrival in self.by_request[request_id]
        )
