"""Requests that crash each backend server that runs them, and come again."""

import http.client
import itertools
import pathlib
import threading
import time
from collections.abc import Iterable, Sequence
from typing import Final, NamedTuple

import pytest
from deployment import SHARDS, START_TIMEOUT_S, Deployment, RunningNode
from linked_deployment import LinkedDeployment
from standins import BackendStandIn

from mulberrybay_testing.http_server import Request
from mulberrybay_testing.waiting import wait_until

# The users' rule: later than this after the third crash, no more than
# `MAX_LATE_COUNT` repeats may reach servers.
CONTACT_S: Final = 4.0
MAX_LATE_COUNT: Final = 3
CRASH_COUNT: Final = 3
# A refusal that is known in advance takes no longer.
AT_ONCE_S: Final = 0.25
# Longer than a test.
HANG_S: Final = 600.0
FATAL_CALLER: Final = "mallory"
OTHER_CALLER: Final = "alice"
NOT_RUN_STATUSES: Final = (408, 421, 429, 503)


class ThreeZones(Deployment):
    """A deployment with three servers of each service."""

    zones = ("zone-a", "zone-b", "zone-c")


class Kind(NamedTuple):
    """A kind of request and the services that serve it."""

    path: str
    method: str
    services: tuple[str, ...]


RECORD: Final = Kind("/records/1", "GET", ("records",))
SEARCH: Final = Kind("/search/x", "GET", SHARDS)
BOOKING: Final = Kind("/bookings/1", "POST", ("bookings",))


class Sent(NamedTuple):
    """A request that was sent, and its answer; status 0 for none."""

    request_id: str
    sent_at_s: float
    took_s: float
    status: int
    retry_after: str


def is_fatal(request: Request) -> bool:
    return request.headers.get("authorization") == FATAL_CALLER


class Sender(threading.Thread):
    """Sends one request to nodes in turn until it is stopped."""

    _numbers = itertools.count(1)

    def __init__(
        self,
        nodes: list[RunningNode],
        kind: Kind,
        caller: str,
        gap_s: float,
    ) -> None:
        super().__init__(name=caller, daemon=True)
        self._nodes = nodes
        self._kind = kind
        self._gap_s = gap_s
        self._stop_requested = threading.Event()
        self.sent: list[Sent] = []

    def run(self) -> None:
        while not self._stop_requested.is_set():
            for node in [*self._nodes]:
                self.sent.append(self._send(node))
                time.sleep(self._gap_s)

    def _send(self, node: RunningNode) -> Sent:
        request_id = f"r-{next(self._numbers)}"
        sent_at_s = time.monotonic()
        status, retry_after = 0, ""
        try:
            answer = node.send_request(
                self._kind.path,
                method=self._kind.method,
                request_id=request_id,
                caller=self.name,
            )
            status = answer.status
            retry_after = answer.headers.get("retry-after", "")
        except (OSError, http.client.HTTPException):
            pass
        took_s = time.monotonic() - sent_at_s
        return Sent(request_id, sent_at_s, took_s, status, retry_after)

    def stop(self) -> list[Sent]:
        """Returns what was sent."""
        self._stop_requested.set()
        self.join()
        return self.sent


def servers_of(deployment: Deployment, kind: Kind) -> list[BackendStandIn]:
    return [
        server
        for service in kind.services
        for server in deployment.backends[service]
    ]


def make_fatal(servers: Iterable[BackendStandIn]) -> None:
    for server in servers:
        server.is_fatal = is_fatal


def crash_first(servers: Sequence[BackendStandIn], count: int) -> None:
    """Lets the first fatal requests crash servers, and the others hang."""
    numbers = itertools.count()

    def crashes_or_hangs(request: Request) -> bool:
        if not is_fatal(request):
            return False
        if next(numbers) >= count:
            for server in servers:
                server.crash_after_s = HANG_S
        return True

    for server in servers:
        server.is_fatal = crashes_or_hangs


def third_crash_at_s(servers: Iterable[BackendStandIn]) -> float:
    crashed_at_s = sorted(
        at_s for server in servers for at_s in server.crashed_at_s
    )
    return crashed_at_s[CRASH_COUNT - 1]


def arrival_times_s(
    servers: Iterable[BackendStandIn], sent: Iterable[Sent]
) -> dict[str, list[float]]:
    """Returns when each request arrived at servers, by its identifier."""
    ids = {item.request_id for item in sent}
    times_s: dict[str, list[float]] = {}
    for server in servers:
        for arrival in server.arrivals:
            if arrival.request_id in ids:
                times_s.setdefault(arrival.request_id, []).append(arrival.at_s)
    return times_s


def late_retry_count(servers: list[BackendStandIn], sent: list[Sent]) -> int:
    """Returns the repeats that reached servers when the rule forbids it."""
    due_at_s = third_crash_at_s(servers) + CONTACT_S
    return sum(
        max(times_s) > due_at_s
        for times_s in arrival_times_s(servers, sent).values()
    )


@pytest.mark.parametrize(
    "kind", [RECORD, SEARCH, BOOKING], ids=["record", "search", "booking"]
)
def test_request_that_crashed_three_servers_reaches_no_more_at_any_node(
    deployment: Deployment, kind: Kind
) -> None:
    nodes = deployment.start_nodes(4)
    servers = servers_of(deployment, kind)
    make_fatal(servers)
    fatal = Sender(nodes, kind, FATAL_CALLER, 0.1)
    other = Sender(nodes, kind, OTHER_CALLER, 0.02)
    other.start()
    fatal.start()
    time.sleep(3 * CONTACT_S)
    fatal_sent, other_sent = fatal.stop(), other.stop()

    late_count = late_retry_count(servers, fatal_sent)
    due_at_s = third_crash_at_s(servers) + CONTACT_S
    assert late_count <= MAX_LATE_COUNT
    others = [item for item in other_sent if item.sent_at_s > due_at_s]
    assert others
    assert [item for item in others if item.status != 200] == []
    arrived = arrival_times_s(servers, fatal_sent)
    for item in fatal_sent:
        assert (item.status in NOT_RUN_STATUSES) is (
            item.request_id not in arrived
        )
        if item.sent_at_s > due_at_s and item.request_id not in arrived:
            assert item.took_s < AT_ONCE_S
            assert float(item.retry_after) > 0


@pytest.mark.parametrize("kind", [RECORD, SEARCH], ids=["record", "search"])
def test_request_sent_to_all_nodes_at_once_reaches_few_servers_that_return(
    deployment: Deployment, kind: Kind
) -> None:
    nodes = deployment.start_nodes(4)
    servers = servers_of(deployment, kind)
    make_fatal(servers)
    for server in servers:
        # The repeats that condemn it come after `CONTACT_S` too.
        server.restart_after_s = CONTACT_S + 1
    fatal = [Sender([node], kind, FATAL_CALLER, 0.05) for node in nodes * 2]
    for sender in fatal:
        sender.start()
    time.sleep(3 * CONTACT_S)
    fatal_sent = [item for sender in fatal for item in sender.stop()]

    assert late_retry_count(servers, fatal_sent) <= MAX_LATE_COUNT
    arrived = arrival_times_s(servers, fatal_sent)
    for item in fatal_sent:
        if item.request_id in arrived:
            assert item.status not in NOT_RUN_STATUSES
    for node in nodes:
        wait_until(
            lambda node=node: send(node, kind, OTHER_CALLER) == 200,  # type: ignore[misc]
            2 * CONTACT_S,
            "others are served",
        )


def relay_targets(deployment: Deployment, nodes: list[RunningNode]) -> set[str]:
    """Returns the names of the nodes to which others handed requests."""
    return {
        line["node"]
        for node in nodes
        for line in deployment.log_lines(node)
        if line["message"] == "relayed"
    }


def start_fatal_senders(nodes: list[RunningNode], kind: Kind) -> list[Sender]:
    """Sends a fatal request to each node at the same time."""
    senders = [Sender([node], kind, FATAL_CALLER, 0.05) for node in nodes]
    for sender in senders:
        sender.start()
    return senders


def wait_for_owner(
    deployment: Deployment, nodes: list[RunningNode]
) -> RunningNode:
    """Waits until nodes hand the request to one of them, and returns it."""
    wait_until(
        lambda: bool(relay_targets(deployment, nodes)),
        START_TIMEOUT_S,
        "one node sends the request",
    )
    (name,) = relay_targets(deployment, nodes)
    return next(node for node in nodes if node.name == name)


def test_suspected_request_keeps_its_sender_while_that_loses_servers_briefly(
    tmp_path: pathlib.Path,
) -> None:
    with LinkedDeployment(tmp_path) as deployment:
        nodes = deployment.start_nodes(4)
        servers = servers_of(deployment, RECORD)
        make_fatal(servers)
        for server in servers:
            server.restart_after_s = START_TIMEOUT_S
        senders = start_fatal_senders(nodes, RECORD)
        owner = wait_for_owner(deployment, nodes)
        for _ in range(3):
            deployment.set_cut(owner.name, is_cut=True)
            time.sleep(1.0)
            deployment.set_cut(owner.name, is_cut=False)
            time.sleep(1.0)
        for sender in senders:
            sender.stop()

        lost = "no backend server can be reached"
        assert lost in deployment.messages(owner)
        assert relay_targets(deployment, nodes) == {owner.name}


@pytest.mark.parametrize("kind", [RECORD, SEARCH], ids=["record", "search"])
def test_suspected_request_does_not_wait_for_a_sender_that_stands_still(
    deployment: Deployment, kind: Kind
) -> None:
    nodes = deployment.start_nodes(4)
    wait_served(nodes, kind)
    servers = servers_of(deployment, kind)
    crash_first(servers, CRASH_COUNT - 1)
    for server in servers:
        server.restart_after_s = CONTACT_S
    senders = start_fatal_senders(nodes, kind)
    owner = wait_for_owner(deployment, nodes)
    for sender in senders:
        sender.stop()
    for server in servers:
        server.is_fatal = lambda _: False
    wait_served(nodes, kind)
    owner.process.freeze()
    other = next(node for node in nodes if node is not owner)
    sent_at_s = time.monotonic()
    status = other.send_request(
        kind.path, caller=FATAL_CALLER, deadline_ms=2000 * int(CONTACT_S)
    ).status
    took_s = time.monotonic() - sent_at_s
    owner.process.thaw()

    assert status == 200
    assert took_s < CONTACT_S


def condemn(
    deployment: Deployment, nodes: list[RunningNode], kind: Kind
) -> list[BackendStandIn]:
    """Sends a fatal request until all nodes refuse it."""
    servers = servers_of(deployment, kind)
    make_fatal(servers)
    sender = Sender(nodes, kind, FATAL_CALLER, 0.1)
    sender.start()
    for node in nodes:
        wait_until(
            lambda node=node: "request condemned" in deployment.messages(node),  # type: ignore[misc]
            START_TIMEOUT_S,
            "the node refuses the request",
        )
    sender.stop()
    return servers


def send(node: RunningNode, kind: Kind, caller: str = "") -> int:
    return node.send_request(
        kind.path, method=kind.method, caller=caller
    ).status


def wait_served(nodes: list[RunningNode], kind: Kind) -> None:
    for node in nodes:
        wait_until(
            lambda node=node: send(node, kind) == 200,  # type: ignore[misc]
            START_TIMEOUT_S,
            "the node serves",
        )


def assert_refused_everywhere(
    servers: list[BackendStandIn], nodes: list[RunningNode], kind: Kind
) -> None:
    """Asserts that the fatal request reaches no server."""
    counts = [len(server.crashed_at_s) for server in servers]
    for node in nodes:
        assert send(node, kind, FATAL_CALLER) == 503
        assert send(node, kind, OTHER_CALLER) == 200
    assert [len(server.crashed_at_s) for server in servers] == counts


def test_nodes_that_start_or_stood_still_refuse_the_request_too(
    deployment: Deployment,
) -> None:
    nodes = deployment.start_nodes(3)
    wait_served(nodes, RECORD)
    frozen, running = nodes[0], nodes[1:]
    frozen.process.freeze()
    servers = condemn(deployment, running, RECORD)
    restarted = running[0]
    restarted.process.kill()
    running = [*running[1:], deployment.restart(restarted)]
    frozen.process.thaw()
    nodes = [frozen, *running, deployment.start_node("node-4")]
    for node in nodes:
        wait_until(
            lambda node=node: "request condemned" in deployment.messages(node),  # type: ignore[misc]
            CONTACT_S,
            "the node has learned of it",
        )
    wait_served(nodes, RECORD)
    assert_refused_everywhere(servers, nodes, RECORD)


def test_nodes_that_are_all_killed_at_once_still_refuse_the_request(
    deployment: Deployment,
) -> None:
    nodes = deployment.start_nodes(3)
    servers = condemn(deployment, nodes, RECORD)
    wait_until(
        lambda: any(
            "fatal_requests" in str(deployment.store.spec(kind, name))
            for kind in ["mulberrybay-nodes"]
            for name in deployment.store.names(kind)
        ),
        CONTACT_S,
        "the request is stored",
    )
    for node in nodes:
        node.process.kill()
    nodes = [deployment.restart(node) for node in nodes]
    for node in nodes:
        wait_until(node.is_ready, START_TIMEOUT_S, "the node is ready")
    wait_served(nodes, RECORD)
    assert_refused_everywhere(servers, nodes, RECORD)


class ManyCallers(Sender):
    """Sends the same request of another caller each time."""

    def _send(self, node: RunningNode) -> Sent:
        self.name = f"caller-{next(self._numbers)}"
        return super()._send(node)


def test_slow_requests_beside_one_that_crashes_servers_are_not_condemned(
    deployment: Deployment,
) -> None:
    nodes = deployment.start_nodes(4)
    wait_served(nodes, SEARCH)
    servers = servers_of(deployment, SEARCH)
    make_fatal(servers)
    for server in servers:
        server.crash_after_s = 0.06
        server.delay_s = 0.25
    slow = [ManyCallers(nodes[n:] + nodes[:n], SEARCH, "", 0) for n in range(6)]
    fatal = [Sender([node], SEARCH, FATAL_CALLER, 0.1) for node in nodes[:2]]
    for sender in (*slow, *fatal):
        sender.start()
    time.sleep(2 * CONTACT_S)
    for sender in fatal:
        sender.stop()
    slow_sent = [item for sender in slow for item in sender.stop()]

    assert len(slow_sent) > 2 * len(servers)
    condemned = {
        line["identity"]
        for node in nodes
        for line in deployment.log_lines(node)
        if line["message"] == "request condemned"
    }
    assert len(condemned) == 1


@pytest.mark.parametrize("kind", [RECORD, SEARCH], ids=["record", "search"])
def test_popular_request_is_served_while_servers_end_in_series(
    tmp_path: pathlib.Path, kind: Kind
) -> None:
    with ThreeZones(tmp_path) as deployment:
        play_ending_servers(deployment, kind)


def play_ending_servers(deployment: Deployment, kind: Kind) -> None:
    nodes = deployment.start_nodes(4)
    wait_served(nodes, kind)
    servers = servers_of(deployment, kind)
    for server in servers:
        server.delay_s = 0.05
        server.restart_after_s = 0.3
    # Lost requests stay within the retry budget.
    senders = [Sender(nodes, kind, OTHER_CALLER, 0.0) for _ in range(2)]
    for sender in senders:
        sender.start()
    for number in range(12):
        # One replica of each service at a time.
        for server in servers[number % 3 :: 3]:
            deployment.crash(server)
        time.sleep(0.4)
    sent = [item for sender in senders for item in sender.stop()]

    crash_count = sum(len(server.crashed_at_s) for server in servers)
    assert crash_count >= len(servers) * 3
    for node in nodes:
        assert "request condemned" not in deployment.messages(node)
    failed_ids = {item.request_id for item in sent if item.status != 200}
    assert not failed_ids, "\n".join(
        f"{node.name}: {line}"
        for node in nodes
        for line in deployment.log_lines(node)
        if line.get("request_id") in failed_ids
    )


@pytest.mark.parametrize(("status", "is_cleared"), [(404, True), (500, False)])
def test_reply_that_a_server_ran_a_request_clears_it_also_if_it_is_no_success(
    deployment: Deployment, status: int, is_cleared: bool
) -> None:
    (node,) = deployment.start_nodes(1)
    wait_served([node], RECORD)
    servers = servers_of(deployment, RECORD)
    for server in servers:
        server.status = status
        server.delay_s = 0.3
        server.arrivals.clear()
    sender = Sender([node], RECORD, OTHER_CALLER, 0.0)
    sender.start()
    wait_until(
        lambda: any(server.arrivals for server in servers),
        CONTACT_S,
        "the request runs",
    )
    for server in servers:
        deployment.crash(server)
        server.delay_s = 0.0
    wait_until(
        lambda: "request suspected" in deployment.messages(node),
        CONTACT_S,
        "the crash is known",
    )
    crash_count = len(sender.sent)
    wait_until(
        lambda: (
            sum(one.status == status for one in sender.sent[crash_count:]) > 2
        ),
        CONTACT_S,
        "the servers are back",
    )
    sender.stop()
    node.process.terminate(4.0)
    messages = deployment.messages(node)
    assert ("request cleared" in messages) is is_cleared


def test_links_that_are_cut_and_reset_condemn_no_request(
    tmp_path: pathlib.Path,
) -> None:
    with LinkedDeployment(tmp_path) as deployment:
        nodes = deployment.start_nodes(3)
        wait_served(nodes, RECORD)
        for server in deployment.backends["records"]:
            server.delay_s = 0.05
        senders = [Sender(nodes, RECORD, OTHER_CALLER, 0.0) for _ in range(3)]
        for sender in senders:
            sender.start()
        for number in range(8):
            node = nodes[number % len(nodes)]
            deployment.set_cut(node.name, is_cut=True, drops_connections=True)
            time.sleep(0.3)
            deployment.set_cut(node.name, is_cut=False)
            time.sleep(0.3)
        for sender in senders:
            sender.stop()
        for node in nodes:
            assert "request condemned" not in deployment.messages(node)
        wait_served(nodes, RECORD)
