"""Checks the history of non-idempotent requests: callers against effects.

Only the callers' answers and the backend servers' logs are read, never the
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


class RunTry(NamedTuple):
    """One request of a caller and what it was told.

    Attributes:
        key: The idempotency key.
        body: What was asked.
        node_id: The node that was asked.
        outcome: What the answer said; "unknown" when none came.
        result: The result of a request that ran.
        status: The HTTP status; 0 when no answer came.
        kind: The kind of error; empty for none.
        latency_s: From the request to the answer.
        retry_after_s: When to come back, if the answer said so.
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
    """Collects tries from many threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.tries: list[RunTry] = []

    def run(
        self,
        node_id: str,
        port: int,
        key: str,
        body: object = "van",
        deadline_ms: int = 2000,
        class_name: str = "route-planner",
    ) -> RunTry:
        """Sends a request to a node and records what came of it."""
        began_at_s = time.monotonic()
        entry = RunTry(key, body, node_id, "unknown")
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
            # No connection was made, so nothing was sent.
            entry = entry._replace(outcome="not_run", kind="refused")
        except (OSError, ValueError, http.client.HTTPException):
            pass
        entry = entry._replace(latency_s=time.monotonic() - began_at_s)
        with self._lock:
            self.tries.append(entry)
        return entry

    def outcome_counts(self) -> Counter[str]:
        """Returns how many tries ended in which way."""
        return Counter(entry.outcome for entry in self.tries)


def _read_answer(
    entry: RunTry, status: int, document: dict[str, object]
) -> RunTry:
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
    tries: Iterable[RunTry], events: Iterable[Event]
) -> list[str]:
    """Returns what is wrong with a history; empty if it is sound.

    A key has at most one effect. If a try of it says "ran", it has exactly
    one, and all such tries tell the same result. If every try of it says
    "not run", it has none: an effect needs a try that does not deny it.
    """
    effects = Counter(
        event["idempotency_key"]
        for event in events
        if event["event"] == "effect"
    )
    by_key: dict[str, list[RunTry]] = defaultdict(list)
    for entry in tries:
        by_key[entry.key].append(entry)
    problems = [
        f"{key}: an effect without a try" for key in set(effects) - set(by_key)
    ]
    for key, entries in by_key.items():
        problems += _check_key(key, entries, effects[key])
    return problems


def _check_key(key: str, entries: list[RunTry], effect_count: int) -> list[str]:
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
        problems.append(f"{key}: two results of one run")
    if len({json.dumps(entry.body) for entry in ran}) > 1:
        problems.append(f"{key}: ran with two bodies")
    return problems
