"""Registers this node in the platform's store.

Also reads the registrations of other nodes and removes those of nodes that
have been unresponsive for too long.
"""

from collections.abc import Callable, Collection, Mapping, Sequence
from typing import Final, NamedTuple, Protocol

from mulberrybay_core.addresses import parse_address
from mulberrybay_core.decode_errors import DECODE_ERRORS
from mulberrybay_core.edge_nodes import EdgeNodeInfo, EdgeNodes
from mulberrybay_core.errors import Failure
from mulberrybay_core.node_checks import check_node_info
from mulberrybay_core.store_messages import (
    JsonObject,
    ObjectList,
    ObjectStore,
    StoredObject,
    WriteOutcome,
    WriteResult,
)
from mulberrybay_core.store_position import era_of
from mulberrybay_runtime.backoff import Backoff
from mulberrybay_runtime.logs import StructuredLog
from mulberrybay_runtime.timers import Timers

NODE_KIND: Final = "mulberrybay-nodes"
FIRST_RETRY_S: Final = 0.3
MAX_RETRY_S: Final = 2.0


class _Registration(NamedTuple):
    """A node's registration and its version in the store."""

    info: EdgeNodeInfo
    version: int


class LastingKnowledge(Protocol):
    """What a node stores in its entry for nodes that start later.

    See `CrashWatch`.
    """

    def stored(self, kept: Collection[str]) -> Mapping[str, Sequence[int]]:
        """Returns what this node must store now.

        Args:
            kept: What it must store as long as it is valid, for no other
                node has stored it yet.
        """

    def restore(self, stored: Mapping[str, Sequence[int]]) -> None:
        """Takes over what some node has stored."""


def encode_registration(
    info: EdgeNodeInfo,
    era: int,
    fatal_requests: Mapping[str, Sequence[int]] | None = None,
) -> JsonObject:
    """Returns the value that is stored for a node.

    Args:
        info: The node.
        era: The era of the store in which it registers. A node that starts
            later sees by it that the store has returned from an older copy
            while the other node ran.
        fatal_requests: What it keeps for others; see `LastingKnowledge`.
    """
    value: JsonObject = {
        "era": era,
        "incarnation": info.incarnation,
        "failure_domain": info.failure_domain,
        "caller_address": str(info.caller_address),
        "peer_address": str(info.peer_address),
        "cpu_cores": info.cpu_cores,
    }
    if fatal_requests:
        # As text: not every JSON parser keeps integers of 64 bits.
        value["fatal_requests"] = {
            identity: [f"{key:x}" for key in server_keys]
            for identity, server_keys in fatal_requests.items()
        }
    return value


def decode_fatal_requests(
    stored: StoredObject,
) -> dict[str, tuple[int, ...]]:
    """Returns what a node stored for others; nothing if it is malformed."""
    try:
        return {
            bytes.fromhex(identity).hex(): tuple(
                int(key, 16) for key in server_keys
            )
            for identity, server_keys in stored.value.get(
                "fatal_requests", {}
            ).items()
        }
    except DECODE_ERRORS:
        return {}


def decode_registration(stored: StoredObject) -> EdgeNodeInfo | None:
    """Returns the node of a stored entry; None if it is malformed."""
    value = stored.value
    try:
        return check_node_info(
            EdgeNodeInfo(
                stored.name,
                int(value["incarnation"]),
                str(value["failure_domain"]),
                parse_address(str(value["caller_address"])),
                parse_address(str(value["peer_address"])),
                float(value["cpu_cores"]),
            )
        )
    except DECODE_ERRORS:
        return None


class NodeRegistry:
    """Maintains this node's entry and follows those of other nodes.

    Listens to a watch of `NODE_KIND`, see `WatchListener`.
    """

    def __init__(
        self,
        store: ObjectStore,
        timers: Timers,
        nodes: EdgeNodes,
        knowledge: LastingKnowledge,
    ) -> None:
        self._store = store
        self._knowledge = knowledge
        # What entries hold for nodes that start later: this node's, and those of
        # the others by name.
        self._written: Mapping[str, Sequence[int]] = {}
        self._stored_by_others: dict[str, Collection[str]] = {}
        # Whether other nodes registered before the store returned from a copy.
        self.has_peers_of_older_era = False
        self._timers = timers
        self._nodes = nodes
        self._log = StructuredLog("registry")
        self._backoff = Backoff(FIRST_RETRY_S, MAX_RETRY_S)
        self._version = 0
        self._is_writing = False
        self._is_unregistering = False
        self._on_left: Callable[[], None] | None = None
        self.unreadable_count = 0

    @property
    def is_registered(self) -> bool:
        """Whether the store has confirmed this node's entry."""
        return self._version > 0

    # Entries of all nodes; see `WatchListener`.

    def on_list(self, objects: ObjectList) -> None:
        """Replaces the known entries; registers this node if it is missing."""
        self._stored_by_others.clear()
        self._restore(objects)
        registrations = self._decode_registrations(objects)
        self._nodes.replace_registered(registrations)
        own_name = self._nodes.own_info.name
        self.has_peers_of_older_era = any(
            stored.name != own_name
            and stored.value.get("era", 0) != era_of(objects.store_version)
            for stored in objects.items
        )
        own_info = self._nodes.own_info
        self._version = max(
            (
                entry.version
                for entry in registrations
                if entry.info == own_info
            ),
            default=0,
        )
        if self._version:
            return
        earlier = [
            stored.version
            for stored in objects.items
            if stored.name == own_name
        ]
        self.register(earlier[0] if earlier else 0)

    def on_changes(self, changes: ObjectList) -> None:
        """Applies entries that were written or removed."""
        self._restore(changes)
        for info, version in self._decode_registrations(changes):
            self._nodes.put_registered(info, version)
        for name in changes.removed_names:
            if name == self._nodes.own_info.name:
                # Another node removed it because it got no heartbeats.
                self._version = 0
                self.register()
            else:
                self._stored_by_others.pop(name, None)
                self._nodes.remove_registered(name)

    def _restore(self, objects: ObjectList) -> None:
        for stored in objects.items:
            fatal_requests = decode_fatal_requests(stored)
            if stored.name != self._nodes.own_info.name:
                self._stored_by_others[stored.name] = fatal_requests.keys()
            elif not self._version:
                # The entry of an earlier incarnation, which this one replaces.
                self._written = fatal_requests
            if fatal_requests:
                self._knowledge.restore(fatal_requests)

    def _stored(self) -> Mapping[str, Sequence[int]]:
        """Returns what this node's entry must hold for nodes that start later.

        What it holds stays until another entry has it: all nodes may end before
        one that must store it from now on has done so. Of nodes that all hold it,
        the first by name keeps it.
        """
        own_name = self._nodes.own_info.name
        kept = {
            text
            for text in self._written
            if not any(
                text in held
                for name, held in self._stored_by_others.items()
                if name < own_name
            )
        }
        return self._knowledge.stored(kept)

    def _decode_registrations(self, objects: ObjectList) -> list[_Registration]:
        entries = []
        for stored in objects.items:
            info = decode_registration(stored)
            if info is None:
                self.unreadable_count += 1
                self._log.warning("unreadable registration", name=stored.name)
            else:
                entries.append(_Registration(info, stored.version))
        return entries

    # This node's entry.

    def register(self, expected_version: int = 0) -> None:
        """Writes this node's entry; retries until the store confirms it.

        Args:
            expected_version: The position of the entry of an earlier
                incarnation; 0 if there is none.
        """
        if not self._is_writing and not self._is_unregistering:
            self._is_writing = True
            self._write(expected_version)

    def update(self) -> None:
        """Writes this node's entry again if what it must store has changed."""
        if self._version and self._stored() != self._written:
            self.register(self._version)

    def _write(self, expected_version: int) -> None:
        if self._is_unregistering:
            return
        own_info = self._nodes.own_info
        stored = self._stored()
        self._written = stored
        self._store.write(
            NODE_KIND,
            own_info.name,
            encode_registration(own_info, self._store.era, stored),
            expected_version,
            self._on_written,
        )

    def _on_written(self, result: WriteResult | Failure) -> None:
        if self._is_unregistering:
            if (
                not isinstance(result, Failure)
                and result.outcome is WriteOutcome.WRITTEN
            ):
                # The entry was confirmed only after this node had given it up.
                self._delete(self._nodes.own_info.name, result.version)
            return
        if isinstance(result, Failure):
            self._log.warning("registration failed", cause=result.detail)
            self._timers.call_later(
                self._backoff.next_delay_s(),
                lambda: self._write(0),
            )
        elif result.outcome is WriteOutcome.CONFLICT:
            # Replaces the entry of an earlier incarnation.
            self._write(result.version)
        else:
            self._is_writing = False
            self._version = result.version
            self._backoff.reset()
            self._log.info("registered", version=result.version)

    def unregister(self) -> None:
        """Removes this node's entry as it stops.

        This isn't retried: if it fails, another node removes the entry later.
        """
        self._is_unregistering = True
        if self._version:
            self._delete(self._nodes.own_info.name, self._version)

    def remove_unresponsive(self, now_s: float) -> None:
        """Removes entries of nodes that have long sent no heartbeat."""
        for name, version in self._nodes.removable_registrations(now_s):
            self._log.info("removing an unresponsive node", name=name)
            self._delete(name, version)

    def _delete(self, name: str, version: int) -> None:
        def on_removed(result: WriteResult | Failure) -> None:
            if isinstance(result, Failure):
                self._log.warning(
                    "registration not removed",
                    name=name,
                    cause=result.detail,
                )
            else:
                self._nodes.remove_registered(name)

        self._store.delete(NODE_KIND, name, version, on_removed)
