"""The commands that read from every node, against scripted responses."""

import json
from pathlib import Path
from typing import Any

import pytest
from expression import Error, Ok, Result

from mulberrybay_core.addresses import Address, parse_address
from mulberrybay_core.burn import SERIES_COUNT, BurnCounts, ClassBurn
from mulberrybay_core.configuration import Targets
from mulberrybay_core.operator_messages import NodeBurn
from mulberrybay_operators.burn_codec import encode_node_burn
from mulberrybay_operators.burn_command import report_burn
from mulberrybay_operators.command_line import ReportBurn, Status
from mulberrybay_operators.node_client import (
    NodeClient,
    NodeRequest,
    NodeResponse,
    NoResponse,
)
from mulberrybay_operators.outputs import Output, Session
from mulberrybay_operators.status_command import show_status

TARGETS = Targets(60, 99, 95, 8)
GIVEN_ADDRESS = "10.0.0.1:7003"


def member(number: int, **changes: Any) -> dict[str, Any]:  # noqa: ANN401
    return {
        "node_id": f"node-{number}",
        "failure_domain": "d1",
        "operator_address": f"10.0.0.{number}:7003",
        "is_serving": True,
        "is_leaving": False,
        "is_heard": True,
        "revision": 4,
        **changes,
    }


def burn(number: int, uptime_s: float, answer_count: int) -> dict[str, Any]:
    counts = BurnCounts(answer_count=answer_count, late_count=1)
    series = (BurnCounts(),) * (SERIES_COUNT - 1) + (counts,)
    item = ClassBurn(
        "field-search", TARGETS, counts, counts, counts, series, ()
    )
    node = NodeBurn(f"node-{number}", uptime_s, 4, (item,))
    return encode_node_burn(node)


def status(number: int) -> dict[str, Any]:
    return {
        **member(number),
        "has_lease": True,
        "members": ["node-1", "node-2", "node-3"],
        "held_count": number,
        "claiming_count": 0,
        "active_count": 0,
        "outstanding_count": 0,
        "drains": [],
        "is_platform_lost": False,
    }


class ScriptedClient(NodeClient):
    """Returns documents by address and path."""

    def __init__(self, given: str = GIVEN_ADDRESS) -> None:
        addresses = tuple(parse_address(text) for text in given.split(","))
        super().__init__(addresses, "token", 10.0)
        self.members = [member(1), member(2), member(3)]
        self.documents: dict[tuple[str, str], Any] = {}
        for number, uptime_s in ((1, 9000.0), (2, 9000.0), (3, 42.0)):
            host = f"10.0.0.{number}:7003"
            self.documents[host, "/v1/burn"] = burn(number, uptime_s, 10)
            self.documents[host, "/v1/status"] = status(number)
        self.asked: list[str] = []
        self.out_domains: list[str] = []

    def send_once(
        self, address: Address, request: NodeRequest, timeout_s: float
    ) -> Result[NodeResponse, NoResponse]:
        self.asked.append(str(address))
        key = (str(address), request.path)
        document = self.documents.get(key)
        is_node = any(host == str(address) for host, _ in self.documents)
        if is_node and request.path == "/v1/cluster":
            document = {"node_id": "node-1", "nodes": self.members}
        if is_node and request.path == "/v1/configuration":
            document = {
                "revision": 4,
                "out_domains": self.out_domains,
                "out_servers": [],
            }
        if document is None:
            return Error(NoResponse(address, f"{address}: refused", False))
        return Ok(NodeResponse(address, 200, {}, json.dumps(document).encode()))

    def cut(self, number: int) -> None:
        """Makes a node refuse all further requests."""
        host = f"10.0.0.{number}:7003"
        self.documents = {
            key: document
            for key, document in self.documents.items()
            if key[0] != host
        }


def report(client: ScriptedClient, **arguments: Any) -> Output:  # noqa: ANN401
    result = report_burn(Session(client, "amina"), ReportBurn(**arguments))
    output: Output = result.ok
    return output


def test_one_given_node_is_enough_and_each_node_counts_once() -> None:
    """A node given twice must not have its counts added twice."""
    client = ScriptedClient("10.0.0.1:7003,10.0.0.1:7003")
    output = report(client)
    item = output.document["classes"][0]
    assert item["since_start"]["answer_count"] == 30
    assert item["since_start"]["late_count"] == 3
    assert output.document["silent"] == []
    assert "3 of 3 nodes covered" in output.text


def test_only_option_lists_the_other_nodes_as_not_asked() -> None:
    """A report of some nodes must not pass for one of all nodes."""
    client = ScriptedClient()
    output = report(client, only=True)
    assert set(client.asked) == {GIVEN_ADDRESS}
    assert output.document["classes"][0]["since_start"]["answer_count"] == 10
    assert output.document["silent"] == [
        "node-2 (not asked: --only)",
        "node-3 (not asked: --only)",
    ]


def test_unreachable_node_is_listed_in_every_output(tmp_path: Path) -> None:
    """Sums without a node's counts must say so, also on the HTML page."""
    page = tmp_path / "burn.html"
    client = ScriptedClient()
    client.cut(2)
    output = report(client, html=page)
    expected = "node-2 (10.0.0.2:7003: refused)"
    assert output.document["silent"] == [expected]
    assert output.document["classes"][0]["since_start"]["answer_count"] == 20
    assert f"2 of 3 nodes covered; NOT covered: {expected}" in output.text
    assert f"NOT covered: {expected}" in page.read_text(encoding="utf-8")


def test_unreachable_given_node_is_listed_once_with_its_identity() -> None:
    """A given address that another node lists is the same missing node."""
    client = ScriptedClient("10.0.0.2:7003,10.0.0.1:7003")
    client.cut(2)
    output = report(client)
    assert output.document["silent"] == ["node-2 (10.0.0.2:7003: refused)"]
    assert client.asked.count("10.0.0.2:7003") == 1


@pytest.mark.parametrize(
    ("address", "text"),
    [
        ("", "node-3 (its address is unknown; use --node if it runs)"),
        ("10.0.0.2:7003", "node-3 (10.0.0.2:7003 is node-2)"),
        ("10.0.0.9:7003", "node-3 (10.0.0.9:7003: refused)"),
    ],
)
def test_member_with_a_wrong_address_is_listed(address: str, text: str) -> None:
    """A member whose address is unknown, another node's or unreachable."""
    client = ScriptedClient()
    client.members[2] = member(3, operator_address=address)
    output = report(client)
    assert output.document["silent"] == [text]
    assert output.document["classes"][0]["since_start"]["answer_count"] == 20


@pytest.mark.parametrize(
    "change", [{"short_window_s": 60.0}, {"series_step_s": 30.0}]
)
def test_counts_over_other_windows_are_not_added(
    change: dict[str, float],
) -> None:
    """Sums of counts over different time windows would be meaningless."""
    client = ScriptedClient()
    document = {**burn(2, 9000.0, 10), **change}
    client.documents["10.0.0.2:7003", "/v1/burn"] = document
    output = report(client)
    assert output.document["classes"][0]["since_start"]["answer_count"] == 20
    assert output.document["silent"][0].startswith("node-2 (counts over other")


def test_report_shows_since_when_each_node_counts(tmp_path: Path) -> None:
    """A restarted node's counts cover less time than those of its peers."""
    page = tmp_path / "burn.html"
    output = report(ScriptedClient(), html=page)
    nodes = output.document["nodes"]
    started = [node["counts_since"] for node in nodes]
    assert started[0] == started[1] < started[2]
    assert [node["uptime_s"] for node in nodes] == [9000.0, 9000.0, 42.0]
    for text in (output.text, page.read_text(encoding="utf-8")):
        assert started[0] in text
        assert started[2] in text


def test_given_node_that_has_stopped_is_not_counted_twice() -> None:
    """Other nodes list the stopped node, but without its address.

    The given address and the listed member can't be matched: both are listed
    as missing, but the number of nodes has it once.
    """
    client = ScriptedClient("10.0.0.2:7003,10.0.0.1:7003")
    client.members[1] = member(2, operator_address="", is_heard=False)
    client.cut(2)
    output = report(client)
    assert "2 of 3 nodes covered" in output.text
    assert output.document["node_count"] == 3
    assert [text.split()[0] for text in output.document["silent"]] == [
        *("10.0.0.2:7003:", "node-2")
    ]


def test_status_shows_nodes_out_of_service_and_without_platform() -> None:
    """Both conditions must show although the nodes themselves respond."""
    client = ScriptedClient()
    client.out_domains = ["d2"]
    for number, changes in (
        (1, {}),
        (2, {"failure_domain": "d2"}),
        (3, {"is_platform_lost": True}),
    ):
        key = (f"10.0.0.{number}:7003", "/v1/status")
        client.documents[key] = {**status(number), **changes}
    result = show_status(Session(client, "amina"), Status())
    lines = result.ok.text.splitlines()
    states = [line.split()[2] for line in lines[2:5]]
    assert states == ["serving", "out", "serving"]
    assert lines[5] == "platform lost at node-3"


def test_status_lists_unresponsive_and_unlisted_nodes() -> None:
    """A node in any node's list of members must appear in the output."""
    client = ScriptedClient()
    client.cut(3)
    client.members[2] = member(3, is_heard=False)
    document = client.documents["10.0.0.2:7003", "/v1/status"]
    document["members"].append("node-9")
    result = show_status(Session(client, "amina"), Status())
    rows = [line.split() for line in result.ok.text.splitlines()[2:5]]
    assert [row[0] for row in rows] == ["node-1", "node-2", "node-3"]
    assert [row[5] for row in rows] == ["1", "2", "?"]
    assert rows[2][2] == "silent"
    assert result.ok.document["silent"] == [
        "node-3 (10.0.0.3:7003: refused)",
        "node-9 (only node-2 lists it)",
    ]


def test_report_fails_if_no_node_responds() -> None:
    client = ScriptedClient("10.0.0.8:7003")
    result = report_burn(Session(client, "amina"), ReportBurn())
    assert "10.0.0.8:7003: refused" in result.error.detail


def test_report_says_that_the_timeout_is_too_short() -> None:
    client = ScriptedClient()
    client.timeout_s = 0.0
    result = report_burn(Session(client, "amina"), ReportBurn())
    assert "no time left; raise --timeout" in result.error.detail
