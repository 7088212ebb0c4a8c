"""Each confirmed configuration is in force in time, whatever the store did."""

import math
import pathlib
import threading
import time
from collections.abc import Callable, Iterator
from typing import Any, Final

import pytest
from deployment import RunningNode, configuration, route
from faulty_deployment import STORE, FaultyDeployment

from mulberrybay_core.restore_rules import RESTORE_PERIOD_S

# The users' bounds of the smaller deployments.
CONTACT_S: Final = 4.0
CONFIG_APPLY_S: Final = 3.0
ROLLBACK_SLACK_S: Final = 0.25
POLL_S: Final = 0.05
# Only the version itself has the route, so a late backend server shows it too.
IN_FORCE_STATUSES: Final = (200, 504)
# By then the store's word goes before what nodes know.
LOWER_REVISION_S: Final = RESTORE_PERIOD_S + CONTACT_S
AWAY_S: Final = 0.7
COPY_AGE_S: Final = 2.0
MAX_WRITE_AGAIN_S: Final = 2.0


class Operator:
    """Writes versions of the configuration and follows them at each node.

    Attributes:
        problems: What was seen too late or went back.
    """

    def __init__(self, deployment: FaultyDeployment) -> None:
        self.deployment = deployment
        self.revision = 1
        self.disrupted_until_s = time.monotonic()
        self.problems: list[str] = []
        self._is_over = threading.Event()
        self._written: list[tuple[int, float]] = []
        self._pollers = [
            threading.Thread(target=self._poll, args=(node,))
            for node in deployment.nodes
        ]

    def __enter__(self) -> "Operator":
        for poller in self._pollers:
            poller.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._is_over.set()
        for poller in self._pollers:
            poller.join()

    def write(self, **fields: object) -> None:
        """Writes a version that alone has a route of its number."""
        self.revision += 1
        document = versioned(self.revision, **fields)
        # Nodes may have it before it is confirmed.
        self._written.append((self.revision, math.inf))
        self.deployment.put("config", "main", document)
        self._written[-1] = (self.revision, time.monotonic())

    def end_disruption(self) -> None:
        """Notes that the store or a node has just been disrupted."""
        self.disrupted_until_s = time.monotonic()

    def wait_until_due(self) -> None:
        """Waits until the last version is due, and a second more."""
        due_s = self._due_s(self._written[-1][1])
        time.sleep(max(0.0, due_s - time.monotonic()) + 1.0)

    def _due_s(self, written_at_s: float) -> float:
        return max(
            written_at_s + CONFIG_APPLY_S, self.disrupted_until_s + CONTACT_S
        )

    def _poll(self, node: RunningNode) -> None:
        """Asks for the route of the last version, again and again."""
        newest, newest_at_s = 0, 0.0
        while not self._is_over.wait(POLL_S):
            if not self._written:
                continue
            revision, written_at_s = self._written[-1]
            sent_at_s = time.monotonic()
            try:
                answer = node.send_request(f"/revision-{revision}/1")
            except OSError as error:
                self.problems.append(f"{node.name}: {error!r}")
                continue
            if self._written[-1][0] != revision:
                continue
            late_s = sent_at_s - self._due_s(written_at_s)
            if answer.status in IN_FORCE_STATUSES:
                if revision > newest:
                    newest, newest_at_s = revision, time.monotonic()
                continue
            if late_s > 0:
                self.problems.append(
                    f"{node.name} lacks version {revision} {late_s:.2f} s"
                    f" after it was due: {answer.status}"
                )
            elif (
                revision == newest
                and sent_at_s > newest_at_s + ROLLBACK_SLACK_S
            ):
                self.problems.append(f"{node.name} went back from {revision}")


def versioned(revision: int, **fields: object) -> dict[str, Any]:
    name = f"revision-{revision}"
    routes = configuration(revision)["routes"]
    added = route(name, f"/{name}/", service="records")
    return configuration(revision, routes=[*routes, added], **fields)


@pytest.fixture
def operator(tmp_path: pathlib.Path) -> Iterator[Operator]:
    with FaultyDeployment(tmp_path) as deployment:
        deployment.has_node_links = False
        deployment.start_nodes_in_each_zone(1)
        with Operator(deployment) as operator:
            operator.write()
            time.sleep(1.0)
            yield operator


# Disruptions of the store.


def fall_silent(operator: Operator, span_s: float) -> None:
    operator.deployment.store.fall_silent()
    time.sleep(span_s)
    operator.deployment.store.answer_again()
    operator.end_disruption()


def lose_connections(operator: Operator) -> None:
    """Open connections go silent for good, while new ones work."""
    operator.deployment.silence_open_connections(STORE)
    operator.end_disruption()


def go_away(deployment: FaultyDeployment) -> None:
    deployment.store.status = 503
    deployment.set_link_faults(STORE, {"drop_existing": True})
    time.sleep(AWAY_S)


def return_from_copy(operator: Operator) -> None:
    """Lets the store lose the versions of the last seconds."""
    copy = operator.deployment.take_store_copy()
    time.sleep(COPY_AGE_S)
    operator.write()
    time.sleep(0.5)
    store = operator.deployment.store
    go_away(operator.deployment)
    operator.deployment.return_store_from(copy)
    store.status = 0
    operator.end_disruption()


def return_and_write_again(operator: Operator) -> None:
    return_from_copy(operator)
    operator.deployment.write_again()


def return_twice(operator: Operator) -> None:
    return_from_copy(operator)
    time.sleep(MAX_WRITE_AGAIN_S / 2)
    operator.deployment.write_again()
    return_from_copy(operator)
    operator.deployment.write_again()


def return_and_fall_silent(operator: Operator) -> None:
    return_from_copy(operator)
    operator.deployment.write_again()
    fall_silent(operator, 4.5)


def fall_silent_and_return(operator: Operator) -> None:
    fall_silent(operator, 3.0)
    return_from_copy(operator)
    operator.deployment.write_again()


def return_before_it_is_written_again(operator: Operator) -> None:
    """The store falls silent before the operator could write again."""
    return_from_copy(operator)
    time.sleep(1.0)
    fall_silent(operator, 11.0)
    time.sleep(1.0)
    operator.deployment.write_again()


def forget(operator: Operator) -> None:
    operator.deployment.forget_history()


DISRUPTIONS: Final[dict[str, Callable[[Operator], None]]] = {
    "silent for 4.5 s": lambda operator: fall_silent(operator, 4.5),
    "silent for 11 s": lambda operator: fall_silent(operator, 11.0),
    "silent connections": lose_connections,
    "a drill": return_and_write_again,
    "two drills": return_twice,
    "a drill, then silent": return_and_fall_silent,
    "silent, then a drill": fall_silent_and_return,
    "silent before written again": return_before_it_is_written_again,
    "forgotten history": forget,
}


@pytest.mark.parametrize("name", DISRUPTIONS)
def test_confirmed_versions_are_in_force_in_time_and_stay(
    operator: Operator, name: str
) -> None:
    DISRUPTIONS[name](operator)

    for pause_s in (0.0, 0.3, 1.2):
        time.sleep(pause_s)
        operator.write()
    operator.wait_until_due()

    assert operator.problems == []


@pytest.mark.parametrize("name", ["silent for 4.5 s", "a drill"])
def test_version_written_as_the_nodes_are_in_touch_again_is_in_force_in_time(
    operator: Operator, name: str
) -> None:
    DISRUPTIONS[name](operator)

    time.sleep(CONTACT_S - CONFIG_APPLY_S)
    operator.write()
    operator.wait_until_due()

    assert operator.problems == []


def test_version_under_a_store_revision_given_out_again_is_in_force_in_time(
    operator: Operator,
) -> None:
    deployment = operator.deployment
    copy = deployment.take_store_copy()
    time.sleep(COPY_AGE_S)
    server = deployment.backends["records"][0]
    entry = server.entry(sequence=2)
    deployment.put("servers", server.server_id, entry)
    operator.write()
    time.sleep(1.0)
    go_away(deployment)
    deployment.return_store_from(copy)
    # As many changes as were lost, so that the revisions are the same.
    deployment.put("config", "main", versioned(operator.revision))
    operator.write()
    deployment.store.status = 0
    operator.end_disruption()
    time.sleep(1.0)
    deployment.put("servers", server.server_id, entry)

    operator.wait_until_due()

    assert operator.problems == []


UNREADABLE: Final[dict[str, Any]] = {
    "number too large": {"revision": 1e400},
    "endless number": {"routes": [{"timeout_ms": float("nan")}]},
    "no route": {"routes": [None]},
    "service that is no object": {"services": [17]},
    "limits that are no object": {"limits": [1]},
}


@pytest.mark.parametrize("name", UNREADABLE)
def test_version_that_can_not_be_decoded_does_not_keep_out_the_next_ones(
    operator: Operator, name: str
) -> None:
    for _ in range(2):
        document = {**configuration(operator.revision), **UNREADABLE[name]}
        operator.deployment.put("config", "main", document)
        operator.write()
        time.sleep(1.0)
    operator.wait_until_due()

    assert operator.problems == []


def test_object_beside_the_configuration_is_not_taken_for_it(
    operator: Operator,
) -> None:
    operator.deployment.put("config", "draft", configuration(10_000, routes=[]))
    time.sleep(1.0)
    operator.write()
    operator.wait_until_due()

    assert operator.problems == []


def test_node_that_starts_while_the_store_is_silent_follows_it_later(
    operator: Operator,
) -> None:
    deployment = operator.deployment
    deployment.store.fall_silent()
    deployment.nodes[0].process.kill()
    restarted = deployment.restart(deployment.nodes[0])
    time.sleep(4.0)
    deployment.store.answer_again()
    operator.end_disruption()

    operator.write()
    operator.wait_until_due()

    path = f"/revision-{operator.revision}/1"
    assert restarted.send_request(path).status == 200


def test_version_of_a_lower_number_that_stays_in_the_store_is_not_kept_out_for_good(
    operator: Operator,
) -> None:
    deployment = operator.deployment
    deployment.put("config", "main", versioned(10_000))
    time.sleep(1.0)
    deployment.put("config", "main", versioned(5_000))
    ends_at_s = time.monotonic() + LOWER_REVISION_S
    node = deployment.nodes[0]
    while node.send_request("/revision-5000/1").status != 200:
        assert time.monotonic() < ends_at_s
        time.sleep(POLL_S)
