"""Audit entries: who changed what, when, from and to which revision.

The newest entry is part of the configuration object itself, so an accepted
change can't lack one. A node copies it to an object of its own before it
writes the next revision.
"""

from typing import Any, Final, NamedTuple

from expression import Error, Ok, Result

from mulberrybay_core.configuration import Configuration
from mulberrybay_core.platform_messages import JsonObject

AUDIT_KIND: Final = "audit"
# Entries older than this many revisions are deleted.
AUDIT_KEEP_COUNT: Final = 100_000


class AuditEntry(NamedTuple):
    """One accepted change.

    Attributes:
        revision: The revision that it led to.
        previous_revision: The revision that it was applied to.
        change_id: Its unique identity.
        author: Who made it.
        changed_at_s: Unix time.
        summary: What it changed.
    """

    revision: int
    previous_revision: int
    change_id: str
    author: str
    changed_at_s: float
    summary: str


def make_audit_entry(configuration: Configuration) -> AuditEntry:
    """Returns the entry of the change that led to a configuration."""
    return AuditEntry(
        revision=configuration.revision,
        previous_revision=configuration.revision - 1,
        change_id=configuration.change_id,
        author=configuration.author,
        changed_at_s=configuration.changed_at_s,
        summary=configuration.summary,
    )


def encode_audit_entry(entry: AuditEntry) -> JsonObject:
    """Returns the value that the store keeps for an entry."""
    return entry._asdict()


def decode_audit_entry(value: Any) -> Result[AuditEntry, str]:  # noqa: ANN401
    """Parses what `encode_audit_entry` made."""
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
    except (KeyError, TypeError, ValueError) as error:
        return Error(f"not an audit entry: {error!r}")
