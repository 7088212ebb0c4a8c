"""Tests the administration API of running nodes: changes, audit, metrics."""

import re
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from mulberrybay_core.configuration_file import encode_class_tables
from mulberrybay_core.documents import decode_configuration
from mulberrybay_testing.deployment import Deployment
from mulberrybay_testing.http_caller import HttpAnswer, send_request
from mulberrybay_testing.waiting import wait_until

IN_FORCE_TIMEOUT_S = 5.0
PLATFORM_DELAY_S = 0.3


@pytest.fixture(scope="module")
def deployment(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[Deployment]:
    """A platform, backend servers and three nodes."""
    with Deployment(tmp_path_factory.mktemp("operators")) as running:
        yield running


def get(deployment: Deployment, path: str, index: int = 0) -> HttpAnswer:
    return send_request(
        deployment.nodes[index].operator_port,
        "GET",
        path,
        headers={"Authorization": "Bearer test-token"},
    )


def is_in_force(deployment: Deployment, revision: int) -> bool:
    return all(
        deployment.status(node)["revision"] >= revision
        for node in deployment.nodes
    )


@pytest.mark.parametrize(
    "headers",
    [
        {},
        {"Authorization": "Bearer wrong"},
        {"Authorization": "test-token"},
        {"Authorization": "Bearer \\ud800"},
        {"Authorization": "Bearer \xff"},
    ],
)
def test_requests_without_a_valid_token_are_refused(
    deployment: Deployment, headers: dict[str, str]
) -> None:
    port = deployment.nodes[0].operator_port
    answer = send_request(port, "GET", "/v1/status", headers=headers)
    assert answer.status == 401
    assert answer.headers["www-authenticate"].startswith("Bearer")


def test_callers_port_has_no_operator_routes(deployment: Deployment) -> None:
    answer = send_request(
        deployment.nodes[0].caller_port,
        "PUT",
        "/v1/domains/d2",
        b'{"state": "out"}',
        {"Authorization": "Bearer test-token", "Change-Id": "sneaky"},
    )
    assert answer.status == 404


def test_domain_change_is_in_force_at_all_nodes_and_audited(
    deployment: Deployment,
) -> None:
    accepted = deployment.change(
        deployment.nodes[1],
        "/v1/domains/d2",
        {"state": "out"},
        Change_Id="out-d2",
        Operator="amina\x9b\x85",
    )
    revision = accepted.json()["revision"]
    assert accepted.status == 200
    assert accepted.json()["outcome"] == "accepted"
    assert accepted.headers["etag"] == f'"{revision}"'
    wait_until(
        lambda: is_in_force(deployment, revision),
        IN_FORCE_TIMEOUT_S,
        f"revision {revision} in force",
    )
    stored = get(deployment, "/v1/configuration").json()
    assert stored["out_domains"] == ["d2"]
    restored = deployment.change(
        deployment.nodes[2], "/v1/domains/d2", {"state": "in"}
    )
    assert restored.json()["revision"] == revision + 1
    entries = get(deployment, "/v1/audit?count=2", 2).json()["entries"]
    assert [entry["revision"] for entry in entries] == [revision + 1, revision]
    assert entries[1]["author"] == "amina"
    assert entries[1]["summary"] == "failure domain d2 out"
    assert entries[1]["previous_revision"] == revision - 1
    assert entries[1]["change_id"] == "out-d2"


def test_change_with_the_same_id_returns_the_same_revision(
    deployment: Deployment,
) -> None:
    server_id = deployment.backends[0]["vm_id"]
    path = f"/v1/servers/{server_id}"
    first = deployment.change(
        deployment.nodes[0], path, {"state": "out"}, Change_Id="twice"
    )
    other = deployment.change(deployment.nodes[1], path, {"state": "in"})
    second = deployment.change(
        deployment.nodes[2], path, {"state": "out"}, Change_Id="twice"
    )
    assert second.json()["revision"] == first.json()["revision"]
    assert second.json()["was_repeat"] is True
    assert other.json()["revision"] == first.json()["revision"] + 1
    stored = deployment.get_object("configuration", "current").json()["value"]
    assert stored["out_servers"] == []


def test_change_is_confirmed_when_the_platform_reply_is_lost(
    deployment: Deployment,
) -> None:
    """The platform stores the change, but the node gets no reply.

    The node must find out that the change was stored. It must neither report
    a failure nor store the change a second time.
    """
    before = get(deployment, "/v1/configuration").json()["revision"]
    deployment.control_platform(
        lose_answers={"kind": "configuration", "count": 1}
    )
    answer = deployment.change(
        deployment.nodes[0], "/v1/domains/d1", {"state": "out"}
    )
    deployment.change(deployment.nodes[0], "/v1/domains/d1", {"state": "in"})
    stored = deployment.get_object("configuration", "current").json()["value"]
    assert answer.status == 200
    assert answer.json()["revision"] == before + 1
    assert stored["revision"] == before + 2


def test_second_change_based_on_the_same_revision_is_rejected(
    deployment: Deployment,
) -> None:
    stored = deployment.get_object("configuration", "current").json()["value"]
    etag = f'"{stored["revision"]}"'
    answers = [
        deployment.change(
            node, "/v1/domains/d3", {"state": state}, If_Match=etag
        )
        for node, state in zip(deployment.nodes, ("out", "in"), strict=False)
    ]
    assert [answer.status for answer in answers] == [200, 412]
    assert answers[1].json()["outcome"] == "not_accepted"
    assert answers[1].json()["current_revision"] == stored["revision"] + 1
    deployment.change(deployment.nodes[0], "/v1/domains/d3", {"state": "in"})


def test_one_of_two_concurrent_changes_is_accepted_with_a_frozen_node(
    deployment: Deployment,
) -> None:
    """Two operators change the same revision through different nodes.

    The platform is slow, so that the changes overlap, and the third node is
    frozen. One change must be accepted, the other must be rejected with the
    current revision, and all nodes must get the accepted one.
    """
    stored = deployment.get_object("configuration", "current").json()["value"]
    etag = f'"{stored["revision"]}"'
    frozen_node = deployment.nodes[2]

    def take_out(index: int) -> HttpAnswer:
        path = f"/v1/domains/d{index + 1}"
        node = deployment.nodes[index]
        return deployment.change(node, path, {"state": "out"}, If_Match=etag)

    deployment.control_platform(delay_s=PLATFORM_DELAY_S)
    frozen_node.process.freeze()
    try:
        with ThreadPoolExecutor() as pool:
            answers = list(pool.map(take_out, range(2)))
    finally:
        deployment.control_platform(delay_s=0.0)
        frozen_node.process.thaw()
    assert sorted(answer.status for answer in answers) == [200, 412]
    winner = 0 if answers[0].status == 200 else 1
    won, lost = answers[winner].json(), answers[1 - winner].json()
    assert won["revision"] == stored["revision"] + 1
    assert lost["outcome"] == "not_accepted"
    assert lost["current_revision"] == won["revision"]
    wait_until(
        lambda: is_in_force(deployment, won["revision"]),
        IN_FORCE_TIMEOUT_S,
        "the change in force",
    )
    for index in range(3):
        current = get(deployment, "/v1/configuration", index).json()
        assert current["revision"] == won["revision"]
        assert current["out_domains"] == [f"d{winner + 1}"]
    path = f"/v1/domains/d{winner + 1}"
    deployment.change(deployment.nodes[0], path, {"state": "in"})


@pytest.mark.parametrize(
    ("path", "document", "headers", "status"),
    [
        ("/v1/domains/d9", {"state": "out"}, {}, 404),
        ("/v1/domains/d9", {"state": "in"}, {}, 404),
        ("/v1/servers/vm-none", {"state": "out"}, {}, 404),
        ("/v1/domains/d1", {"state": "gone"}, {}, 400),
        ("/v1/domains/d1", {"state": "out", "until": 1}, {}, 400),
        ("/v1/domains/d1", {"state": "out"}, {"Change_Id": ""}, 400),
        ("/v1/domains/d1", {"state": "out"}, {"If_Match": '"x"'}, 400),
    ],
)
def test_invalid_changes_are_refused(
    deployment: Deployment,
    path: str,
    document: object,
    headers: dict[str, str],
    status: int,
) -> None:
    answer = deployment.change(deployment.nodes[0], path, document, **headers)
    assert answer.status == status
    assert answer.json()["error"]["peer"] == "operator"


@pytest.mark.parametrize("outage", ["unavailable", "silent", "refuse"])
def test_change_during_a_platform_outage_is_not_accepted(
    deployment: Deployment, outage: str
) -> None:
    before = get(deployment, "/v1/configuration").json()["revision"]
    deployment.control_platform(outage=outage)
    answer = deployment.change(
        deployment.nodes[0],
        "/v1/domains/d1",
        {"state": "out"},
        X_Deadline_Ms="500",
    )
    deployment.control_platform(outage=None)
    stored = deployment.get_object("configuration", "current").json()["value"]
    assert answer.status == 503
    assert answer.json()["outcome"] == "not_accepted"
    assert int(answer.headers["retry-after"]) >= 1
    assert stored["revision"] == before


def test_new_configuration_requires_the_revision_and_keeps_out_domains(
    deployment: Deployment,
) -> None:
    node = deployment.nodes[0]
    path = "/v1/configuration"
    deployment.change(node, "/v1/domains/d1", {"state": "out"})
    read = get(deployment, path)
    etag = read.headers["etag"]
    document = encode_class_tables(
        decode_configuration(read.json()).ok.classes[:1]
    )
    invalid = {"class": [{**document["class"][0], "lateness_ms": -1, "x": 1}]}
    answers = [
        deployment.change(node, path, document),
        deployment.change(node, path, invalid, If_Match=etag),
        deployment.change(node, path, document, If_Match=etag),
        deployment.change(node, path, document, If_Match=etag),
    ]
    assert [answer.status for answer in answers] == [428, 400, 200, 412]
    assert len(answers[1].json()["error"]["problems"]) == 2
    stored = get(deployment, path).json()
    assert [item["name"] for item in stored["classes"]] == ["field-search"]
    assert stored["out_domains"] == ["d1"]


def test_scraped_metrics_match_the_documented_metrics(
    deployment: Deployment,
) -> None:
    deployment.query(deployment.nodes[0])
    port = deployment.nodes[0].operator_port
    text = send_request(port, "GET", "/metrics").body.decode()
    page = (Path(__file__).parents[1] / "docs" / "METRICS.md").read_text()
    scraped = {
        line.split()[2] for line in text.splitlines() if "# TYPE" in line
    }
    listed = set(re.findall(r"^\| `(\w+)`", page, re.MULTILINE))
    values = dict(
        line.rsplit(" ", 1)
        for line in text.splitlines()
        if not line.startswith("#")
    )
    count_key = (
        'mulberrybay_request_latency_seconds_count{class="field-search"}'
    )
    assert scraped == listed
    assert float(values[count_key]) >= 1
    assert float(values["mulberrybay_lease"]) == 1
    assert float(values['mulberrybay_members{state="heard"}']) == 2
    assert "vm-" not in text
