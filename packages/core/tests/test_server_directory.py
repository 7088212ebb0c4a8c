"""Guards against new requests to backend servers that can't serve them.

These are servers that are leaving, whose entry expired, whose failure domain
is out of service, or whose address belongs to another server.
"""

from mulberrybay_core.addresses import Address
from mulberrybay_core.server_directory import (
    REMOVED_ENTRY_GRACE_S,
    ServerDirectory,
    ServerEntry,
)

ENTRY = ServerEntry(
    "i-1", "search", Address("10.0.0.1", 80), "domain-a", 2, False, 0.0, 0
)


def usable_ids(directory: ServerDirectory) -> list[str]:
    return [server.entry.server_id for server in directory.usable("search")]


def test_leaving_server_is_not_usable() -> None:
    directory = ServerDirectory()
    directory.put(ENTRY, 0.0)
    (server,) = directory.usable("search")

    directory.put(ENTRY._replace(is_leaving=True), 1.0)

    assert usable_ids(directory) == []
    assert not directory.may_use(server, 1.0)


def test_server_in_a_domain_out_of_service_is_not_usable() -> None:
    directory = ServerDirectory()
    directory.put(ENTRY, 0.0)
    (server,) = directory.usable("search")

    directory.set_out_domains({"domain-a"})
    assert usable_ids(directory) == []
    assert not directory.may_use(server, 0.0)

    directory.set_out_domains(())
    assert usable_ids(directory) == ["i-1"]


def test_server_without_entry_is_usable_until_the_grace_period_ends() -> None:
    directory = ServerDirectory()
    directory.put(ENTRY, 0.0)

    (server,) = directory.usable("search")

    directory.remove("i-1", 10.0)
    directory.expire(10.0 + REMOVED_ENTRY_GRACE_S - 0.1)
    assert usable_ids(directory) == ["i-1"]
    assert directory.may_use(server, 10.0 + REMOVED_ENTRY_GRACE_S - 0.1)
    assert not directory.may_use(server, 10.01 + REMOVED_ENTRY_GRACE_S)

    directory.expire(10.01 + REMOVED_ENTRY_GRACE_S)
    assert usable_ids(directory) == []
    assert directory.pop_dropped_ids() == ["i-1"]


def test_entry_written_again_in_the_grace_period_keeps_the_server() -> None:
    directory = ServerDirectory()
    directory.put(ENTRY, 0.0)
    directory.remove("i-1", 10.0)

    directory.put(ENTRY, 11.0)
    directory.expire(10.0 + 2 * REMOVED_ENTRY_GRACE_S)

    assert usable_ids(directory) == ["i-1"]


def test_leaving_server_is_dropped_when_its_entry_is_removed() -> None:
    directory = ServerDirectory()
    directory.put(ENTRY._replace(is_leaving=True), 0.0)

    directory.remove("i-1", 1.0)

    assert directory.server_ids() == []


def test_server_that_changes_its_service_leaves_the_old_one() -> None:
    directory = ServerDirectory()
    directory.put(ENTRY, 0.0)
    (server,) = directory.usable("search")

    directory.put(ENTRY._replace(service="billing"), 1.0)

    assert usable_ids(directory) == []
    assert not directory.may_use(server, 1.0)
    assert len(directory.usable("billing")) == 1


def test_complete_list_removes_servers_that_are_missing_from_it() -> None:
    directory = ServerDirectory()
    directory.put(ENTRY, 0.0)
    directory.put(ENTRY._replace(server_id="i-2"), 0.0)

    directory.replace_all([ENTRY], 5.0)
    directory.expire(5.01 + REMOVED_ENTRY_GRACE_S)

    assert usable_ids(directory) == ["i-1"]


def test_server_with_a_reassigned_address_waits_for_a_new_entry() -> None:
    directory = ServerDirectory()
    directory.put(ENTRY, 0.0)
    (server,) = directory.usable("search")

    server.has_wrong_address = True
    assert usable_ids(directory) == []
    assert not directory.may_use(server, 0.0)

    directory.put(ENTRY._replace(address=Address("10.0.0.2", 80)), 1.0)
    assert usable_ids(directory) == ["i-1"]
