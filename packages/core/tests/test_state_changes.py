"""Changes of a node's state that are logged."""

import pytest

from mulberrybay_core.state_changes import NodeState, find_changes

STABLE_STATE = NodeState(
    has_lease=True,
    epoch=5,
    live_peer_ids=frozenset({"node-2", "node-3"}),
    held_count=4,
)


@pytest.mark.parametrize(
    ("changes", "lines"),
    [
        ({}, []),
        ({"has_lease": False}, ["lease lost|"]),
        ({"epoch": 6}, ["epoch begun|"]),
        ({"is_platform_failing": True}, ["platform lost|platform"]),
        ({"live_peer_ids": frozenset({"node-3"})}, ["peer lost|node-2"]),
        ({"out_domains": frozenset({"d1"})}, ["failure domain out|d1"]),
        ({"out_servers": frozenset({"vm-1"})}, ["backend server out|vm-1"]),
        ({"held_count": 6}, ["holdings moved|"]),
        ({"held_count": 3, "claiming_count": 3}, []),
    ],
)
def test_each_change_is_reported_once_in_both_directions(
    changes: dict[str, object], lines: list[str]
) -> None:
    """Fails if a change is not reported, reported twice, or lacks its step.

    The reverse change must be reported too. A change of the holdings is
    reported only once no claim is in progress, since the count still changes
    until then.
    """
    changed = STABLE_STATE._replace(**changes)  # type: ignore[arg-type]
    found = [
        f"{x.message}|{x.peer}" for x in find_changes(STABLE_STATE, changed)
    ]
    assert found == lines
    assert all(x.step for x in find_changes(STABLE_STATE, changed))
    back = list(find_changes(changed, STABLE_STATE))
    assert bool(back) == bool(changes)


def test_line_of_a_new_epoch_says_why_the_one_before_ended() -> None:
    changed = STABLE_STATE._replace(epoch=6, last_epoch_end="node-2: renewed 2")
    (change,) = find_changes(STABLE_STATE, changed)
    assert change.detail == "epoch 6; node-2: renewed 2"
