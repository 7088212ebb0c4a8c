"""What a history must show, whatever the faults were.

The times are those of the users' rules for their smaller deployments.
"""

from collections import defaultdict
from collections.abc import Iterator
from typing import Final

from deployment import SHARDS
from faulty_deployment import STORE
from fleet_history import ArrivalIndex, Asked, FleetHistory
from standins import Arrival, BackendStandIn

NOT_RUN: Final = (408, 421, 429, 503)
TOP_COUNT: Final = 3
MIN_PART_COUNT: Final = 2
DRAIN_S: Final = 5.0
EVACUATE_S: Final = 5.0
CONFIG_APPLY_S: Final = 5.0
ROLLBACK_SLACK_S: Final = 0.25
TIMEOUT_S: Final = 2.0
TIMEOUT_SLACK_S: Final = 0.5
MIN_LATE_COUNT: Final = 8
LATE_SHARE: Final = 0.25
REPEAT_RATIO: Final = 0.2
REPEAT_WINDOW_S: Final = 10.0
REPEAT_SLACK_COUNT: Final = 56

Backends = dict[str, list[BackendStandIn]]


def find_problems(history: FleetHistory, backends: Backends) -> list[str]:
    """Returns what broke a promise, one line each."""
    index = ArrivalIndex(backends)
    return [
        *_answer_problems(history, index, backends),
        *_late_problems(history),
        *_withdrawn_problems(history, index, backends),
        *_revision_problems(history),
        *_repeat_problems(history, backends),
    ]


def _answer_problems(
    history: FleetHistory, index: ArrivalIndex, backends: Backends
) -> Iterator[str]:
    services = {
        server.server_id: service
        for service, servers in backends.items()
        for server in servers
    }
    for asked in history.asked:
        problem = _answer_problem(asked, history, index, services)
        if problem:
            yield (
                f"{problem}: {asked.request_id} {asked.path} at"
                f" {asked.node_name}, {asked.sent_at_s:.2f} to"
                f" {asked.ended_at_s:.2f}, {asked.status}"
            )


def _answer_problem(
    asked: Asked,
    history: FleetHistory,
    index: ArrivalIndex,
    services: dict[str, str],
) -> str:
    run_count = index.runs(asked.request_id)
    if asked.kind == "booking" and run_count > 1:
        return f"ran {run_count} times"
    if asked.status in NOT_RUN and run_count and asked.kind == "booking":
        return "ran, though the answer says that it did not"
    if asked.status == 0:
        was_killed = any(
            item.where == asked.node_name
            and item.kind in ("kill", "pause")
            and item.began_at_s <= asked.ended_at_s
            and item.ended_at_s >= asked.sent_at_s
            for item in history.disruptions
        )
        arrivals = index.by_request[asked.request_id]
        return "lost" if arrivals and not was_killed else ""
    if 300 <= asked.status < 500 and asked.status not in NOT_RUN:
        # Only the routes of revisions come and go.
        is_gone = asked.kind == "revision" and asked.status == 404
        return "" if is_gone else "denied"
    if asked.status != 200:
        return ""
    if asked.kind == "search":
        return _search_problem(asked, services)
    return _single_problem(asked, services)


def _single_problem(asked: Asked, services: dict[str, str]) -> str:
    service = "bookings" if asked.kind == "booking" else "records"
    server_id, _, request_id = asked.headers.get(
        "x-server-stamp", ""
    ).partition(".")
    if request_id != asked.request_id or services.get(server_id) != service:
        return f"signed as {server_id}.{request_id}"
    is_own = asked.body == f"{service} {asked.path}".encode()
    return "" if is_own else f"body {asked.body!r}"


def _search_problem(asked: Asked, services: dict[str, str]) -> str:
    text = asked.headers.get("x-part-stamps", "")
    stamps = [part.strip() for part in text.split(",") if part.strip()]
    parts = [stamp.partition(".") for stamp in stamps]
    if any(request_id != asked.request_id for _, _, request_id in parts):
        return f"parts of another request: {stamps}"
    shards = [services.get(server_id) for server_id, _, _ in parts]
    if len(set(shards)) != len(shards) or not set(shards) <= set(SHARDS):
        return f"parts of {shards}"
    missing_count = int(asked.headers.get("x-missing-parts", 0))
    if len(parts) + missing_count != len(SHARDS):
        return f"{len(parts)} parts and {missing_count} missing"
    if len(parts) < MIN_PART_COUNT:
        return f"only {len(parts)} parts"
    records = sorted(
        (server_id.encode().rjust(16, b"-") for server_id, _, _ in parts),
        reverse=True,
    )
    is_top = asked.body == b"".join(records[:TOP_COUNT])
    return "" if is_top else f"records {asked.body!r} of {records}"


def _late_problems(history: FleetHistory) -> Iterator[str]:
    over = [
        asked.ended_at_s - asked.sent_at_s - TIMEOUT_S
        for asked in history.asked
        if asked.ended_at_s - asked.sent_at_s >= TIMEOUT_S
        and history.is_calm(asked.node_name, asked.sent_at_s, asked.ended_at_s)
    ]
    late_count = sum(late_s > TIMEOUT_SLACK_S for late_s in over)
    if late_count >= MIN_LATE_COUNT and late_count > LATE_SHARE * len(over):
        yield f"{late_count} of {len(over)} have no final answer in time"


def _withdrawn_problems(
    history: FleetHistory, index: ArrivalIndex, backends: Backends
) -> Iterator[str]:
    by_id = {asked.request_id: asked for asked in history.asked}
    arrivals = {
        server.server_id: server.arrivals
        for servers in backends.values()
        for server in servers
    }
    for item in history.withdrawn:
        bound_s = EVACUATE_S if item.rule == "evacuate" else DRAIN_S
        until_s = item.began_at_s + bound_s
        if not history.is_calm(STORE, item.began_at_s, until_s):
            continue
        for arrival in arrivals[item.server_id]:
            asked = by_id.get(arrival.request_id)
            if asked is None or not until_s < arrival.at_s < item.ended_at_s:
                continue
            if asked.sent_at_s > until_s and history.is_calm(
                asked.node_name, item.began_at_s, arrival.at_s
            ):
                yield (
                    f"{item.rule}: {item.server_id} gets {arrival.request_id}"
                    f" of {asked.node_name}"
                    f" {arrival.at_s - item.began_at_s:.2f} s later"
                )


def _revision_problems(history: FleetHistory) -> Iterator[str]:
    newest: dict[int, tuple[int, float]] = {}
    asked_revisions = [asked for asked in history.asked if asked.revision]
    for asked in sorted(asked_revisions, key=lambda item: item.sent_at_s):
        seen, seen_at_s = newest.get(asked.lifetime, (0, 0.0))
        is_calm = history.is_calm(
            asked.node_name, asked.sent_at_s, asked.ended_at_s
        )
        if asked.status == 200:
            is_later = asked.sent_at_s > seen_at_s + ROLLBACK_SLACK_S
            if asked.revision < seen and is_later and is_calm:
                yield f"{asked.node_name} went back to {asked.path}"
            if asked.revision > seen:
                newest[asked.lifetime] = (asked.revision, asked.ended_at_s)
        since_s = history.configured[asked.revision]
        due_s = since_s + CONFIG_APPLY_S
        is_newest = all(
            at_s <= since_s or at_s > asked.ended_at_s
            for at_s in history.configured.values()
        )
        is_due = (
            asked.sent_at_s > due_s
            and is_newest
            and is_calm
            and history.is_calm(STORE, since_s, asked.ended_at_s)
        )
        if asked.status == 404 and is_due:
            yield f"{asked.node_name} lacks {asked.path}"


def _repeat_problems(
    history: FleetHistory, backends: Backends
) -> Iterator[str]:
    kinds = {"records": ("record", "revision"), "bookings": ("booking",)}
    for service, servers in backends.items():
        own = kinds.get(service, ("search",))
        sent = [item.sent_at_s for item in history.asked if item.kind in own]
        seen: set[str] = set()
        repeats = []
        every: list[Arrival] = [a for s in servers for a in s.arrivals]
        for arrival in sorted(every):
            if arrival.request_id in seen:
                repeats.append(arrival.at_s)
            seen.add(arrival.request_id)
        for end_s in repeats:
            counts: defaultdict[int, int] = defaultdict(int)
            for at_s in sent:
                counts[int((end_s - at_s) // REPEAT_WINDOW_S)] += 1
            first_count = max(counts[0], counts[1])
            count = sum(end_s - REPEAT_WINDOW_S < r <= end_s for r in repeats)
            if count > REPEAT_RATIO * first_count + REPEAT_SLACK_COUNT:
                yield f"{service} gets {count} repeats for {first_count}"
                break
