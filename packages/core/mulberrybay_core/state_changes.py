"""Finds the changes of a node's state that belong in its log."""

from collections.abc import Iterator
from typing import NamedTuple


class NodeState(NamedTuple):
    """The state of a node at one time, as far as changes of it are logged.

    Attributes:
        has_lease: Whether the node has a lease, without which it must not act.
        epoch: Its epoch.
        last_epoch_end: How its peers stood when the epoch before ended.
        is_platform_failing: Whether its last calls to the platform failed.
        live_peer_ids: The peers that sent a heartbeat within the length of a
            lease.
        out_domains: Failure domains out of service.
        out_servers: Backend servers out of service.
        held_count: Backend servers that the node holds.
        claiming_count: Backend servers that it is claiming.
    """

    has_lease: bool = False
    epoch: int = 0
    last_epoch_end: str = ""
    is_platform_failing: bool = False
    live_peer_ids: frozenset[str] = frozenset()
    out_domains: frozenset[str] = frozenset()
    out_servers: frozenset[str] = frozenset()
    held_count: int = 0
    claiming_count: int = 0


class StateChange(NamedTuple):
    """One change of state.

    Attributes:
        message: The log message.
        step: The area of work that changed, for the log line.
        peer: What changed besides the node: a peer, a backend server, a
            failure domain or the platform; empty for the node itself.
        is_warning: Whether to log it as a warning, because operators may have
            to act on it.
        detail: Further text, such as the new epoch; may be empty.
    """

    message: str
    step: str
    peer: str = ""
    is_warning: bool = False
    detail: str = ""


def find_changes(before: NodeState, after: NodeState) -> Iterator[StateChange]:
    """Yields each change between two states of a node."""
    if before.has_lease != after.has_lease:
        message = "lease won" if after.has_lease else "lease lost"
        yield StateChange(message, "membership", is_warning=not after.has_lease)
    if before.epoch and before.epoch != after.epoch:
        yield StateChange(
            "epoch begun",
            "membership",
            detail=f"epoch {after.epoch}; {after.last_epoch_end}",
        )
    if before.is_platform_failing != after.is_platform_failing:
        is_failing = after.is_platform_failing
        message = "platform lost" if is_failing else "platform back"
        yield StateChange(message, "platform", "platform", is_failing)
    for peer_id in sorted(before.live_peer_ids - after.live_peer_ids):
        yield StateChange("peer lost", "membership", peer_id, True)
    for peer_id in sorted(after.live_peer_ids - before.live_peer_ids):
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
