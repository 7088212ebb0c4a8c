"""Sends non-idempotent requests to a deployment and checks their history."""

from __future__ import annotations

import time
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Final

from mulberrybay_core.run_record import record_kind
from mulberrybay_testing.http_caller import make_key
from mulberrybay_testing.processes import ManagedProcess
from mulberrybay_testing.proxied_deployment import ProxiedDeployment
from mulberrybay_testing.run_history import RunCall, RunHistory, check_history
from mulberrybay_testing.waiting import wait_until

WAIT_S: Final = 8.0
THREAD_COUNT: Final = 32


class Bookings:
    """Sends non-idempotent requests to one deployment and records them.

    On exit, the context manager waits for the requests that are in progress.
    """

    def __init__(self, deployment: ProxiedDeployment) -> None:
        self.deployment = deployment
        self.history = RunHistory()
        self._pool = ThreadPoolExecutor(THREAD_COUNT)

    def __enter__(self) -> Bookings:
        """Returns this object, which has no requests yet."""
        return self

    def __exit__(self, *_: object) -> None:
        """Waits for the requests started in other threads."""
        self._pool.shutdown()

    def send(
        self,
        index: int,
        key: str | None = None,
        body: object = "van",
        deadline_ms: int = 2000,
    ) -> RunCall:
        """Sends a request to a node, with a new idempotency key by default."""
        node = self.deployment.nodes[index]
        return self.history.run(
            node.node_id,
            node.caller_port,
            key or make_key(),
            body,
            deadline_ms,
        )

    def start(
        self,
        index: int,
        key: str,
        body: object = "van",
        deadline_ms: int = 2000,
    ) -> Future[RunCall]:
        """Sends a request to a node from a thread of the pool."""
        return self._pool.submit(self.send, index, key, body, deadline_ms)

    def run(self, index: int, key: str, body: object = "van") -> RunCall:
        """Sends a request and retries while the node can't reach the platform.

        Returns the last outcome, after at most `WAIT_S` of retries.
        """
        ends_at_s = time.monotonic() + WAIT_S
        entry = self.send(index, key, body)
        while entry.kind == "platform" and time.monotonic() < ends_at_s:
            time.sleep(entry.retry_after_s or 0.0)
            entry = self.send(index, key, body)
        return entry

    def effect_count(self, key: str) -> int:
        """Returns how many effects the backend servers logged for a key."""
        events = self.deployment.backend_events("effect")
        return sum(event["idempotency_key"] == key for event in events)

    def record_state(self, key: str) -> str | None:
        """Returns the state of a key's run record, or None if there is none.

        The record is read directly from the platform, not through a node.
        """
        kind = record_kind(key)
        answer = self.deployment.get_object(kind, f"route-planner:{key}")
        if answer.status != 200:
            return None
        state: str = answer.json()["value"]["state"]
        return state

    def wait_for_record_state(self, key: str, state: str) -> None:
        """Waits until a key's run record is in a given state."""
        wait_until(
            lambda: self.record_state(key) == state,
            WAIT_S,
            f"record {state!r} of {key}",
        )

    def process(self, index: int) -> ManagedProcess:
        """Returns the process of a node."""
        return self.deployment.nodes[index].process

    def problems(self) -> list[str]:
        """Checks all outcomes so far against the backend servers' log."""
        keys = {entry.key for entry in self.history.calls}
        events = self.deployment.backend_events("effect")
        own_events = [
            event for event in events if event["idempotency_key"] in keys
        ]
        return check_history(self.history.calls, own_events)
