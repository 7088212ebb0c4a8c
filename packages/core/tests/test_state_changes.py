"""Which changes of state give a line in the log."""

import pytest

from mulberrybay_core.state_changes import NodeState, find_changes

CALM = NodeState(
    has_lease=True,
    epoch=5,
    heard_ids=frozenset({"node-2", "node-3"}),
    held_count=4,
)


@pytest.mark.parametrize(
    ("changes", "lines"),
    [
        ({}, []),
        ({"has_lease": False}, ["lease lost|"]),
        ({"epoch": 6}, ["epoch begun|"]),
        ({"is_platform_failing": True}, ["platform lost|platform"]),
        ({"heard_ids": frozenset({"node-3"})}, ["peer lost|node-2"]),
        ({"out_domains": frozenset({"d1"})}, ["failure domain out|d1"]),
        ({"out_servers": frozenset({"vm-1"})}, ["backend server out|vm-1"]),
        ({"held_count": 6}, ["holdings moved|"]),
        ({"held_count": 3, "claiming_count": 3}, []),
    ],
)
def test_one_line_for_each_change_and_back(
    changes: dict[str, object], lines: list[str]
) -> None:
    changed = CALM._replace(**changes)  # type: ignore[arg-type]
    found = [f"{x.message}|{x.peer}" for x in find_changes(CALM, changed)]
    assert found == lines
    assert all(x.step for x in find_changes(CALM, changed))
    back = list(find_changes(changed, CALM))
    assert bool(back) == bool(changes)
