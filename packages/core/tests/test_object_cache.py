"""Guards against late or outdated answers that undo newer changes.

Answers come from the store and from peers, in any order.
"""

import pytest

from mulberrybay_core.object_cache import ObjectCache, RestoredObject
from mulberrybay_core.restore_rules import keep_known_order
from mulberrybay_core.store_messages import ObjectList, StoredObject


def stored(name: str, version: int) -> StoredObject:
    return StoredObject("kind", name, version, {"version": version})


def version_by_name(cache: ObjectCache) -> dict[str, int]:
    return {item.name: item.version for item in cache.all_objects().items}


def test_changes_apply_to_a_list() -> None:
    cache = ObjectCache()
    cache.replace(ObjectList((stored("a", 1), stored("b", 2)), 5))

    changes = cache.apply(
        ObjectList((stored("a", 6),), 7, ("b",), changed_version=7)
    )

    assert changes.items == (stored("a", 6),)
    assert changes.removed_names == ("b",)
    assert version_by_name(cache) == {"a": 6}
    assert (cache.version, cache.changed_version) == (7, 7)


def test_update_of_a_peer_adds_and_removes_objects() -> None:
    newer, behind = ObjectCache(), ObjectCache()
    for cache in (newer, behind):
        cache.replace(ObjectList((stored("a", 1), stored("b", 2)), 5))
    newer.apply(ObjectList((stored("c", 8),), 9, ("b",), changed_version=9))

    update = newer.update_since(behind.version or 0)
    assert update is not None
    assert update.items == (stored("c", 8),)
    changes = behind.merge(update)

    assert version_by_name(behind) == version_by_name(newer) == {"a": 1, "c": 8}
    assert changes.removed_names == ("b",)


def test_update_of_a_peer_that_is_behind_changes_nothing() -> None:
    cache, behind = ObjectCache(), ObjectCache()
    behind.replace(ObjectList((stored("a", 1),), 5))
    cache.replace(ObjectList((stored("a", 7),), 9))

    update = behind.update_since(0)
    assert update is not None
    assert cache.merge(update).items == ()
    assert version_by_name(cache) == {"a": 7}


def test_late_answer_does_not_restore_a_removed_object() -> None:
    cache = ObjectCache()
    cache.replace(ObjectList((stored("a", 1),), 5))
    cache.apply(ObjectList((), 9, ("a",), changed_version=9))

    # The answer to an abandoned watch arrives after an update of a peer.
    cache.apply(ObjectList((stored("a", 6),), 7))

    assert version_by_name(cache) == {}
    assert cache.version == 9


def test_late_removal_keeps_an_object_that_was_written_again() -> None:
    cache = ObjectCache()
    cache.replace(ObjectList((stored("a", 8),), 9))

    changes = cache.apply(ObjectList((), 7, ("a",)))

    assert changes.removed_names == ()
    assert version_by_name(cache) == {"a": 8}


def test_list_that_is_older_than_a_kept_object_does_not_remove_it() -> None:
    cache, peer = ObjectCache(), ObjectCache()
    cache.replace(ObjectList((), 5))
    peer.replace(ObjectList((stored("a", 9),), 9))
    kept = peer.update_since(0)
    assert kept is not None
    cache.merge_kept(kept, lambda restored: restored.known)

    # The store sent the list before the object was written.
    changes = cache.replace(ObjectList((), 7))

    assert changes.removed_names == ()
    assert version_by_name(cache) == {"a": 9}
    assert cache.replace(ObjectList((), 10)).removed_names == ("a",)


def test_object_whose_status_alone_differs_is_passed_on_again() -> None:
    """Guards against a peer that keeps the status of before a restore."""
    cache = ObjectCache()
    cache.replace(ObjectList((stored("a", 1),), 5))
    cache.reset(ObjectList((stored("a", 1)._replace(status={"state": 1}),), 9))
    assert (cache.changed_version, version_by_name(cache)) == (9, {"a": 9})


ORDER = stored("web", 5)


@pytest.mark.parametrize(
    ("restored", "kept"),
    [
        (RestoredObject(ORDER, None, stored("web", 3)), ORDER),
        (RestoredObject(ORDER, None, None), ORDER),
        (RestoredObject(None, None, ORDER), ORDER),
        (RestoredObject(None, ORDER, stored("web", 3)), None),
    ],
)
def test_order_of_a_rollout_is_kept_as_it_was_last_known(
    restored: RestoredObject, kept: StoredObject | None
) -> None:
    """Guards against a finished rollout that an older copy starts again."""
    assert keep_known_order(restored) == kept
