"""The configuration: classes of work, targets, and what is out of service.

Operators change it, the platform's store holds it, and every node applies it.
"""

from typing import Final, NamedTuple

CONFIGURATION_KIND: Final = "configuration"
CONFIGURATION_NAME: Final = "current"
MAX_RECENT_CHANGE_COUNT: Final = 64


class Targets(NamedTuple):
    """The service-level targets that operators set for a class of work.

    Attributes:
        lateness_ms: An answer later than this is late.
        lateness_percent: The percentage of answers that must not be late.
        coverage_percent: The percentage of shards that answers must cover.
        extra_load_percent: Sub-requests allowed beyond one per shard, as a
            percentage of the shards.
    """

    lateness_ms: float
    lateness_percent: float
    coverage_percent: float
    extra_load_percent: float


class WorkClass(NamedTuple):
    """A class of work.

    Attributes:
        name: The name that callers use.
        allows_runs: Whether callers may send non-idempotent requests.
        targets: Its service-level targets.
    """

    name: str
    allows_runs: bool
    targets: Targets


class Configuration(NamedTuple):
    """One revision of the configuration.

    Attributes:
        revision: Increases by one with every accepted change; 0 before the
            first.
        change_id: Unique ID of the change that created this revision.
        author: Who made the change.
        changed_at_s: Unix time of the change.
        classes: The classes of work.
        out_domains: Failure domains that operators took out of service; they
            get no new work.
        out_servers: IDs of backend servers that operators took out of service;
            they get no new work.
        recent_change_ids: IDs of the latest changes, newest last.
        summary: One line on what the change changed.
    """

    revision: int
    change_id: str
    author: str
    changed_at_s: float
    classes: tuple[WorkClass, ...]
    out_domains: frozenset[str]
    out_servers: frozenset[str]
    recent_change_ids: tuple[str, ...] = ()
    summary: str = ""

    def find_class(self, name: str) -> WorkClass | None:
        """Returns the class with this name, or None."""
        for work_class in self.classes:
            if work_class.name == name:
                return work_class
        return None


EMPTY_CONFIGURATION: Final = Configuration(
    revision=0,
    change_id="",
    author="",
    changed_at_s=0.0,
    classes=(),
    out_domains=frozenset(),
    out_servers=frozenset(),
)
