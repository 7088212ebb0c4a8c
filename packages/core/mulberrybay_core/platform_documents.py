"""The interface for decoding objects of the platform's store.

The encoding depends on the platform, so the implementation is elsewhere.
"""

from typing import NamedTuple, Protocol

from mulberrybay_core.routing import RoutingConfiguration
from mulberrybay_core.server_directory import ServerEntry
from mulberrybay_core.store_messages import StoredObject


class DocumentKinds(NamedTuple):
    """The kinds of objects that a node watches.

    Attributes:
        servers: One entry for each backend server.
        configurations: The configuration that operators set.
        out_domains: One entry for each failure domain that is out of service.
        configuration_name: The name of the only object of the configurations
            that is in force.
    """

    servers: str
    configurations: str
    out_domains: str
    configuration_name: str


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
