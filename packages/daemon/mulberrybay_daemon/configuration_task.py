"""Reads accepted configurations from the platform and from peers.

A node applies only higher revisions, so the configuration in force never
reverts. Only two of the live nodes watch the platform; the others receive new
configurations from peers.
"""

import hashlib
import json
from collections.abc import Callable
from typing import Final

from expression import Result

from mulberrybay_core.configuration import (
    CONFIGURATION_KIND,
    EMPTY_CONFIGURATION,
    Configuration,
)
from mulberrybay_core.documents import (
    decode_configuration,
    encode_configuration,
)
from mulberrybay_core.member_messages import (
    ConfigurationRequest,
    ConfigurationUpdate,
    NodeInfo,
)
from mulberrybay_core.platform_messages import ObjectList, PlatformStore
from mulberrybay_daemon.object_follower import ObjectFollower
from mulberrybay_nodes.links import Link, NodeLinks
from mulberrybay_runtime.timers import Timers

WATCHER_COUNT: Final = 2
# A call that is never answered and the list after it end well within the 5 s in
# which a configuration must be in force.
WATCH_WAIT_S: Final = 2.0


class ConfigurationTask:
    """Updates the configuration in force at this node."""

    def __init__(
        self,
        node_id: str,
        store: PlatformStore,
        timers: Timers,
        get_links: Callable[[], NodeLinks],
        on_change: Callable[[Configuration], None],
    ) -> None:
        self._node_id = node_id
        self._get_links = get_links
        self._on_change = on_change
        self._follower = ObjectFollower(
            store,
            timers,
            CONFIGURATION_KIND,
            WATCH_WAIT_S,
            self._on_objects,
            lambda: bool(self.current.revision) and not self._is_watcher(),
        )
        self._get_live_nodes: Callable[[], tuple[NodeInfo, ...]] = tuple
        self.current: Configuration = EMPTY_CONFIGURATION

    def start(self, get_live_nodes: Callable[[], tuple[NodeInfo, ...]]) -> None:
        """Starts to read configurations from the platform.

        Args:
            get_live_nodes: Returns the live nodes, of which two watch the
                platform.
        """
        self._get_live_nodes = get_live_nodes
        self._follower.start()

    def _is_watcher(self) -> bool:
        """Returns whether this node is to watch the platform.

        The live nodes are ranked by a hash of their IDs, which spreads the
        ranks over the nodes whatever their names.
        """
        ranked = sorted(
            (info.node_id for info in self._get_live_nodes()),
            key=lambda node_id: hashlib.blake2b(node_id.encode()).digest(),
        )
        return self._node_id in ranked[:WATCHER_COUNT]

    def _on_objects(self, objects: ObjectList) -> None:
        for item in objects.items:
            self._apply_document(item.value)

    def _apply_document(self, value: object) -> None:
        match decode_configuration(value):
            case Result(tag="ok", ok=configuration):
                self.apply_if_newer(configuration)
            case _:
                pass

    def apply_if_newer(self, configuration: Configuration) -> None:
        """Applies a configuration if its revision is above the current one."""
        if configuration.revision > self.current.revision:
            self.current = configuration
            self._on_change(configuration)

    def on_peer_revision(self, peer_id: str, revision: int) -> None:
        """Requests the configuration from a peer that has a higher revision."""
        if revision > self.current.revision:
            request = ConfigurationRequest(self._node_id, self.current.revision)
            self._get_links().send(peer_id, request)

    def on_request(self, request: ConfigurationRequest, link: Link) -> None:
        """Sends the configuration in force to a peer with a lower revision."""
        if self.current.revision <= request.known_revision:
            return
        document = json.dumps(encode_configuration(self.current)).encode()
        link.send(
            ConfigurationUpdate(self._node_id, self.current.revision, document)
        )

    def on_update(self, update: ConfigurationUpdate) -> None:
        """Applies the configuration that a peer sent, if it is newer.

        A document that is not valid is ignored.
        """
        try:
            value = json.loads(update.document_json)
        except ValueError:
            return
        self._apply_document(value)
