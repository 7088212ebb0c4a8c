"""Which node sends a request under which servers have crashed."""

import pytest

from mulberrybay_core.addresses import Address
from mulberrybay_core.edge_nodes import EdgeHeartbeat, EdgeNodeInfo, EdgeNodes
from mulberrybay_core.request_owner import (
    MIN_CUT_OFF_S,
    OwnerCandidates,
    choose_owner,
    find_owned,
    rank_owners,
)

IDENTITY = b"identity"
INFOS = [
    EdgeNodeInfo(
        f"node-{number}", 1, "a", Address("10.0.0.1", 1), Address("10.0.0.1", 2)
    )
    for number in range(4)
]
OWNER, SECOND, THIRD, LAST = rank_owners(IDENTITY, INFOS)


def nodes_of(
    own_info: EdgeNodeInfo, revisions: dict[str, int] | None = None
) -> EdgeNodes:
    """Returns what a node knows that has heard all others."""
    nodes = EdgeNodes(own_info, 0.0)
    for info in INFOS:
        if info != own_info:
            revision = (revisions or {}).get(info.name, 7)
            nodes.record_heartbeat(
                EdgeHeartbeat(info, True, revision, (), 0.0, 0.0, False), 1.0
            )
    return nodes


@pytest.mark.parametrize("own_info", [SECOND, THIRD, LAST])
def test_all_other_nodes_hand_a_request_to_the_same_owner(
    own_info: EdgeNodeInfo,
) -> None:
    ranked = rank_owners(IDENTITY, reversed(INFOS))
    assert choose_owner(ranked, nodes_of(own_info), 7, set()) == OWNER


def test_each_request_is_owned_by_one_node_that_all_name() -> None:
    identities = [bytes([number]) for number in range(40)]
    owned = {
        identity: info
        for info in INFOS
        for identity in find_owned(identities, INFOS, info.name)
    }
    assert owned == {
        identity: rank_owners(identity, INFOS)[0] for identity in identities
    }
    assert len({*owned.values()}) == len(INFOS)
    assert not [*find_owned(identities, INFOS[1:], INFOS[0].name)]


def test_owner_sends_a_request_itself() -> None:
    ranked = rank_owners(IDENTITY, INFOS)
    assert choose_owner(ranked, nodes_of(OWNER), 7, set()) is None


def test_owner_with_an_older_configuration_is_passed_over() -> None:
    ranked = rank_owners(IDENTITY, INFOS)
    older = {OWNER.name: 6}
    assert choose_owner(ranked, nodes_of(LAST, older), 7, set()) == SECOND
    assert choose_owner(ranked, nodes_of(SECOND, older), 7, set()) is None


def test_owner_that_is_not_reached_is_replaced_by_the_next_node() -> None:
    ranked = rank_owners(IDENTITY, INFOS)
    nodes = nodes_of(LAST)
    unreached = {OWNER.name}
    assert choose_owner(ranked, nodes, 7, unreached) == SECOND
    unreached |= {SECOND.name, THIRD.name}
    assert choose_owner(ranked, nodes, 7, unreached) is None


def test_owners_of_many_requests_are_spread_over_the_nodes() -> None:
    owners = {rank_owners(b"%d" % number, INFOS)[0] for number in range(64)}
    assert owners == {*INFOS}


NAMES = [info.name for info in INFOS]


def candidate_names(candidates: OwnerCandidates, now_s: float) -> list[str]:
    return [info.name for info in candidates.choose(INFOS, now_s)]


def test_candidate_that_is_cut_off_is_replaced_only_after_a_time() -> None:
    candidates = OwnerCandidates()
    before = candidate_names(candidates, 0.0)
    reaching = [name for name in NAMES if name != before[0]]
    for now_s in (0.0, MIN_CUT_OFF_S / 2):
        candidates.record_reach(NAMES, reaching, now_s)
    assert candidate_names(candidates, MIN_CUT_OFF_S / 2) == before
    assert before[0] not in candidate_names(candidates, MIN_CUT_OFF_S)


def test_candidates_stay_while_servers_return_to_one_node_after_another() -> (
    None
):
    candidates = OwnerCandidates()
    before = candidate_names(candidates, 0.0)
    for now_s in (0.0, 10.0):
        candidates.record_reach(NAMES, [], now_s)
    candidates.record_reach(NAMES, NAMES[:1], 10.1)
    assert candidate_names(candidates, 10.2) == before


def test_candidate_that_reaches_servers_again_is_no_longer_replaced() -> None:
    candidates = OwnerCandidates()
    before = candidate_names(candidates, 0.0)
    candidates.record_reach(NAMES, NAMES[:2], 0.0)
    candidates.record_reach(NAMES, NAMES, 5.0)
    assert candidate_names(candidates, 5.0) == before
