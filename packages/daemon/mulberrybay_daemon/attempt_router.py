"""Routes attempts to the nodes that hold their backend servers."""

from collections import defaultdict
from collections.abc import Callable

from mulberrybay_core.attempts import (
    Attempt,
    AttemptBatch,
    AttemptOutcome,
    AttemptReply,
    AttemptReplyHandler,
)
from mulberrybay_core.errors import RunState
from mulberrybay_core.fleet import BackendServer
from mulberrybay_core.holdings import choose_holder
from mulberrybay_core.member_messages import NodeInfo
from mulberrybay_daemon.holder import Holder
from mulberrybay_nodes.links import Link, NodeLinks
from mulberrybay_nodes.peer_messages import CancelMessage


class _PendingAttempt:
    """An attempt sent to a peer that has not replied yet."""

    def __init__(
        self, attempt: Attempt, link: Link, reply: AttemptReplyHandler
    ) -> None:
        self.attempt = attempt
        self.link = link
        self.reply = reply


class HolderMap:
    """The holder of each backend server in this node's view."""

    def __init__(self) -> None:
        self._nodes: tuple[NodeInfo, ...] = ()
        self._holder_ids: dict[str, str] = {}

    def update(
        self, servers: tuple[BackendServer, ...], nodes: tuple[NodeInfo, ...]
    ) -> None:
        """Chooses the holder of each server among the given nodes."""
        self._nodes = nodes
        holders = {}
        for server in servers:
            holder = choose_holder(server, nodes)
            if holder is not None:
                holders[server.server_id] = holder.node_id
        self._holder_ids = holders

    def holder_id(self, server_id: str) -> str | None:
        """Returns the ID of the node that should hold a server, or None."""
        return self._holder_ids.get(server_id)

    def assigned_server_ids(self, node_id: str) -> list[str]:
        """Returns the IDs of the servers that a node should hold."""
        return [
            server_id
            for server_id, holder_id in self._holder_ids.items()
            if holder_id == node_id
        ]


class AttemptRouter:
    """Sends attempts to holders and matches the replies to them.

    Implements `AttemptTransport`.
    """

    def __init__(
        self,
        node_id: str,
        holder_map: HolderMap,
        holder: Holder,
        get_links: Callable[[], NodeLinks],
    ) -> None:
        self._node_id = node_id
        self._holder_map = holder_map
        self._holder = holder
        self._get_links = get_links
        self._pending: dict[tuple[str, int], _PendingAttempt] = {}

    def send(self, batch: AttemptBatch, reply: AttemptReplyHandler) -> None:
        """Sends the attempts of a batch to the holders of their servers."""
        attempts_by_holder: dict[str | None, list[Attempt]] = defaultdict(list)
        for attempt in batch.attempts:
            holder_id = self._holder_map.holder_id(attempt.server_id)
            attempts_by_holder[holder_id].append(attempt)
        # Sends to peers first, so that they work at the same time as this
        # node processes its own attempts.
        own_attempts = attempts_by_holder.pop(self._node_id, [])
        for holder_id, attempts in attempts_by_holder.items():
            sub_batch = batch._replace(attempts=tuple(attempts))
            if holder_id is None:
                self._reply_not_holder(sub_batch, reply)
            else:
                self._send_to_peer(holder_id, sub_batch, reply)
        if own_attempts:
            own_batch = batch._replace(attempts=tuple(own_attempts))
            self._holder.submit(own_batch, reply)

    def _reply_not_holder(
        self, batch: AttemptBatch, reply: AttemptReplyHandler
    ) -> None:
        for attempt in batch.attempts:
            reply(_make_not_holder_reply(attempt))

    def _send_to_peer(
        self, peer_id: str, batch: AttemptBatch, reply: AttemptReplyHandler
    ) -> None:
        link = self._get_links().send(peer_id, batch)
        if link is None:
            self._reply_not_holder(batch, reply)
            return
        for attempt in batch.attempts:
            key = (batch.query_id, attempt.attempt_id)
            self._pending[key] = _PendingAttempt(attempt, link, reply)

    def on_reply(self, query_id: str, reply: AttemptReply) -> None:
        """Handles a peer's reply; drops it if the attempt isn't pending."""
        pending = self._pending.pop((query_id, reply.attempt_id), None)
        if pending is not None:
            pending.reply(reply)

    def on_link_closed(self, link: Link) -> None:
        """Ends the attempts whose replies were expected on a closed link."""
        affected = [
            (key, pending)
            for key, pending in self._pending.items()
            if pending.link is link
        ]
        for key, pending in affected:
            del self._pending[key]
            pending.reply(
                AttemptReply(
                    attempt_id=pending.attempt.attempt_id,
                    server_id=pending.attempt.server_id,
                    outcome=AttemptOutcome.LINK_LOST,
                    run_state=RunState.UNKNOWN,
                )
            )

    def cancel(self, query_id: str, attempt_ids: tuple[int, ...]) -> None:
        """Cancels attempts whose replies are no longer wanted."""
        ids_by_link: dict[Link, list[int]] = defaultdict(list)
        for attempt_id in attempt_ids:
            pending = self._pending.pop((query_id, attempt_id), None)
            if pending is not None:
                ids_by_link[pending.link].append(attempt_id)
        for link, ids in ids_by_link.items():
            link.send(CancelMessage(query_id, tuple(ids)))
        self._holder.cancel(query_id, attempt_ids)


def _make_not_holder_reply(attempt: Attempt) -> AttemptReply:
    return AttemptReply(
        attempt_id=attempt.attempt_id,
        server_id=attempt.server_id,
        outcome=AttemptOutcome.NOT_HOLDER,
        run_state=RunState.NOT_RUN,
    )
