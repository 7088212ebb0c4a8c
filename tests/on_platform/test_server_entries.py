"""An entry of a backend server names a usable server, or none."""

from typing import Any, Final

import pytest
from deployment import Deployment
from hypothesis import given, settings, strategies
from test_store_input import DOCUMENTS, SERVER, values

from mulberrybay_core.server_directory import ServerEntry
from mulberrybay_core.store_messages import StoredObject

ODD_ADDRESSES: Final = (
    "::1:8104",
    "a.example:80",
    "127.0.0.1:0",
    "127.0.0.1:65536",
    "1.2.3:80",
    "127.0.0.1:\u0663",
    "256.0.0.1:80",
    "127.0.0.1",
    ":80",
    "127.0.0.01:80",
)


@settings(deadline=None, max_examples=300)
@given(
    changes=strategies.dictionaries(
        strategies.sampled_from([*SERVER, "more"]), values, min_size=1
    )
)
def test_any_entry_names_a_usable_server_or_none(
    changes: dict[str, Any],
) -> None:
    entry = DOCUMENTS.read_server(
        StoredObject("", "i-1", 1, {**SERVER, **changes})
    )
    assert entry is None or isinstance(entry, ServerEntry)
    if entry is not None:
        parts = entry.address.host.split(".")
        assert len(parts) == 4
        assert all(0 <= int(part) <= 255 for part in parts)
        assert 0 < entry.address.port < 65536
        assert entry.slot_count > 0
        assert 0 <= entry.cold_left_s < float("inf")


@pytest.mark.parametrize("name", sorted({*SERVER} - {"born"}))
def test_entry_that_lacks_a_field_names_no_server(name: str) -> None:
    value = {key: value for key, value in SERVER.items() if key != name}
    assert DOCUMENTS.read_server(StoredObject("", "i-1", 1, value)) is None


@pytest.mark.parametrize("address", ODD_ADDRESSES)
def test_entry_with_another_address_than_ipv4_names_no_server(
    address: str,
) -> None:
    value = {**SERVER, "address": address}
    assert DOCUMENTS.read_server(StoredObject("", "i-1", 1, value)) is None


def test_names_that_are_no_unicode_keep_no_node_from_the_list(
    deployment: Deployment,
) -> None:
    for backends in deployment.backends.values():
        for server in backends:
            entry = server.entry()
            deployment.put("servers", f"{server.server_id}\ud800", entry)
            odd = server.entry(
                zone="\ud800", revision="\ud800", service="\ud800"
            )
            deployment.put("servers", f"{server.server_id}-odd", odd)
    deployment.put("evacuations", "\ud800", {})
    nodes = deployment.start_nodes(3)

    for node in nodes:
        assert node.send_request("/search/x").status == 200
        assert "a handler failed" not in deployment.messages(node)
        assert "unreadable frame" not in deployment.messages(node)
