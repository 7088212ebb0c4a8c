"""Checks that a history of requests meets the users' rules under any faults.

The time limits are those of the users' rules for smaller deployments.
"""

from collections import defaultdict
from collections.abc import Iterator
from typing import Final

from deployment import SHARDS
from faulty_deployment import STORE
from fleet_history import ArrivalIndex, CallerRequest, FleetHistory
from fleet_load import FATAL
from standins import Arrival, BackendStandIn

NOT_EXECUTED_STATUSES: Final = (408, 421, 429, 503)
TOP_RECORD_COUNT: Final = 3
MIN_SHARD_REPLY_COUNT: Final = 2
DRAIN_S: Final = 5.0
EVACUATE_S: Final = 5.0
CONFIG_APPLY_S: Final = 3.0
ROLLBACK_SLACK_S: Final = 0.25
TIMEOUT_S: Final = 2.0
TIMEOUT_SLACK_S: Final = 0.5
MIN_LATE_COUNT: Final = 8
LATE_RATIO: Final = 0.25
RETRY_RATIO: Final = 0.2
RETRY_WINDOW_S: Final = 10.0
RETRY_SLACK_COUNT: Final = 56
# From when on the rules on limits and on nodes without servers apply.
NOTICE_S: Final = 4.0
LIMIT_WINDOW_S: Final = 4.0
LIMIT_RATIO: Final = 1.5
LIMIT_SLACK_COUNT: Final = 5
TOLD_S: Final = 0.5
MIN_SERVED_RATIO: Final = 2 / 3
FAILED_SLACK_COUNT: Final = 10
FAILED_RATIO: Final = 1 / 50
FATAL_CRASH_COUNT: Final = 3
MAX_LATE_FATAL_COUNT: Final = 3

Backends = dict[str, list[BackendStandIn]]


def find_problems(history: FleetHistory, backends: Backends) -> list[str]:
    """Returns the violations found, one line each."""
    index = ArrivalIndex(backends)
    return [
        *_answer_problems(history, index, backends),
        *_late_problems(history),
        *_withdrawal_problems(history, index, backends),
        *_revision_problems(history),
        *_retry_problems(history, backends),
        *_limit_problems(history, backends),
        *_cut_off_problems(history),
        *_fatal_problems(history, index, backends),
    ]


def _answer_problems(
    history: FleetHistory, index: ArrivalIndex, backends: Backends
) -> Iterator[str]:
    services = {
        server.server_id: service
        for service, servers in backends.items()
        for server in servers
    }
    for request in history.requests:
        problem = _answer_problem(request, history, index, services)
        if problem:
            yield (
                f"{problem}: {request.request_id} {request.path} at"
                f" {request.node_name}, {request.sent_at_s:.2f} to"
                f" {request.ended_at_s:.2f}, {request.status}"
            )


def _answer_problem(
    request: CallerRequest,
    history: FleetHistory,
    index: ArrivalIndex,
    services: dict[str, str],
) -> str:
    execution_count = index.execution_count(request.request_id)
    if request.kind == "booking" and execution_count > 1:
        return f"executed {execution_count} times"
    if (
        request.status in NOT_EXECUTED_STATUSES
        and execution_count
        and request.kind in ("booking", FATAL)
    ):
        return "executed, though the answer says that it was not"
    if request.status == 0:
        was_killed = any(
            item.component == request.node_name
            and item.kind in ("kill", "pause")
            and item.began_at_s <= request.ended_at_s
            and item.ended_at_s >= request.sent_at_s
            for item in history.disruptions
        )
        arrivals = index.by_request[request.request_id]
        return "no answer" if arrivals and not was_killed else ""
    if (
        300 <= request.status < 500
        and request.status not in NOT_EXECUTED_STATUSES
    ):
        # Only the routes of revisions are added and removed.
        is_removed_route = request.kind == "revision" and request.status == 404
        return "" if is_removed_route else "rejected"
    if request.status != 200:
        return ""
    if request.kind == "search":
        return _search_problem(request, services)
    return _single_problem(request, services)


def _single_problem(request: CallerRequest, services: dict[str, str]) -> str:
    service = "bookings" if request.kind == "booking" else "records"
    server_id, _, request_id = request.headers.get(
        "x-server-stamp", ""
    ).partition(".")
    if request_id != request.request_id or services.get(server_id) != service:
        return f"stamped {server_id}.{request_id}"
    is_expected_body = request.body == f"{service} {request.path}".encode()
    return "" if is_expected_body else f"body {request.body!r}"


def _search_problem(request: CallerRequest, services: dict[str, str]) -> str:
    text = request.headers.get("x-part-stamps", "")
    stamps = [stamp.strip() for stamp in text.split(",") if stamp.strip()]
    replies = [stamp.partition(".") for stamp in stamps]
    if any(request_id != request.request_id for _, _, request_id in replies):
        return f"shard replies of another request: {stamps}"
    shards = [services.get(server_id) for server_id, _, _ in replies]
    if len(set(shards)) != len(shards) or not set(shards) <= set(SHARDS):
        return f"shard replies of {shards}"
    missing_count = int(request.headers.get("x-missing-parts", 0))
    if len(replies) + missing_count != len(SHARDS):
        return f"{len(replies)} shard replies and {missing_count} missing"
    if len(replies) < MIN_SHARD_REPLY_COUNT:
        return f"only {len(replies)} shard replies"
    records = sorted(
        (server_id.encode().rjust(16, b"-") for server_id, _, _ in replies),
        reverse=True,
    )
    is_top = request.body == b"".join(records[:TOP_RECORD_COUNT])
    return "" if is_top else f"records {request.body!r} of {records}"


def _late_problems(history: FleetHistory) -> Iterator[str]:
    overruns_s = [
        request.ended_at_s - request.sent_at_s - TIMEOUT_S
        for request in history.requests
        if request.ended_at_s - request.sent_at_s >= TIMEOUT_S
        and history.is_undisturbed(
            request.node_name, request.sent_at_s, request.ended_at_s
        )
    ]
    late_count = sum(overrun_s > TIMEOUT_SLACK_S for overrun_s in overruns_s)
    if late_count >= MIN_LATE_COUNT and late_count > LATE_RATIO * len(
        overruns_s
    ):
        yield f"{late_count} of {len(overruns_s)} were not answered in time"


def _withdrawal_problems(
    history: FleetHistory, index: ArrivalIndex, backends: Backends
) -> Iterator[str]:
    by_id = {request.request_id: request for request in history.requests}
    arrivals = {
        server.server_id: server.arrivals
        for servers in backends.values()
        for server in servers
    }
    for item in history.withdrawals:
        limit_s = EVACUATE_S if item.reason == "evacuate" else DRAIN_S
        effective_at_s = item.began_at_s + limit_s
        if not history.is_undisturbed(STORE, item.began_at_s, effective_at_s):
            continue
        for arrival in arrivals[item.server_id]:
            request = by_id.get(arrival.request_id)
            if (
                request is None
                or not effective_at_s < arrival.at_s < item.ended_at_s
            ):
                continue
            if request.sent_at_s > effective_at_s and history.is_undisturbed(
                request.node_name, item.began_at_s, arrival.at_s
            ):
                yield (
                    f"{item.reason}: {item.server_id} received"
                    f" {arrival.request_id} from {request.node_name}"
                    f" {arrival.at_s - item.began_at_s:.2f} s later"
                )


def _revision_problems(history: FleetHistory) -> Iterator[str]:
    newest_by_pid: dict[int, tuple[int, float]] = {}
    revision_requests = [
        request for request in history.requests if request.revision
    ]
    for request in sorted(revision_requests, key=lambda item: item.sent_at_s):
        newest_revision, newest_at_s = newest_by_pid.get(
            request.node_pid, (0, 0.0)
        )
        is_undisturbed = history.is_undisturbed(
            request.node_name, request.sent_at_s, request.ended_at_s
        )
        if request.status == 200:
            is_later = request.sent_at_s > newest_at_s + ROLLBACK_SLACK_S
            if (
                request.revision < newest_revision
                and is_later
                and is_undisturbed
            ):
                yield f"{request.node_name} reverted to {request.path}"
            if request.revision > newest_revision:
                newest_by_pid[request.node_pid] = (
                    request.revision,
                    request.ended_at_s,
                )
        configured_at_s = history.configured_at_s[request.revision]
        due_at_s = configured_at_s + CONFIG_APPLY_S
        is_newest = all(
            at_s <= configured_at_s or at_s > request.ended_at_s
            for at_s in history.configured_at_s.values()
        )
        is_due = (
            request.sent_at_s > due_at_s
            and is_newest
            and is_undisturbed
            and history.is_undisturbed(
                STORE, request.sent_at_s, request.ended_at_s
            )
        )
        if request.status == 404 and is_due:
            yield f"{request.node_name} lacks {request.path}"


def _retry_problems(history: FleetHistory, backends: Backends) -> Iterator[str]:
    kinds = {"records": ("record", "revision"), "bookings": ("booking",)}
    for service, servers in backends.items():
        service_kinds = kinds.get(service, ("search",))
        sent_at_s = [
            item.sent_at_s
            for item in history.requests
            if item.kind in service_kinds
        ]
        received_ids: set[str] = set()
        retries_at_s = []
        all_arrivals: list[Arrival] = [a for s in servers for a in s.arrivals]
        for arrival in sorted(all_arrivals):
            if arrival.request_id in received_ids:
                retries_at_s.append(arrival.at_s)
            received_ids.add(arrival.request_id)
        for end_s in retries_at_s:
            counts: defaultdict[int, int] = defaultdict(int)
            for at_s in sent_at_s:
                counts[int((end_s - at_s) // RETRY_WINDOW_S)] += 1
            first_attempt_count = max(counts[0], counts[1])
            count = sum(
                end_s - RETRY_WINDOW_S < r <= end_s for r in retries_at_s
            )
            if count > RETRY_RATIO * first_attempt_count + RETRY_SLACK_COUNT:
                yield (
                    f"{service} received {count} retries, first attempts:"
                    f" {first_attempt_count}"
                )
                break


def _limit_problems(history: FleetHistory, backends: Backends) -> Iterator[str]:
    node_names = {item.request_id: item.node_name for item in history.requests}
    servers = {one.server_id: one for some in backends.values() for one in some}
    for limit in history.limits:
        told_at_s: dict[str, float] = {}
        counted_at_s = []
        for arrival in servers[limit.server_id].arrivals:
            node_name = node_names.get(arrival.request_id, "")
            if not limit.began_at_s <= arrival.at_s < limit.ended_at_s:
                continue
            if not history.is_undisturbed(
                node_name, limit.began_at_s, arrival.at_s
            ) or not history.is_undisturbed(
                f"{node_name} links", limit.began_at_s, arrival.at_s
            ):
                continue
            told = told_at_s.setdefault(node_name, arrival.at_s) + TOLD_S
            if arrival.at_s >= max(told, limit.began_at_s + NOTICE_S):
                counted_at_s.append(arrival.at_s)
        allowed_count = (
            LIMIT_RATIO * limit.per_s * LIMIT_WINDOW_S + LIMIT_SLACK_COUNT
        )
        for start_s in counted_at_s:
            count = sum(
                start_s <= at_s < start_s + LIMIT_WINDOW_S
                for at_s in counted_at_s
            )
            if count > allowed_count:
                yield (
                    f"{limit.server_id} got {count} requests in"
                    f" {LIMIT_WINDOW_S} s with a limit of {limit.per_s}"
                )
                break


def _is_sound(history: FleetHistory, name: str, at_s: float) -> bool:
    """Whether a node runs and reaches the backend servers at a time."""
    return history.is_undisturbed(name, at_s, at_s) and history.is_undisturbed(
        f"{name} links", at_s, at_s
    )


def _cut_off_problems(history: FleetHistory) -> Iterator[str]:
    names = {item.node_name for item in history.requests}
    cuts = [item for item in history.disruptions if item.kind == "cut off"]
    for cut in cuts:
        since_s = cut.began_at_s + NOTICE_S
        requests = [
            item
            for item in history.requests
            if since_s < item.sent_at_s
            and item.ended_at_s < cut.ended_at_s
            and item.kind != "revision"
            # No node serves better while all have lost their servers.
            and any(_is_sound(history, name, item.sent_at_s) for name in names)
            and history.is_undisturbed(
                item.node_name, cut.began_at_s, item.ended_at_s
            )
        ]
        name = cut.component.partition(" ")[0]
        here = [
            item.status == 200 for item in requests if item.node_name == name
        ]
        elsewhere = [
            item.status == 200
            for item in requests
            if history.is_undisturbed(
                f"{item.node_name} links", cut.began_at_s, item.ended_at_s
            )
        ]
        if not here or not elsewhere:
            continue
        served_ratio = sum(here) / len(here)
        failed_count = len(here) - sum(here)
        if served_ratio < MIN_SERVED_RATIO * sum(elsewhere) / len(
            elsewhere
        ) and failed_count > FAILED_SLACK_COUNT + FAILED_RATIO * len(requests):
            yield (
                f"{name}, cut off from servers, served {sum(here)} of"
                f" {len(here)}, others {sum(elsewhere)} of {len(elsewhere)}"
            )


def _fatal_problems(
    history: FleetHistory, index: ArrivalIndex, backends: Backends
) -> Iterator[str]:
    crashed_at_s = sorted(
        at_s
        for servers in backends.values()
        for server in servers
        for at_s in server.crashed_at_s
    )
    if len(crashed_at_s) < FATAL_CRASH_COUNT:
        return
    due_at_s = crashed_at_s[FATAL_CRASH_COUNT - 1] + NOTICE_S
    late = [
        request
        for request in history.requests
        if request.kind == FATAL
        and any(
            arrival.at_s > due_at_s
            and history.is_undisturbed(
                request.node_name, arrival.at_s, arrival.at_s
            )
            for _, arrival in index.by_request[request.request_id]
        )
    ]
    if len(late) > MAX_LATE_FATAL_COUNT:
        names = sorted({request.node_name for request in late})
        yield (
            f"{len(late)} repeats reached servers after"
            f" {FATAL_CRASH_COUNT} had crashed, from {names}"
        )
