"""Applies operators' changes to the configuration, without any I/O.

A change is an edit with a unique ID. Applying it to the stored configuration
creates the next revision, which lists the ID among its recent changes. A retry
finds the ID there and has no second effect.
"""

from typing import Final, NamedTuple

from mulberrybay_core.configuration import (
    MAX_RECENT_CHANGE_COUNT,
    Configuration,
    WorkClass,
)

MAX_SUMMARY_LENGTH: Final = 200
MAX_CHANGE_TIMEOUT_S: Final = 5.0


class ReplaceClasses(NamedTuple):
    """Replaces the classes of work; what is out of service stays so."""

    classes: tuple[WorkClass, ...]


class SetDomainState(NamedTuple):
    """Takes a failure domain out of service or puts it back."""

    name: str
    is_out: bool


class SetServerState(NamedTuple):
    """Takes a backend server out of service or puts it back."""

    server_id: str
    is_out: bool


Edit = ReplaceClasses | SetDomainState | SetServerState


class ChangeRequest(NamedTuple):
    """A change that an operator requests.

    Attributes:
        change_id: Unique ID; a retry must use the same one.
        author: Who requests the change.
        expected_revision: The change applies to this revision only; None
            applies it to the newest.
        edit: What to change.
        timeout_s: How long the node may retry before it answers.
    """

    change_id: str
    author: str
    expected_revision: int | None
    edit: Edit
    timeout_s: float = MAX_CHANGE_TIMEOUT_S


def find_change(configuration: Configuration, change_id: str) -> int | None:
    """Returns the revision that a change created, or None if not found.

    Every change adds one ID and one revision, so the revision follows from the
    position of the ID in the list. Only the latest MAX_RECENT_CHANGE_COUNT
    changes can be found.
    """
    if configuration.revision and configuration.change_id == change_id:
        return configuration.revision
    recent_ids = configuration.recent_change_ids
    if change_id not in recent_ids:
        return None
    newer_count = len(recent_ids) - 1 - recent_ids.index(change_id)
    return configuration.revision - newer_count


def make_successor(
    current: Configuration, change: ChangeRequest, now_s: float
) -> Configuration:
    """Returns the configuration that results from a change.

    Args:
        current: The newest accepted configuration.
        change: The change.
        now_s: The Unix time to record as the time of the change.
    """
    recent_ids = current.recent_change_ids
    if not recent_ids and current.revision:
        recent_ids = (current.change_id,)
    recent_ids = (*recent_ids, change.change_id)
    return _apply_edit(current, change.edit)._replace(
        revision=current.revision + 1,
        change_id=change.change_id,
        author=change.author,
        changed_at_s=now_s,
        recent_change_ids=recent_ids[-MAX_RECENT_CHANGE_COUNT:],
        summary=summarize_edit(current, change.edit)[:MAX_SUMMARY_LENGTH],
    )


def _apply_edit(current: Configuration, edit: Edit) -> Configuration:
    match edit:
        case ReplaceClasses(classes):
            return current._replace(classes=classes)
        case SetDomainState(name, is_out):
            return current._replace(
                out_domains=_update_names(current.out_domains, name, is_out)
            )
        case SetServerState(server_id, is_out):
            return current._replace(
                out_servers=_update_names(
                    current.out_servers, server_id, is_out
                )
            )


def _update_names(
    names: frozenset[str], name: str, is_out: bool
) -> frozenset[str]:
    return names | {name} if is_out else names - {name}


def summarize_edit(current: Configuration, edit: Edit) -> str:
    """Returns one line on what an edit changes, for the audit entry."""
    match edit:
        case ReplaceClasses(classes):
            return f"classes: {_summarize_classes(current.classes, classes)}"
        case SetDomainState(name, is_out):
            return f"failure domain {name} {'out' if is_out else 'in'}"
        case SetServerState(server_id, is_out):
            return f"backend server {server_id} {'out' if is_out else 'in'}"


def _summarize_classes(
    before: tuple[WorkClass, ...], after: tuple[WorkClass, ...]
) -> str:
    old = {item.name: item for item in before}
    new = {item.name: item for item in after}
    parts = [f"+{name}" for name in new if name not in old]
    parts += [f"-{name}" for name in old if name not in new]
    parts += [
        f"~{name}"
        for name, item in new.items()
        if name in old and old[name] != item
    ]
    return " ".join(parts) or "unchanged"
