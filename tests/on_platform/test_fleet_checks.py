"""The soak's checks report histories that violate the users' rules."""

import pytest
from deployment import SHARDS
from faulty_deployment import STORE
from fleet_checks import find_problems
from fleet_history import (
    CallerRequest,
    Disruption,
    FleetHistory,
    NamedLimit,
    Withdrawal,
)
from fleet_load import FATAL
from standins import Arrival, BackendStandIn

NODE = "node-1"


def make_backends() -> dict[str, list[BackendStandIn]]:
    return {
        service: [BackendStandIn(service, is_shard=service in SHARDS)]
        for service in (*SHARDS, "records", "bookings")
    }


def make_request(kind: str, **changes: object) -> CallerRequest:
    folder = {"booking": "bookings", "search": "search"}.get(kind, "records")
    request = CallerRequest(
        request_id="r-1",
        kind=kind,
        path=f"/{folder}/7",
        node_name=NODE,
        node_pid=1,
        sent_at_s=100.0,
        ended_at_s=100.1,
        status=200,
        headers={},
        body=b"",
        revision=0,
    )
    return request._replace(**changes)


def make_arrival(at_s: float = 100.05, was_executed: bool = True) -> Arrival:
    return Arrival(at_s, "r-1", "/x", 2000.0, was_executed)


def answered_request(
    server: BackendStandIn, kind: str, **changes: object
) -> CallerRequest:
    request = make_request(kind)
    return request._replace(
        headers={"x-server-stamp": f"{server.server_id}.r-1"},
        body=f"{server.service} {request.path}".encode(),
    )._replace(**changes)


def answered_search(
    backends: dict[str, list[BackendStandIn]], **changes: object
) -> CallerRequest:
    ids = [backends[shard][0].server_id for shard in SHARDS]
    records = sorted((i.encode().rjust(16, b"-") for i in ids), reverse=True)
    return make_request(
        "search",
        headers={
            "x-part-stamps": ", ".join(f"{i}.r-1" for i in ids),
            "x-missing-parts": "0",
        },
        body=b"".join(records[:3]),
    )._replace(**changes)


def test_correct_answers_are_not_reported() -> None:
    backends = make_backends()
    history = FleetHistory()
    history.add(answered_request(backends["records"][0], "record"))
    history.add(answered_request(backends["bookings"][0], "booking"))
    history.add(answered_search(backends))
    backends["bookings"][0].arrivals.append(make_arrival())
    assert find_problems(history, backends) == []


@pytest.mark.parametrize(
    ("changes", "problem"),
    [
        ({"body": b"records /records/8"}, "body"),
        ({"headers": {}}, "stamped"),
        ({"headers": {"x-server-stamp": "i-1.r-2"}}, "stamped"),
        ({"status": 404}, "rejected"),
        ({"status": 404, "kind": "revision"}, ""),
        ({"status": 400, "kind": "revision"}, "rejected"),
        ({"status": 0}, ""),
    ],
)
def test_answers_from_one_server(
    changes: dict[str, object], problem: str
) -> None:
    backends = make_backends()
    history = FleetHistory()
    request = answered_request(backends["records"][0], "record")
    history.add(request._replace(**changes))
    problems = find_problems(history, backends)
    assert [p.startswith(problem) for p in problems] == [True] * bool(problem)


@pytest.mark.parametrize(
    ("changes", "problem"),
    [
        ({"body": b"-" * 48}, "records"),
        ({"headers": {}}, "0 shard replies and 0 missing"),
        ({"headers": {"x-missing-parts": "4"}}, "only 0 shard replies"),
        ({"headers": {"x-part-stamps": "i-1.r-2"}}, "shard replies of another"),
        ({"headers": {"x-part-stamps": "i-0.r-1"}}, "shard replies of [None]"),
    ],
)
def test_answers_to_searches(changes: dict[str, object], problem: str) -> None:
    backends = make_backends()
    history = FleetHistory()
    history.add(answered_search(backends, **changes))
    (found,) = find_problems(history, backends)
    assert found.startswith(problem)


@pytest.mark.parametrize(
    ("status", "execution_count", "problem"),
    [
        (503, 1, "executed, though"),
        (429, 1, "executed, though"),
        (503, 0, ""),
        (502, 1, ""),
        (502, 2, "executed 2 times"),
        (0, 1, "no answer"),
        (0, 0, ""),
    ],
)
def test_bookings_are_executed_at_most_once(
    status: int, execution_count: int, problem: str
) -> None:
    backends = make_backends()
    history = FleetHistory()
    history.add(make_request("booking", status=status))
    backends["bookings"][0].arrivals += [make_arrival()] * execution_count
    problems = find_problems(history, backends)
    assert [p.startswith(problem) for p in problems] == [True] * bool(problem)


@pytest.mark.parametrize(
    ("fault", "is_problem"),
    [
        (None, True),
        (Disruption(NODE, "kill", 100.05, 101.0), False),
        (Disruption(NODE, "stop", 100.05, 101.0), True),
        (Disruption("node-2", "kill", 100.05, 101.0), True),
    ],
)
def test_only_a_killed_node_may_leave_a_request_unanswered(
    fault: Disruption | None, is_problem: bool
) -> None:
    backends = make_backends()
    history = FleetHistory()
    history.add(make_request("record", status=0))
    history.disruptions += [fault] if fault else []
    backends["records"][0].arrivals.append(make_arrival())
    assert bool(find_problems(history, backends)) is is_problem


@pytest.mark.parametrize(
    ("at_s", "fault", "is_problem"),
    [
        (95.5, None, True),
        (98.0, None, False),
        (95.5, Disruption(STORE, "down", 93.0, 94.0), False),
        (95.5, Disruption(NODE, "pause", 93.0, 94.0), False),
        (95.5, Disruption("node-2", "pause", 93.0, 94.0), True),
    ],
)
def test_request_to_a_withdrawn_server(
    at_s: float, fault: Disruption | None, is_problem: bool
) -> None:
    backends = make_backends()
    server = backends["records"][0]
    history = FleetHistory()
    request = answered_request(
        server, "record", sent_at_s=100.6, ended_at_s=100.7
    )
    history.add(request)
    server.arrivals.append(make_arrival(100.65))
    history.disruptions += [fault] if fault else []
    history.withdrawals.append(
        Withdrawal(server.server_id, "drain", at_s, 103.0)
    )
    assert bool(find_problems(history, backends)) is is_problem


@pytest.mark.parametrize(
    ("requests", "problem"),
    [
        ([(3, 100.0, 200), (2, 100.1, 200)], ""),
        ([(3, 100.0, 200), (2, 101.0, 200)], "reverted"),
        ([(3, 100.0, 200), (2, 101.0, 404)], ""),
        ([(3, 96.0, 404)], ""),
        ([(3, 99.0, 404)], "lacks"),
        ([(2, 99.0, 404)], ""),
    ],
)
def test_reverted_and_missing_revisions(
    requests: list[tuple[int, float, int]], problem: str
) -> None:
    backends = make_backends()
    history = FleetHistory()
    history.configured_at_s = {2: 90.0, 3: 93.0}
    for revision, sent_at_s, status in requests:
        request = answered_request(backends["records"][0], "revision")
        history.add(
            request._replace(
                revision=revision,
                sent_at_s=sent_at_s,
                ended_at_s=sent_at_s + 0.05,
                status=status,
            )
        )
    problems = find_problems(history, backends)
    assert [problem in p for p in problems] == [True] * bool(problem)


@pytest.mark.parametrize(
    ("retry_count", "is_problem"), [(57, True), (56, False)]
)
def test_retries_beyond_the_retry_budget(
    retry_count: int, is_problem: bool
) -> None:
    backends = make_backends()
    server = backends["records"][0]
    history = FleetHistory()
    history.add(answered_request(server, "record"))
    # One request allows 0.2 retries in addition to the slack of 56.
    server.arrivals += [make_arrival()] * (retry_count + 1)
    assert bool(find_problems(history, backends)) is is_problem


@pytest.mark.parametrize(("late_count", "is_problem"), [(8, True), (7, False)])
def test_answers_after_the_timeout(late_count: int, is_problem: bool) -> None:
    backends = make_backends()
    history = FleetHistory()
    for number in range(late_count + 3):
        end_s = 102.6 if number < late_count else 102.1
        history.add(
            answered_request(backends["records"][0], "record", ended_at_s=end_s)
        )
    assert bool(find_problems(history, backends)) is is_problem


@pytest.mark.parametrize(("per_s", "count"), [(2.0, 1), (20.0, 0)])
def test_more_requests_than_a_server_has_named_are_reported(
    per_s: float, count: int
) -> None:
    history, backends = FleetHistory(), make_backends()
    (server,) = backends["records"]
    history.limits = [NamedLimit(server.server_id, per_s, 100.0, 110.0)]
    for number in range(100):
        at_s = 100.0 + number / 10
        request = make_request("record", request_id=f"r-{number}", status=503)
        history.requests.append(request)
        server.arrivals.append(
            Arrival(at_s, f"r-{number}", "/x", 2000.0, False)
        )

    problems = find_problems(history, backends)

    assert len([line for line in problems if "limit" in line]) == count


@pytest.mark.parametrize(
    ("status", "other_is_cut_off", "count"),
    [(503, False, 1), (200, False, 0), (503, True, 0)],
)
def test_node_without_servers_whose_callers_fare_worse_is_reported(
    status: int, other_is_cut_off: bool, count: int
) -> None:
    history = FleetHistory()
    history.disruptions = [Disruption(f"{NODE} links", "cut off", 100.0, 110.0)]
    if other_is_cut_off:
        history.disruptions.append(
            Disruption("node-2 links", "cut off", 105.01, 112.0)
        )
    for number in range(40):
        sent_at_s = 105.0 + number / 10
        for name, answer in ((NODE, status), ("node-2", 200)):
            history.requests.append(
                make_request(
                    "booking",
                    node_name=name,
                    status=answer,
                    sent_at_s=sent_at_s,
                    ended_at_s=sent_at_s + 0.1,
                )
            )

    problems = find_problems(history, make_backends())

    assert len([line for line in problems if "cut off" in line]) == count


@pytest.mark.parametrize(
    ("count", "gap_s", "is_reported"),
    [(4, 4.1, True), (3, 4.1, False), (9, 3.9, False)],
)
def test_repeats_of_a_request_that_crashed_servers_are_reported(
    count: int, gap_s: float, is_reported: bool
) -> None:
    backends = make_backends()
    server = backends["records"][0]
    server.crashed_at_s = [97.0, 98.0, 99.0, 120.0]
    history = FleetHistory()
    for number in range(count):
        at_s = 99.0 + gap_s
        history.add(
            make_request(
                FATAL,
                request_id=f"f-{number}",
                sent_at_s=at_s,
                ended_at_s=at_s,
                status=502,
            )
        )
        server.arrivals.append(Arrival(at_s, f"f-{number}", "/x", 2000.0, True))
    problems = find_problems(history, backends)
    assert bool(problems) is is_reported
