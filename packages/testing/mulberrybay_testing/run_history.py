"""Records non-idempotent requests and checks their answers against the effects.

The checks rely only on the answers and on the backend servers' logs, never on
counters of the nodes.
"""

from __future__ import annotations

import http.client
import json
import threading
import time
from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import Literal, NamedTuple

from mulberrybay_testing.event_log import Event
from mulberrybay_testing.http_caller import send_request

RunOutcome = Literal["ran", "not_run", "unknown"]
CALLER_TIMEOUT_S = 8.0


class RunCall(NamedTuple):
    """One request of a caller and its outcome as the caller saw it.

    Attributes:
        key: The idempotency key.
        body: The body of the request.
        node_id: The node that received the request.
        outcome: The run state in the answer; "unknown" if there was no answer.
        result: The result of a request that ran.
        status: The HTTP status; 0 if there was no answer.
        kind: The kind of error; empty if there was none.
        latency_s: Time from the request to the answer.
        retry_after_s: Delay after which the answer asks for a retry; None if
            the answer gives none.
    """

    key: str
    body: object
    node_id: str
    outcome: RunOutcome
    result: object = None
    status: int = 0
    kind: str = ""
    latency_s: float = 0.0
    retry_after_s: float | None = None


class RunHistory:
    """Sends requests from several threads and records them."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.calls: list[RunCall] = []

    def run(
        self,
        node_id: str,
        port: int,
        key: str,
        body: object = "van",
        deadline_ms: int = 2000,
        class_name: str = "route-planner",
    ) -> RunCall:
        """Sends a request to a node, records its outcome and returns it.

        No error is raised if the connection fails or the answer is malformed.
        """
        started_at_s = time.monotonic()
        entry = RunCall(key, body, node_id, "unknown")
        try:
            answer = send_request(
                port,
                "POST",
                f"/v1/run/{class_name}",
                json.dumps(body).encode(),
                {"X-Deadline-Ms": str(deadline_ms), "Idempotency-Key": key},
                CALLER_TIMEOUT_S,
            )
            entry = _read_answer(entry, answer.status, answer.json())
        except ConnectionRefusedError:
            # Nothing was sent, because there was no connection.
            entry = entry._replace(outcome="not_run", kind="refused")
        except (OSError, ValueError, http.client.HTTPException):
            pass
        entry = entry._replace(latency_s=time.monotonic() - started_at_s)
        with self._lock:
            self.calls.append(entry)
        return entry

    def outcome_counts(self) -> Counter[str]:
        """Returns the number of requests with each outcome."""
        return Counter(entry.outcome for entry in self.calls)


def _read_answer(
    entry: RunCall, status: int, document: dict[str, object]
) -> RunCall:
    error = document.get("error")
    if not isinstance(error, dict):
        return entry._replace(
            outcome="ran", result=document["result"], status=status
        )
    return entry._replace(
        outcome=error["run_state"],
        status=status,
        kind=error["kind"],
        retry_after_s=error["retry_after_s"],
    )


def check_history(
    calls: Iterable[RunCall], events: Iterable[Event]
) -> list[str]:
    """Checks that each idempotency key had the effects that its answers state.

    A key has at most one effect. If any request with the key was answered with
    "ran", it has exactly one effect, and all such requests have the same body
    and the same result. If all requests with the key were answered with
    "not_run", it has no effect.

    Args:
        calls: The requests and their outcomes.
        events: Log events of the backend servers.

    Returns:
        A description of each problem; empty if there is none.
    """
    effects = Counter(
        event["idempotency_key"]
        for event in events
        if event["event"] == "effect"
    )
    by_key: dict[str, list[RunCall]] = defaultdict(list)
    for entry in calls:
        by_key[entry.key].append(entry)
    problems = [
        f"{key}: an effect without a request"
        for key in set(effects) - set(by_key)
    ]
    for key, entries in by_key.items():
        problems += _check_key(key, entries, effects[key])
    return problems


def _check_key(
    key: str, entries: list[RunCall], effect_count: int
) -> list[str]:
    problems = []
    outcomes = {entry.outcome for entry in entries}
    if effect_count > 1:
        problems.append(f"{key}: {effect_count} effects")
    if "ran" in outcomes and effect_count != 1:
        problems.append(f"{key}: ran, but {effect_count} effects")
    if outcomes == {"not_run"} and effect_count:
        problems.append(f"{key}: not run, but {effect_count} effects")
    ran = [entry for entry in entries if entry.outcome == "ran"]
    if len({json.dumps(entry.result) for entry in ran}) > 1:
        problems.append(f"{key}: answers with different results")
    if len({json.dumps(entry.body) for entry in ran}) > 1:
        problems.append(f"{key}: ran with different bodies")
    return problems
