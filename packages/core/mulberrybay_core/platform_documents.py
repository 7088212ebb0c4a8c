"""The interface for decoding objects of the platform's store.

The encoding depends on the platform, so the implementation is elsewhere.
"""

from typing import NamedTuple, Protocol

from mulberrybay_core.rollouts import RolloutOrder, RolloutStatus
from mulberrybay_core.routing import RoutingConfiguration
from mulberrybay_core.server_directory import ServerEntry
from mulberrybay_core.store_messages import JsonObject, StoredObject


class DocumentKinds(NamedTuple):
    """The kinds of objects that a node watches.

    Attributes:
        servers: One entry for each backend server.
        configurations: The configuration that operators set.
        out_domains: One entry for each failure domain that is out of service.
        configuration_name: The name of the only object of the configurations
            that is in force.
        rollouts: One order for each service that is to run another version.
    """

    servers: str
    configurations: str
    out_domains: str
    configuration_name: str
    rollouts: str


class RolloutDocument(NamedTuple):
    """An order to move a service to another version, and its status.

    Attributes:
        order: What an operator has ordered.
        status: What this system has written of it; None if nothing readable.
    """

    order: RolloutOrder
    status: RolloutStatus | None


class PlatformDocuments(Protocol):
    """Decodes the platform's objects.

    The methods return None for an object that can't be decoded.
    """

    @property
    def kinds(self) -> DocumentKinds:
        """The kinds of objects."""

    def read_server(self, stored: StoredObject) -> ServerEntry | None:
        """Returns the entry of a backend server."""

    def read_configuration(
        self, stored: StoredObject
    ) -> RoutingConfiguration | None:
        """Returns the configuration that operators set."""

    def read_rollout(self, stored: StoredObject) -> RolloutDocument | None:
        """Returns the order of a rollout and its status."""

    def encode_rollout_status(self, status: RolloutStatus) -> JsonObject:
        """Returns the status of a rollout as it is written to the store."""
