"""Positions in the history of the platform's store.

A store that returns from an older copy gives out versions again that it had
given out before, and counts such returns as eras. A position is an integer that
orders first by era and then by version, so that anything of an earlier era is
older than anything of a later one. In the first era, 0, a position equals the
version.
"""

from typing import Final

from mulberrybay_core.store_messages import (
    ObjectList,
    StoredObject,
    WriteResult,
)

_VERSION_BITS: Final = 40
MAX_VERSION: Final = 2**_VERSION_BITS - 1
# With this limit, a position fits into 64 bits on the wire.
MAX_ERA: Final = 2 ** (63 - _VERSION_BITS) - 1


def make_position(era: int, version: int) -> int:
    """Returns the position of a version; 0 stands for none in any era."""
    return era << _VERSION_BITS | version if version else 0


def era_of(position: int) -> int:
    """Returns the era of a position."""
    return position >> _VERSION_BITS


def version_of(position: int) -> int:
    """Returns the version of a position, as the store counts it."""
    return position & (1 << _VERSION_BITS) - 1


def place_object(stored: StoredObject, era: int) -> StoredObject:
    """Replaces an object's version by its position."""
    return stored._replace(version=make_position(era, stored.version))


def place_list(objects: ObjectList, era: int) -> ObjectList:
    """Replaces the versions of a list or of changes by positions."""
    if era == 0:
        return objects
    return objects._replace(
        items=tuple(place_object(stored, era) for stored in objects.items),
        store_version=make_position(era, objects.store_version),
        changed_version=make_position(era, objects.changed_version),
    )


def place_result(result: WriteResult, era: int) -> WriteResult:
    """Replaces the version after a write by its position."""
    return result._replace(version=make_position(era, result.version))
