"""What the checks of the soak find in histories that broke a promise."""

import pytest
from deployment import SHARDS
from faulty_deployment import STORE
from fleet_checks import find_problems
from fleet_history import Asked, Disruption, FleetHistory, Withdrawn
from standins import Arrival, BackendStandIn

NODE = "node-1"


def make_backends() -> dict[str, list[BackendStandIn]]:
    return {
        service: [BackendStandIn(service, is_shard=service in SHARDS)]
        for service in (*SHARDS, "records", "bookings")
    }


def make_asked(kind: str, **changes: object) -> Asked:
    folder = {"booking": "bookings", "search": "search"}.get(kind, "records")
    asked = Asked(
        request_id="r-1",
        kind=kind,
        path=f"/{folder}/7",
        node_name=NODE,
        lifetime=1,
        sent_at_s=100.0,
        ended_at_s=100.1,
        status=200,
        headers={},
        body=b"",
        revision=0,
    )
    return asked._replace(**changes)


def make_arrival(at_s: float = 100.05, has_run: bool = True) -> Arrival:
    return Arrival(at_s, "r-1", "/x", 2000.0, has_run)


def single_answer(
    server: BackendStandIn, kind: str, **changes: object
) -> Asked:
    asked = make_asked(kind)
    return asked._replace(
        headers={"x-server-stamp": f"{server.server_id}.r-1"},
        body=f"{server.service} {asked.path}".encode(),
    )._replace(**changes)


def search_answer(
    backends: dict[str, list[BackendStandIn]], **changes: object
) -> Asked:
    ids = [backends[shard][0].server_id for shard in SHARDS]
    records = sorted((i.encode().rjust(16, b"-") for i in ids), reverse=True)
    return make_asked(
        "search",
        headers={
            "x-part-stamps": ", ".join(f"{i}.r-1" for i in ids),
            "x-missing-parts": "0",
        },
        body=b"".join(records[:3]),
    )._replace(**changes)


def test_answers_as_promised_are_no_problem() -> None:
    backends = make_backends()
    history = FleetHistory()
    history.add(single_answer(backends["records"][0], "record"))
    history.add(single_answer(backends["bookings"][0], "booking"))
    history.add(search_answer(backends))
    backends["bookings"][0].arrivals.append(make_arrival())
    assert find_problems(history, backends) == []


@pytest.mark.parametrize(
    ("changes", "problem"),
    [
        ({"body": b"records /records/8"}, "body"),
        ({"headers": {}}, "signed as"),
        ({"headers": {"x-server-stamp": "i-1.r-2"}}, "signed as"),
        ({"status": 404}, "denied"),
        ({"status": 404, "kind": "revision"}, ""),
        ({"status": 400, "kind": "revision"}, "denied"),
        ({"status": 0}, ""),
    ],
)
def test_single_answers(changes: dict[str, object], problem: str) -> None:
    backends = make_backends()
    history = FleetHistory()
    asked = single_answer(backends["records"][0], "record")
    history.add(asked._replace(**changes))
    problems = find_problems(history, backends)
    assert [p.startswith(problem) for p in problems] == [True] * bool(problem)


@pytest.mark.parametrize(
    ("changes", "problem"),
    [
        ({"body": b"-" * 48}, "records"),
        ({"headers": {}}, "0 parts and 0 missing"),
        ({"headers": {"x-missing-parts": "4"}}, "only 0 parts"),
        ({"headers": {"x-part-stamps": "i-1.r-2"}}, "parts of another"),
        ({"headers": {"x-part-stamps": "i-0.r-1"}}, "parts of [None]"),
    ],
)
def test_search_answers(changes: dict[str, object], problem: str) -> None:
    backends = make_backends()
    history = FleetHistory()
    history.add(search_answer(backends, **changes))
    (found,) = find_problems(history, backends)
    assert found.startswith(problem)


@pytest.mark.parametrize(
    ("status", "run_count", "problem"),
    [
        (503, 1, "ran, though"),
        (429, 1, "ran, though"),
        (503, 0, ""),
        (502, 1, ""),
        (502, 2, "ran 2 times"),
        (0, 1, "lost"),
        (0, 0, ""),
    ],
)
def test_bookings(status: int, run_count: int, problem: str) -> None:
    backends = make_backends()
    history = FleetHistory()
    history.add(make_asked("booking", status=status))
    backends["bookings"][0].arrivals += [make_arrival()] * run_count
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
    history.add(make_asked("record", status=0))
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
def test_work_for_a_server_that_was_withdrawn(
    at_s: float, fault: Disruption | None, is_problem: bool
) -> None:
    backends = make_backends()
    server = backends["records"][0]
    history = FleetHistory()
    asked = single_answer(server, "record", sent_at_s=100.6, ended_at_s=100.7)
    history.add(asked)
    server.arrivals.append(make_arrival(100.65))
    history.disruptions += [fault] if fault else []
    history.withdrawn.append(Withdrawn(server.server_id, "drain", at_s, 103.0))
    assert bool(find_problems(history, backends)) is is_problem


@pytest.mark.parametrize(
    ("asks", "problem"),
    [
        ([(3, 100.0, 200), (2, 100.1, 200)], ""),
        ([(3, 100.0, 200), (2, 101.0, 200)], "went back"),
        ([(3, 100.0, 200), (2, 101.0, 404)], ""),
        ([(3, 96.0, 404)], ""),
        ([(3, 99.0, 404)], "lacks"),
        ([(2, 99.0, 404)], ""),
    ],
)
def test_revisions(asks: list[tuple[int, float, int]], problem: str) -> None:
    backends = make_backends()
    history = FleetHistory()
    history.configured = {2: 90.0, 3: 93.0}
    for revision, sent_at_s, status in asks:
        asked = single_answer(backends["records"][0], "revision")
        history.add(
            asked._replace(
                revision=revision,
                sent_at_s=sent_at_s,
                ended_at_s=sent_at_s + 0.05,
                status=status,
            )
        )
    problems = find_problems(history, backends)
    assert [problem in p for p in problems] == [True] * bool(problem)


@pytest.mark.parametrize(
    ("repeat_count", "is_problem"), [(57, True), (56, False)]
)
def test_repeats(repeat_count: int, is_problem: bool) -> None:
    backends = make_backends()
    server = backends["records"][0]
    history = FleetHistory()
    history.add(single_answer(server, "record"))
    # One request allows a fifth of a repeat beside the slack.
    server.arrivals += [make_arrival()] * (repeat_count + 1)
    assert bool(find_problems(history, backends)) is is_problem


@pytest.mark.parametrize(("late_count", "is_problem"), [(8, True), (7, False)])
def test_answers_after_the_timeout(late_count: int, is_problem: bool) -> None:
    backends = make_backends()
    history = FleetHistory()
    for number in range(late_count + 3):
        end_s = 102.6 if number < late_count else 102.1
        history.add(
            single_answer(backends["records"][0], "record", ended_at_s=end_s)
        )
    assert bool(find_problems(history, backends)) is is_problem
