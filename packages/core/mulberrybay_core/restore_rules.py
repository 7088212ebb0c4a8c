"""What a node keeps after the store has returned from an older copy.

Operators and backend servers write again what the copy lacks. Until then, a
node keeps what it knows to be newer: the configuration with the higher
revision, the entry of the same or a later start of a backend server, the
removal of an entry, the orders of rollouts and their status, and any failure
domain that was taken out of service.
"""

from typing import Final

from mulberrybay_core.object_cache import RestoredObject, RestoreRule
from mulberrybay_core.platform_documents import PlatformDocuments
from mulberrybay_core.store_messages import StoredObject

# For this time, a node prefers its own knowledge. Backend servers write again
# within 2 s, and the store removes entries of silent ones after three of their
# periods; after that, what the store says is right by itself.
RESTORE_PERIOD_S: Final = 10.0


def take_copy(restored: RestoredObject) -> StoredObject | None:
    """Takes the copy: for objects that their writers check themselves."""
    return restored.copied


def keep_out_of_service(restored: RestoredObject) -> StoredObject | None:
    """Keeps a failure domain out of service if either says that it is."""
    return restored.known or restored.copied


def keep_known_order(restored: RestoredObject) -> StoredObject | None:
    """Keeps the order of a rollout as it was last known, or its removal.

    The copy is older and may say that a finished rollout still runs.
    """
    if restored.known is None and restored.removed is not None:
        return None
    return restored.known or restored.copied


def make_configuration_rule(documents: PlatformDocuments) -> RestoreRule:
    """Returns the rule that keeps the configuration of higher revision."""

    def choose(restored: RestoredObject) -> StoredObject | None:
        known, copied = restored.known, restored.copied
        if known is None or copied is None:
            return known or copied
        known_configuration = documents.read_configuration(known)
        copied_configuration = documents.read_configuration(copied)
        if known_configuration is None:
            return copied
        if copied_configuration is None:
            return known
        is_newer = copied_configuration.revision > known_configuration.revision
        return copied if is_newer else known

    return choose


def make_server_rule(documents: PlatformDocuments) -> RestoreRule:
    """Returns the rule for entries of backend servers.

    An entry that the copy lacks counts as removed, which keeps its server in
    use for a grace period. No start of a server is ready again after it has
    announced to leave, so of two entries the one that says so is newer.
    """

    def choose(restored: RestoredObject) -> StoredObject | None:
        copied = restored.copied
        if copied is None:
            return None
        last_known = restored.known or restored.removed
        if last_known is None:
            return copied
        known_entry = documents.read_server(last_known)
        copied_entry = documents.read_server(copied)
        if known_entry is None or copied_entry is None:
            return copied
        is_later = copied_entry.started_at_ms > known_entry.started_at_ms
        if is_later or copied_entry.is_leaving:
            return copied
        return restored.known

    return choose
