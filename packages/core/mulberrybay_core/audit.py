"""Audit entries: who changed the configuration, when, and what changed.

The newest entry is part of the stored configuration object, so that every
accepted change has one. Before a node writes the next revision, it copies that
entry to a separate object.
"""

from typing import Any, Final, NamedTuple

from expression import Error, Ok, Result

from mulberrybay_core.configuration import Configuration
from mulberrybay_core.decode_errors import DECODE_ERRORS
from mulberrybay_core.platform_messages import JsonObject

AUDIT_KIND: Final = "audit"
# Entries older than this many revisions are deleted.
MAX_AUDIT_ENTRY_COUNT: Final = 100_000


class AuditEntry(NamedTuple):
    """One accepted change.

    Attributes:
        revision: The revision that the change created.
        previous_revision: The revision that it was applied to.
        change_id: The unique ID of the change.
        author: Who made the change.
        changed_at_s: Unix time of the change.
        summary: One line on what changed.
    """

    revision: int
    previous_revision: int
    change_id: str
    author: str
    changed_at_s: float
    summary: str


def make_audit_entry(configuration: Configuration) -> AuditEntry:
    """Returns the entry of the change that created this configuration."""
    return AuditEntry(
        revision=configuration.revision,
        previous_revision=configuration.revision - 1,
        change_id=configuration.change_id,
        author=configuration.author,
        changed_at_s=configuration.changed_at_s,
        summary=configuration.summary,
    )


def encode_audit_entry(entry: AuditEntry) -> JsonObject:
    """Returns the JSON value of an entry for the platform's store."""
    return entry._asdict()


def decode_audit_entry(value: Any) -> Result[AuditEntry, str]:  # noqa: ANN401
    """Decodes the result of `encode_audit_entry`; an error is a text."""
    try:
        return Ok(
            AuditEntry(
                revision=int(value["revision"]),
                previous_revision=int(value["previous_revision"]),
                change_id=str(value["change_id"]),
                author=str(value["author"]),
                changed_at_s=float(value["changed_at_s"]),
                summary=str(value["summary"]),
            )
        )
    except DECODE_ERRORS as error:
        return Error(f"not an audit entry: {error!r}")
