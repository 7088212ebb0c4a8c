"""Nodes keep to what backend servers say of themselves in their replies."""

import time

import pytest
from deployment import SHARDS, Deployment, RunningNode
from standins import BackendStandIn

from mulberrybay_testing.waiting import wait_until

LEAVING = (("Server-Leaving", "1"),)
ANNOUNCED = "backend server announced to leave"


def send_each_kind(node: RunningNode, count: int) -> None:
    for number in range(count):
        for path, method in (
            ("/records/1", "GET"),
            ("/search/x", "GET"),
            ("/bookings/1", "POST"),
        ):
            answer = node.send_request(
                path, method=method, request_id=f"id-{number}"
            )
            assert answer.status == 200


def set_state(
    deployment: Deployment, backends: list[BackendStandIn], state: str
) -> None:
    for backend in backends:
        entry = backend.entry(state=state)
        deployment.put("servers", backend.server_id, entry)


def message_count(
    deployment: Deployment, node: RunningNode, message: str
) -> int:
    lines = deployment.log_lines(node)
    return sum(line["message"] == message for line in lines)


@pytest.mark.parametrize("is_store_down", [False, True])
def test_server_that_announces_to_leave_gets_no_request_after_that(
    deployment: Deployment, is_store_down: bool
) -> None:
    """Its entry still says that it is ready, also when it is written again."""
    services = (SHARDS[0], "records", "bookings")
    leaving = [deployment.backends[service][0] for service in services]
    staying = [deployment.backends[service][1] for service in services]
    set_state(deployment, staying, "draining")
    (node,) = deployment.start_nodes(1)
    for backend in leaving:
        backend.headers = LEAVING
    send_each_kind(node, 1)
    assert message_count(deployment, node, ANNOUNCED) == 3
    set_state(deployment, staying, "ready")
    wait_until(
        lambda: node.send_request("/bookings/1", method="POST").status == 200,
        3.0,
        "the servers that stay are used",
    )
    counts = [len(backend.arrivals) for backend in leaving]

    for backend in leaving:
        deployment.put("servers", backend.server_id, backend.entry(sequence=3))
    if is_store_down:
        deployment.store.status = 503
    time.sleep(1.0)
    send_each_kind(node, 20)

    assert [len(backend.arrivals) for backend in leaving] == counts


def test_server_that_started_again_after_it_left_is_used(
    deployment: Deployment,
) -> None:
    first, second = deployment.backends["records"]
    set_state(deployment, [second], "draining")
    (node,) = deployment.start_nodes(1)
    first.headers = LEAVING
    assert node.send_request("/records/1").status == 200
    assert node.send_request("/records/1").status == 503
    first.headers = ()

    deployment.put("servers", first.server_id, first.entry(born=1000))

    wait_until(
        lambda: node.send_request("/records/1").status == 200,
        3.0,
        "the server is used again",
    )


def test_paused_server_gets_nothing_until_its_pause_ends(
    deployment: Deployment,
) -> None:
    first, second = deployment.backends["records"]
    set_state(deployment, [second], "draining")
    (node,) = deployment.start_nodes(1)
    first.status = 503
    first.headers = (("Retry-After", "2.5"),)
    assert node.send_request("/records/1").status == 503
    asked_at_s = first.arrivals[-1].at_s
    assert len(first.arrivals) == 1
    first.status = 200
    set_state(deployment, [second], "ready")
    wait_until(
        lambda: node.send_request("/records/1").status == 200,
        2.0,
        "the other server is used",
    )
    # Now the other server asks for a pause too, so that none is left to use.
    second.status = 503
    second.headers = (("Retry-After", "30"),)
    assert node.send_request("/records/1").status in (200, 503)
    second_count = len(second.arrivals)
    wait_until(
        lambda: node.send_request("/records/1").status == 200,
        5.0,
        "the first server is used again",
    )

    assert len(second.arrivals) == second_count
    later = first.arrivals[1:]
    assert all(arrival.at_s - asked_at_s >= 2.4 for arrival in later)
    assert message_count(deployment, node, "backend server paused") == 2
    wait_until(
        lambda: message_count(deployment, node, "backend server resumed") == 1,
        2.0,
        "the end of the pause is logged",
    )


@pytest.mark.parametrize(
    "headers",
    [
        (("Server-Leaving", ""),),
        (("Server-Leaving", "0"),),
        (("Server-Leaving", "9" * 2000),),
        (("Server-Leaving", "yes"),),
        (("Server-Leaving", "yes"), ("Server-Leaving", "no")),
        (("Retry-After", ""),),
        (("Retry-After", "-1"),),
        (("Retry-After", "soon"),),
        (("Retry-After", "nan"),),
        (("Retry-After", "soon"), ("Retry-After", "later")),
    ],
)
def test_unreadable_announcements_take_no_server_out(
    deployment: Deployment, headers: tuple[tuple[str, str], ...]
) -> None:
    (node,) = deployment.start_nodes(1)
    for backend in deployment.backends["records"]:
        backend.headers = headers
        backend.status = 503
    assert node.send_request("/records/1").status == 503
    for backend in deployment.backends["records"]:
        backend.status = 200

    assert node.send_request("/records/1").status == 200
    assert "unreadable reply header" in deployment.messages(node)


@pytest.mark.parametrize(
    "load",
    ["9" * 400 + ",0,2", "1," + "9" * 5000 + ",2", "-7,0,2", "1,0", "a,b,c"],
    ids=["huge", "of many digits", "negative", "too short", "no numbers"],
)
def test_unreadable_load_of_servers_fails_no_request(
    deployment: Deployment, load: str
) -> None:
    for backends in deployment.backends.values():
        for backend in backends:
            backend.headers = (("X-Server-Load", load),)
    (node,) = deployment.start_nodes(1)

    send_each_kind(node, 5)

    assert "a handler failed" not in deployment.messages(node)
