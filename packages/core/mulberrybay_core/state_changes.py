"""Which changes of a node's state are worth a line in its log."""

from collections.abc import Iterator
from typing import NamedTuple


class NodeState(NamedTuple):
    """What is compared between two looks at a node.

    Attributes:
        has_lease: Whether the node may act.
        epoch: Its epoch.
        is_platform_failing: Whether the platform's last calls failed.
        heard_ids: The peers heard within the length of a lease.
        out_domains: Failure domains out of service.
        out_servers: Backend servers out of service.
        held_count: Backend servers that the node holds.
        claiming_count: Backend servers that it is about to hold.
    """

    has_lease: bool = False
    epoch: int = 0
    is_platform_failing: bool = False
    heard_ids: frozenset[str] = frozenset()
    out_domains: frozenset[str] = frozenset()
    out_servers: frozenset[str] = frozenset()
    held_count: int = 0
    claiming_count: int = 0


class StateChange(NamedTuple):
    """One change of state.

    Attributes:
        message: What changed.
        step: The part of the work that it concerns.
        peer: The peer that it concerns; empty for the node itself.
        is_warning: Whether operators may want to act on it.
        detail: A number or an identity; empty if there is none.
    """

    message: str
    step: str
    peer: str = ""
    is_warning: bool = False
    detail: str = ""


def find_changes(before: NodeState, after: NodeState) -> Iterator[StateChange]:
    """Returns what changed between two looks."""
    if before.has_lease != after.has_lease:
        message = "lease won" if after.has_lease else "lease lost"
        yield StateChange(message, "membership", is_warning=not after.has_lease)
    if before.epoch and before.epoch != after.epoch:
        yield StateChange(
            "epoch begun", "membership", detail=f"epoch {after.epoch}"
        )
    if before.is_platform_failing != after.is_platform_failing:
        is_lost = after.is_platform_failing
        message = "platform lost" if is_lost else "platform back"
        yield StateChange(message, "platform", "platform", is_lost)
    for peer_id in sorted(before.heard_ids - after.heard_ids):
        yield StateChange("peer lost", "membership", peer_id, True)
    for peer_id in sorted(after.heard_ids - before.heard_ids):
        yield StateChange("peer back", "membership", peer_id)
    yield from _find_service_changes(before, after)
    is_settled = after.claiming_count == 0
    if is_settled and before.held_count != after.held_count:
        detail = f"{before.held_count} -> {after.held_count}"
        yield StateChange("holdings moved", "holding", detail=detail)


def _find_service_changes(
    before: NodeState, after: NodeState
) -> Iterator[StateChange]:
    for label, old, new in (
        ("failure domain", before.out_domains, after.out_domains),
        ("backend server", before.out_servers, after.out_servers),
    ):
        for name in sorted(new - old):
            yield StateChange(
                f"{label} out", "configuration", name, is_warning=True
            )
        for name in sorted(old - new):
            yield StateChange(f"{label} in", "configuration", name)
