"""Index snapshots: the services that hold the shards of an index version."""

from typing import Final, NamedTuple

SNAPSHOT_KIND: Final = "snapshots"


class IndexSnapshot(NamedTuple):
    """One version of the index of a class of work.

    A shard number is valid only within its index version, because a
    repartition assigns the numbers anew.

    Attributes:
        class_name: The class of work that the index serves.
        index_version: Increases with each change of the index or its shards.
        services: The services that hold the shards, indexed by shard number.
    """

    class_name: str
    index_version: int
    services: tuple[str, ...]

    @property
    def shard_count(self) -> int:
        """The number of shards."""
        return len(self.services)
