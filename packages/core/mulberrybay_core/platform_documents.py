"""What a node reads from the platform's store, apart from its form there."""

from typing import NamedTuple, Protocol

from mulberrybay_core.routing import RoutingConfiguration
from mulberrybay_core.server_directory import ServerEntry
from mulberrybay_core.store_messages import StoredObject


class DocumentKinds(NamedTuple):
    """The kinds of objects that a node follows.

    Attributes:
        servers: One entry for each backend server.
        configurations: The operators' configuration.
        out_domains: One entry for each failure domain out of service.
    """

    servers: str
    configurations: str
    out_domains: str


class PlatformDocuments(Protocol):
    """Decodes the platform's objects; None for one that can't be read."""

    @property
    def kinds(self) -> DocumentKinds:
        """The kinds of objects."""

    def read_server(self, stored: StoredObject) -> ServerEntry | None:
        """Returns the entry of a backend server."""

    def read_configuration(
        self, stored: StoredObject
    ) -> RoutingConfiguration | None:
        """Returns the operators' configuration."""
