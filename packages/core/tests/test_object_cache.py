"""What is known of the store never goes back, whoever tells it and when."""

from mulberrybay_core.object_cache import ObjectCache
from mulberrybay_core.store_messages import ObjectList, StoredObject


def stored(name: str, version: int) -> StoredObject:
    return StoredObject("kind", name, version, {"version": version})


def names(cache: ObjectCache) -> dict[str, int]:
    return {item.name: item.version for item in cache.all_objects().items}


def test_list_then_changes() -> None:
    cache = ObjectCache()
    cache.replace(ObjectList((stored("a", 1), stored("b", 2)), 5))

    news = cache.apply(
        ObjectList((stored("a", 6),), 7, ("b",), changed_version=7)
    )

    assert news.items == (stored("a", 6),)
    assert news.removed_names == ("b",)
    assert names(cache) == {"a": 6}
    assert (cache.version, cache.changed_version) == (7, 7)


def test_peer_tells_what_is_missing_and_what_is_gone() -> None:
    informed, behind = ObjectCache(), ObjectCache()
    for cache in (informed, behind):
        cache.replace(ObjectList((stored("a", 1), stored("b", 2)), 5))
    informed.apply(ObjectList((stored("c", 8),), 9, ("b",), changed_version=9))

    update = informed.since(behind.version or 0)
    assert update is not None
    assert update.items == (stored("c", 8),)
    news = behind.merge(update)

    assert names(behind) == names(informed) == {"a": 1, "c": 8}
    assert news.removed_names == ("b",)


def test_peer_that_is_behind_changes_nothing() -> None:
    cache, behind = ObjectCache(), ObjectCache()
    behind.replace(ObjectList((stored("a", 1),), 5))
    cache.replace(ObjectList((stored("a", 7),), 9))

    update = behind.since(0)
    assert update is not None
    assert cache.merge(update).items == ()
    assert names(cache) == {"a": 7}


def test_late_answer_brings_no_removed_object_back() -> None:
    cache = ObjectCache()
    cache.replace(ObjectList((stored("a", 1),), 5))
    cache.apply(ObjectList((), 9, ("a",), changed_version=9))

    # The answer to a watch that was given up arrives after a peer's.
    cache.apply(ObjectList((stored("a", 6),), 7))

    assert names(cache) == {}
    assert cache.version == 9


def test_late_removal_spares_an_object_that_was_written_again() -> None:
    cache = ObjectCache()
    cache.replace(ObjectList((stored("a", 8),), 9))

    news = cache.apply(ObjectList((), 7, ("a",)))

    assert news.removed_names == ()
    assert names(cache) == {"a": 8}
