"""Index snapshots: which services hold the shards of an index version."""

from typing import Final, NamedTuple

SNAPSHOT_KIND: Final = "snapshots"


class IndexSnapshot(NamedTuple):
    """One version of the index of a class of work.

    A shard number means nothing outside its index version, since a
    repartition changes what the numbers stand for.

    Attributes:
        class_name: The class of work that the index serves.
        index_version: Grows with every change of the index or of its shards.
        services: The service of shard i at position i.
    """

    class_name: str
    index_version: int
    services: tuple[str, ...]

    @property
    def shard_count(self) -> int:
        """The number of shards."""
        return len(self.services)
