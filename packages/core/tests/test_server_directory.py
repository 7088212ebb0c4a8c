"""Servers that leave, lapse or lie in a domain that is out get no new work."""

from mulberrybay_core.addresses import Address
from mulberrybay_core.server_directory import (
    LAPSE_GRACE_S,
    ServerDirectory,
    ServerEntry,
)

ENTRY = ServerEntry(
    "i-1", "search", Address("10.0.0.1", 80), "domain-a", 2, False, 0.0, 0
)


def usable_ids(directory: ServerDirectory) -> list[str]:
    return [known.entry.server_id for known in directory.usable("search")]


def test_leaving_server_gets_no_new_work() -> None:
    directory = ServerDirectory()
    directory.put(ENTRY, 0.0)
    (known,) = directory.usable("search")

    directory.put(ENTRY._replace(is_leaving=True), 1.0)

    assert usable_ids(directory) == []
    assert not directory.may_use(known, 1.0)


def test_server_in_a_domain_that_is_out_gets_no_new_work() -> None:
    directory = ServerDirectory()
    directory.put(ENTRY, 0.0)
    (known,) = directory.usable("search")

    directory.set_out_domains({"domain-a"})
    assert usable_ids(directory) == []
    assert not directory.may_use(known, 0.0)

    directory.set_out_domains(())
    assert usable_ids(directory) == ["i-1"]


def test_lapsed_entry_stays_in_use_until_the_grace_is_over() -> None:
    directory = ServerDirectory()
    directory.put(ENTRY, 0.0)

    (known,) = directory.usable("search")

    directory.remove("i-1", 10.0)
    directory.expire(10.0 + LAPSE_GRACE_S - 0.1)
    assert usable_ids(directory) == ["i-1"]
    assert directory.may_use(known, 10.0 + LAPSE_GRACE_S - 0.1)
    assert not directory.may_use(known, 10.01 + LAPSE_GRACE_S)

    directory.expire(10.01 + LAPSE_GRACE_S)
    assert usable_ids(directory) == []
    assert directory.take_forgotten() == ["i-1"]


def test_entry_that_comes_back_within_the_grace_stays() -> None:
    directory = ServerDirectory()
    directory.put(ENTRY, 0.0)
    directory.remove("i-1", 10.0)

    directory.put(ENTRY, 11.0)
    directory.expire(10.0 + 2 * LAPSE_GRACE_S)

    assert usable_ids(directory) == ["i-1"]


def test_entry_that_left_before_it_was_removed_goes_at_once() -> None:
    directory = ServerDirectory()
    directory.put(ENTRY._replace(is_leaving=True), 0.0)

    directory.remove("i-1", 1.0)

    assert directory.server_ids() == []


def test_address_that_moves_to_another_service_leaves_the_old_one() -> None:
    directory = ServerDirectory()
    directory.put(ENTRY, 0.0)
    (known,) = directory.usable("search")

    directory.put(ENTRY._replace(service="billing"), 1.0)

    assert usable_ids(directory) == []
    assert not directory.may_use(known, 1.0)
    assert len(directory.usable("billing")) == 1


def test_complete_list_removes_what_is_not_in_it() -> None:
    directory = ServerDirectory()
    directory.put(ENTRY, 0.0)
    directory.put(ENTRY._replace(server_id="i-2"), 0.0)

    directory.replace_all([ENTRY], 5.0)
    directory.expire(5.01 + LAPSE_GRACE_S)

    assert usable_ids(directory) == ["i-1"]


def test_server_whose_address_another_has_waits_for_a_new_entry() -> None:
    directory = ServerDirectory()
    directory.put(ENTRY, 0.0)
    (known,) = directory.usable("search")

    known.is_misplaced = True
    assert usable_ids(directory) == []
    assert not directory.may_use(known, 0.0)

    directory.put(ENTRY._replace(address=Address("10.0.0.2", 80)), 1.0)
    assert usable_ids(directory) == ["i-1"]
