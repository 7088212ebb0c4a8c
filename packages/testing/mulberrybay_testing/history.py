"""Records the queries that callers sent and checks their answers.

The checks rely only on the answers and on the logs of the stand-ins, never on
counters of the nodes.
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
    """One query as its caller saw it.

    The status is 0 and the document empty if there was no complete answer.
    """

    node_id: str
    request_id: str
    body: bytes
    started_at_s: float
    ended_at_s: float
    status: int
    document: Mapping[str, Any]


def send_query(
    node: NodeProcess,
    class_name: str,
    request_id: str,
    body: bytes,
    deadline_ms: int = 1000,
) -> QueryRecord:
    """Sends one query and returns a record of it.

    No error is raised if the connection fails or the answer is malformed.
    """
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


class QueryLoad:
    """Sends queries from several callers until the context is left."""

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
        """Prepares the load; the callers start when the context is entered.

        Args:
            deployment: The deployment whose nodes receive the queries.
            class_name: The class of work.
            caller_count: Number of concurrent callers.
            deadline_ms: The deadline of each query.
            node_indexes: The nodes that each caller queries in turn; all by
                default.
            pause_s: Time between an answer and the caller's next query.
        """
        self.records: list[QueryRecord] = []
        self._deployment = deployment
        self._class_name = class_name
        self._deadline_ms = deadline_ms
        self._node_indexes = node_indexes or range(len(deployment.nodes))
        self._pause_s = pause_s
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._send_queries, args=(index,))
            for index in range(caller_count)
        ]

    def __enter__(self) -> QueryLoad:
        """Starts the callers."""
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        """Stops the callers once their current queries have ended."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _send_queries(self, caller: int) -> None:
        for number in itertools.count():
            if self._stopping.wait(self._pause_s):
                return
            turn = (caller + number) % len(self._node_indexes)
            node = self._deployment.nodes[self._node_indexes[turn]]
            request_id = f"{id(self):x}-{caller}-{number}"
            body = json.dumps(f"{caller}/{number}").encode()
            record = send_query(
                node, self._class_name, request_id, body, self._deadline_ms
            )
            self.records.append(record)

    def answered(self) -> list[QueryRecord]:
        """Returns the queries that were answered with status 200."""
        return [item for item in self.records if item.status == 200]

    def wait_answers(
        self,
        count: int,
        timeout_s: float = 10.0,
        matches: Callable[[QueryRecord], bool] = lambda record: True,
    ) -> None:
        """Waits for a number of additional answers with status 200.

        Args:
            count: Number of answers to wait for.
            timeout_s: Longest time to wait.
            matches: Selects the answers that count; all by default.

        Raises:
            TimeoutError: The answers did not arrive in time.
        """

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
    """Checks the content of all answers with status 200.

    Each answer must belong to its own request, must have exactly the hits of
    one snapshot for the covered shards, and must state its coverage correctly.

    Args:
        records: The queries as their callers saw them.
        shard_counts: The number of shards of each index version.
        empty_shards: Shards whose replies have no hits.

    Returns:
        A description of each problem; empty if there is none.
    """
    problems = []
    for record in records:
        if record.status == 200:
            problems += [
                f"{record.request_id}: {problem}"
                for problem in _find_answer_problems(
                    record, shard_counts, empty_shards
                )
            ]
    return problems


def _find_answer_problems(
    record: QueryRecord,
    shard_counts: Mapping[int, int],
    empty_shards: Collection[int],
) -> Iterable[str]:
    document = record.document
    if document["request_id"] != record.request_id:
        yield f"the answer has request id {document['request_id']}"
    version = document["index_version"]
    shard_count = shard_counts[version]
    coverage = document["coverage"]
    missing = coverage["missing_shards"]
    covered = [n for n in range(shard_count) if n not in missing]
    expected_ids = [
        hit["id"]
        for shard in covered
        if shard not in empty_shards
        for hit in expected_hits(version, str(shard), record.body)
    ]
    found_ids = [hit["id"] for hit in document["hits"]]
    if found_ids != expected_ids:
        yield f"wrong hits, snapshot {version}, missing {missing}: {found_ids}"
    stated = (
        coverage["shard_count"],
        coverage["covered_count"],
        round(coverage["percent"], 3),
    )
    actual = (
        shard_count,
        len(covered),
        round(100 * len(covered) / shard_count, 3),
    )
    if stated != actual or len(set(missing)) != len(missing):
        yield f"coverage is {stated}, but {actual} with {missing} missing"


def revision_problems(records: Iterable[QueryRecord]) -> list[str]:
    """Checks that no node answers with a lower revision than before.

    Returns:
        A description of each problem; empty if there is none.
    """
    problems = []
    by_node: dict[str, list[QueryRecord]] = {}
    for record in records:
        if record.status == 200:
            by_node.setdefault(record.node_id, []).append(record)
    for node_id, answers in by_node.items():
        # An answer is compared only with those that had arrived before its
        # query was sent; the order of concurrent answers is undefined.
        by_end = sorted(answers, key=lambda item: item.ended_at_s)
        by_start = sorted(answers, key=lambda item: item.started_at_s)
        highest, position = 0, 0
        for record in by_start:
            while by_end[position].ended_at_s < record.started_at_s:
                highest = max(highest, by_end[position].document["revision"])
                position += 1
            revision = record.document["revision"]
            if revision < highest:
                problems.append(
                    f"{node_id}: revision {revision} after {highest}"
                )
    return problems


def requests_within(
    events: Iterable[Event],
    vm_ids: Collection[str],
    from_s: float,
    until_s: float = float("inf"),
) -> list[Event]:
    """Returns the requests that reached given backend servers in a time span.

    Args:
        events: Log events of the backend servers.
        vm_ids: The backend servers.
        from_s: Start of the time span, in Unix time.
        until_s: End of the time span, exclusive.
    """
    return [
        event
        for event in events
        if event["event"] == "request"
        and event["vm_id"] in vm_ids
        and from_s <= event["at_s"] < until_s
    ]
