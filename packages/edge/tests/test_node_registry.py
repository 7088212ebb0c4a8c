"""What nodes store in their entries for nodes that start later."""

import math
from collections.abc import Callable, Collection, Mapping, Sequence

import pytest

from mulberrybay_core.addresses import Address
from mulberrybay_core.edge_nodes import EdgeNodeInfo, EdgeNodes
from mulberrybay_core.store_messages import (
    JsonObject,
    ObjectList,
    StoredObject,
    WriteOutcome,
    WriteResult,
)
from mulberrybay_edge.node_registry import (
    NODE_KIND,
    NodeRegistry,
    decode_fatal_requests,
    decode_registration,
    encode_registration,
)

INFO = EdgeNodeInfo(
    "node", 1, "domain", Address("10.0.0.1", 1), Address("10.0.0.1", 2)
)


def test_entry_keeps_condemned_requests() -> None:
    fatal_requests = {"ab" * 16: (1, 2**64 - 1)}
    value = encode_registration(INFO, 0, fatal_requests)
    stored = StoredObject("nodes", "node", 1, value)
    assert decode_fatal_requests(stored) == fatal_requests
    assert decode_registration(stored) == INFO


@pytest.mark.parametrize(
    "fatal_requests",
    [None, [], "text", {"no hex": ["1"]}, {"ab": ["z"]}, {"ab": 1}, {1: [2]}],
)
def test_malformed_condemned_requests_are_ignored(
    fatal_requests: object,
) -> None:
    value = encode_registration(INFO, 0)
    value["fatal_requests"] = fatal_requests
    stored = StoredObject("nodes", "node", 1, value)
    assert decode_fatal_requests(stored) == {}
    assert decode_registration(stored) == INFO


@pytest.mark.parametrize("number", [math.inf, math.nan, "9" * 5000, None])
def test_entry_with_a_number_out_of_range_names_no_node(number: object) -> None:
    value = {**encode_registration(INFO, 0), "incarnation": number}
    stored = StoredObject("nodes", "node", 1, value)
    assert decode_registration(stored) is None


CONDEMNED = "ab" * 16


class FakeStore:
    """Confirms all writes and keeps the last one."""

    def __init__(self) -> None:
        self.era = 0
        self.version = 10
        self.value: JsonObject = {}

    def write(
        self,
        kind: str,
        name: str,
        value: JsonObject,
        expected_version: int,
        on_written: Callable[[WriteResult], None],
    ) -> None:
        del kind, name, expected_version
        self.version += 1
        self.value = value
        on_written(WriteResult(WriteOutcome.WRITTEN, self.version))


class FakeKnowledge:
    """Knows the condemned request, which another node owns."""

    def __init__(self) -> None:
        self.is_owner = False
        self.server_keys: tuple[int, ...] = (1,)

    def stored(self, kept: Collection[str]) -> Mapping[str, Sequence[int]]:
        is_stored = self.is_owner or CONDEMNED in kept
        return {CONDEMNED: self.server_keys} if is_stored else {}

    def restore(self, stored: Mapping[str, Sequence[int]]) -> None:
        del stored


class Registered:
    """A node that starts after an earlier one stored the request."""

    def __init__(self) -> None:
        self.store = FakeStore()
        self.knowledge = FakeKnowledge()
        self.registry = NodeRegistry(
            self.store,  # type: ignore[arg-type]
            None,  # type: ignore[arg-type]
            EdgeNodes(INFO._replace(incarnation=2), 0.0),
            self.knowledge,
        )
        earlier = encode_registration(INFO, 0, {CONDEMNED: [1]})
        self.registry.on_list(
            ObjectList((StoredObject(NODE_KIND, "node", 1, earlier),), 1)
        )

    def see_entry(
        self, name: str, fatal_requests: dict[str, list[int]]
    ) -> None:
        """Lets the node see the entry of another node."""
        value = encode_registration(INFO._replace(name=name), 0, fatal_requests)
        entry = StoredObject(NODE_KIND, name, 2, value)
        self.registry.on_changes(ObjectList((entry,), 2))
        self.registry.update()

    @property
    def holds(self) -> bool:
        return "fatal_requests" in self.store.value


def test_restarted_node_keeps_what_no_other_entry_holds_yet() -> None:
    node = Registered()
    assert node.holds
    node.see_entry("a-node", {})
    assert node.holds

    node.see_entry("a-node", {CONDEMNED: [1]})
    assert not node.holds


def test_of_two_nodes_that_hold_the_same_one_keeps_it() -> None:
    node = Registered()
    node.see_entry("z-node", {CONDEMNED: [1]})
    assert node.holds


def test_owner_stores_what_another_entry_holds_too() -> None:
    node = Registered()
    node.knowledge.is_owner = True
    node.see_entry("a-node", {CONDEMNED: [1]})
    assert node.holds


def test_failed_trial_of_a_stored_request_is_stored_too() -> None:
    node = Registered()
    node.knowledge.server_keys = (1, 2)

    node.registry.update()

    assert node.store.value["fatal_requests"] == {CONDEMNED: ["1", "2"]}
