"""Records the requests of callers and the faults injected meanwhile."""

import threading
import time
from collections import defaultdict
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final, NamedTuple

from standins import Arrival, BackendStandIn

# The platform's `contact_ms`, scaled to the deployment's times. Rules with a
# time limit apply only to a component without faults for that long.
CONTACT_S: Final = 3.0


class CallerRequest(NamedTuple):
    """One request of a caller and its outcome.

    Attributes:
        kind: "search", "record", "booking" or "revision" (a request on a
            route that only one configuration revision has).
        node_name: The node to which the request was sent.
        node_pid: The id of the node's process at the time.
        status: The answer's status; 0 if the connection ended without one.
        revision: The configuration revision of the route; 0 for routes that
            every revision has.
    """

    request_id: str
    kind: str
    path: str
    node_name: str
    node_pid: int
    sent_at_s: float
    ended_at_s: float
    status: int
    headers: dict[str, str]
    body: bytes
    revision: int


class Disruption(NamedTuple):
    """A fault that has ended.

    Attributes:
        component: A node, a backend server, a zone or the store.
        kind: The kind of fault.
        began_at_s: When the fault began.
        ended_at_s: When the fault ended.
    """

    component: str
    kind: str
    began_at_s: float
    ended_at_s: float


class Withdrawal(NamedTuple):
    """A period during which the store tells nodes not to use a server.

    Attributes:
        server_id: The server.
        reason: "drain", "remove" or "evacuate".
        began_at_s: When the store applied the change.
        ended_at_s: When the change was reverted.
    """

    server_id: str
    reason: str
    began_at_s: float
    ended_at_s: float


class NamedLimit(NamedTuple):
    """A period during which a server names a limit of its rate.

    Attributes:
        server_id: The server.
        per_s: The limit.
        began_at_s: When its replies began to name it.
        ended_at_s: When they ended to do so.
    """

    server_id: str
    per_s: float
    began_at_s: float
    ended_at_s: float


class FleetHistory:
    """Collects requests and faults; safe to use from several threads.

    Attributes:
        requests: The requests that have ended.
        disruptions: The faults that have ended.
        withdrawals: The withdrawals that have ended.
        limits: The limits that have ended.
        configured_at_s: When each configuration revision was written.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.requests: list[CallerRequest] = []
        self.disruptions: list[Disruption] = []
        self._active: dict[tuple[str, str], float] = {}
        self.withdrawals: list[Withdrawal] = []
        self.limits: list[NamedLimit] = []
        self.configured_at_s: dict[int, float] = {}

    def add(self, request: CallerRequest) -> None:
        """Records a request that has ended."""
        with self._lock:
            self.requests.append(request)

    def begin(self, component: str, kind: str) -> None:
        """Records the beginning of a fault."""
        with self._lock:
            self._active.setdefault((component, kind), time.monotonic())

    def end(self, component: str, kind: str) -> None:
        """Records the end of a fault; does nothing if none of it is active."""
        with self._lock:
            began_at_s = self._active.pop((component, kind), None)
            if began_at_s is not None:
                self.disruptions.append(
                    Disruption(component, kind, began_at_s, time.monotonic())
                )

    @contextmanager
    def during(self, component: str, kind: str) -> Iterator[None]:
        """Records a fault that lasts for the duration of the block."""
        self.begin(component, kind)
        try:
            yield
        finally:
            self.end(component, kind)

    def is_undisturbed(
        self, component: str, from_s: float, to_s: float
    ) -> bool:
        """Whether a component had no fault in a period and just before it.

        The time before it is `CONTACT_S`. Only faults that have ended are
        considered.
        """
        return not any(
            item.component == component
            and item.began_at_s <= to_s
            and item.ended_at_s >= from_s - CONTACT_S
            for item in self.disruptions
        )


class ArrivalIndex:
    """Arrivals at all backend servers, indexed by request id."""

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

    def execution_count(self, request_id: str) -> int:
        """Returns how many times a request was executed."""
        return sum(
            arrival.was_executed for _, arrival in self.by_request[request_id]
        )
