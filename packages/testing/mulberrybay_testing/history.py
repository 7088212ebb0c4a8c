"""Records what callers saw and checks it against the stand-ins' logs.

The checks parse hits and log events themselves; no counter of a node is used.
"""

from __future__ import annotations

import http.client
import itertools
import json
import threading
import time
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from typing import Any, Final, NamedTuple

from mulberrybay_testing.backend_model import expected_hits
from mulberrybay_testing.deployment import Deployment
from mulberrybay_testing.deployment_access import NodeProcess
from mulberrybay_testing.event_log import Event
from mulberrybay_testing.http_caller import send_request
from mulberrybay_testing.waiting import wait_until

PAUSE_S: Final = 0.01
CALLER_TIMEOUT_S: Final = 4.0


class QueryRecord(NamedTuple):
    """One query as its caller saw it; status 0 if there was no answer."""

    node_id: str
    request_id: str
    body: bytes
    started_at_s: float
    ended_at_s: float
    status: int
    document: Mapping[str, Any]


def ask(
    node: NodeProcess,
    class_name: str,
    request_id: str,
    body: bytes,
    deadline_ms: int = 1000,
) -> QueryRecord:
    """Sends one query and records what became of it."""
    started_at_s = time.time()
    status, document = 0, {}
    try:
        answer = send_request(
            node.caller_port,
            "POST",
            f"/v1/query/{class_name}",
            body,
            {"X-Deadline-Ms": str(deadline_ms), "X-Request-Id": request_id},
            timeout_s=CALLER_TIMEOUT_S,
        )
        status, document = answer.status, answer.json()
    except (OSError, http.client.HTTPException, ValueError):
        pass
    return QueryRecord(
        node.node_id,
        request_id,
        body,
        started_at_s,
        time.time(),
        status,
        document,
    )


class CallerLoad:
    """Callers that send queries until the context ends."""

    def __init__(
        self,
        deployment: Deployment,
        class_name: str = "field-search",
        *,
        caller_count: int = 6,
        deadline_ms: int = 1000,
        node_indexes: Sequence[int] = (),
        pause_s: float = PAUSE_S,
    ) -> None:
        """Plans the load.

        Args:
            deployment: Whose nodes are asked.
            class_name: The class of work.
            caller_count: How many callers ask at once.
            deadline_ms: The deadline of each query.
            node_indexes: Which nodes are asked in turn; all by default.
            pause_s: Between an answer and the caller's next query.
        """
        self.records: list[QueryRecord] = []
        self._deployment = deployment
        self._class_name = class_name
        self._deadline_ms = deadline_ms
        self._node_indexes = node_indexes or range(len(deployment.nodes))
        self._pause_s = pause_s
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._ask_in_turn, args=(index,))
            for index in range(caller_count)
        ]

    def __enter__(self) -> CallerLoad:
        """Starts the callers."""
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        """Stops the callers after their present queries."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _ask_in_turn(self, caller: int) -> None:
        for number in itertools.count():
            if self._stopping.wait(self._pause_s):
                return
            turn = (caller + number) % len(self._node_indexes)
            node = self._deployment.nodes[self._node_indexes[turn]]
            request_id = f"{id(self):x}-{caller}-{number}"
            body = json.dumps(f"{caller}/{number}").encode()
            record = ask(
                node, self._class_name, request_id, body, self._deadline_ms
            )
            self.records.append(record)

    def answered(self) -> list[QueryRecord]:
        """Returns the queries that were answered with hits."""
        return [item for item in self.records if item.status == 200]

    def wait_answers(
        self,
        count: int,
        timeout_s: float = 10.0,
        matches: Callable[[QueryRecord], bool] = lambda record: True,
    ) -> None:
        """Waits for this many further answers that match."""

        def matching_count() -> int:
            return sum(matches(item) for item in self.answered())

        target = matching_count() + count
        wait_until(
            lambda: matching_count() >= target, timeout_s, f"{count} answers"
        )


def answer_problems(
    records: Iterable[QueryRecord],
    shard_counts: Mapping[int, int],
    empty_shards: Collection[int] = (),
) -> list[str]:
    """Checks that each answer is whole, its caller's own and of one snapshot.

    Args:
        records: What the callers saw.
        shard_counts: The number of shards of each index version.
        empty_shards: Shards whose replies have no hits.
    """
    problems = []
    for record in records:
        if record.status == 200:
            problems += [
                f"{record.request_id}: {problem}"
                for problem in _answer_problems(
                    record, shard_counts, empty_shards
                )
            ]
    return problems


def _answer_problems(
    record: QueryRecord,
    shard_counts: Mapping[int, int],
    empty_shards: Collection[int],
) -> Iterable[str]:
    document = record.document
    if document["request_id"] != record.request_id:
        yield f"answers {document['request_id']}"
    version = document["index_version"]
    shard_count = shard_counts[version]
    coverage = document["coverage"]
    missing = coverage["missing_shards"]
    covered = [n for n in range(shard_count) if n not in missing]
    wanted = [
        hit["id"]
        for shard in covered
        if shard not in empty_shards
        for hit in expected_hits(version, str(shard), record.body)
    ]
    found = [hit["id"] for hit in document["hits"]]
    if found != wanted:
        yield f"snapshot {version}, missing {missing}: hits {found}"
    stated = (
        coverage["shard_count"],
        coverage["covered_count"],
        round(coverage["percent"], 3),
    )
    true = (
        shard_count,
        len(covered),
        round(100 * len(covered) / shard_count, 3),
    )
    if stated != true or len(set(missing)) != len(missing):
        yield f"states {stated}, but {true} with {missing} missing"


def revision_problems(records: Iterable[QueryRecord]) -> list[str]:
    """Checks that no node answers from a revision lower than before."""
    problems = []
    by_node: dict[str, list[QueryRecord]] = {}
    for record in records:
        if record.status == 200:
            by_node.setdefault(record.node_id, []).append(record)
    for node_id, answers in by_node.items():
        # Only answers whose query began after another one's answer count.
        ended = sorted(answers, key=lambda item: item.ended_at_s)
        begun = sorted(answers, key=lambda item: item.started_at_s)
        highest, position = 0, 0
        for record in begun:
            while ended[position].ended_at_s < record.started_at_s:
                highest = max(highest, ended[position].document["revision"])
                position += 1
            revision = record.document["revision"]
            if revision < highest:
                problems.append(f"{node_id}: {revision} after {highest}")
    return problems


def requests_within(
    events: Iterable[Event],
    vm_ids: Collection[str],
    from_s: float,
    until_s: float = float("inf"),
) -> list[Event]:
    """Returns the searches and runs that reached servers in a time span."""
    return [
        event
        for event in events
        if event["event"] == "request"
        and event["vm_id"] in vm_ids
        and from_s <= event["at_s"] < until_s
    ]
