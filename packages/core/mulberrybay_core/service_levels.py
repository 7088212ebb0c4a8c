"""What a node counts for the service-level report, all in bounded memory."""

import bisect
from collections import Counter
from typing import Final

from mulberrybay_core.burn import (
    LONG_WINDOW_S,
    SHORT_WINDOW_S,
    BurnHistory,
    ClassBurn,
    Contributor,
    RequestEnd,
    count_end,
)
from mulberrybay_core.burn_merge import rank_contributors
from mulberrybay_core.configuration import Configuration, WorkClass
from mulberrybay_core.fleet import Fleet

LATENCY_BOUNDS_S: Final = (
    *(0.005, 0.01, 0.025, 0.05, 0.075, 0.1),
    *(0.15, 0.25, 0.4, 0.6, 1.0, 2.5),
)
MAX_BLAMED_COUNT: Final = 512


class _ServerCounts:
    """Bad attempts of backend servers: of this period and the one before."""

    def __init__(self) -> None:
        self._began_at_s = 0.0
        self._now: Counter[tuple[str, bool]] = Counter()
        self._before: Counter[tuple[str, bool]] = Counter()

    def note(self, now_s: float, server_id: str, is_failed: bool) -> None:
        """Counts one bad attempt."""
        self._rotate(now_s)
        self._now[server_id, is_failed] += 1
        if len(self._now) > 2 * MAX_BLAMED_COUNT:
            self._now = Counter(dict(self._now.most_common(MAX_BLAMED_COUNT)))

    def _rotate(self, now_s: float) -> None:
        age_s = now_s - self._began_at_s
        if age_s < LONG_WINDOW_S:
            return
        # After two idle periods nothing of either is recent any more.
        is_recent = age_s < 2 * LONG_WINDOW_S
        self._before = self._now if is_recent else Counter()
        self._now = Counter()
        self._began_at_s = now_s

    def worst(self, now_s: float, fleet: Fleet) -> tuple[Contributor, ...]:
        """Returns the servers with the most bad attempts.

        More than a report shows: a server that is not among the worst of
        any node may be the worst of all nodes together.
        """
        self._rotate(now_s)
        items = (
            Contributor(
                server_id=server_id,
                failure_domain=_find_domain(fleet, server_id),
                slow_count=0 if is_failed else count,
                failed_count=count if is_failed else 0,
            )
            for counts in (self._before, self._now)
            for (server_id, is_failed), count in counts.items()
        )
        return rank_contributors(items, MAX_BLAMED_COUNT)


def _find_domain(fleet: Fleet, server_id: str) -> str:
    server = fleet.server(server_id)
    return server.failure_domain if server else "unlisted"


class _ClassLevels:
    """What is counted for one class of work."""

    def __init__(self) -> None:
        self.history = BurnHistory()
        self.servers = _ServerCounts()
        self.outcome_counts: Counter[str] = Counter()
        self.latency_counts = [0] * (len(LATENCY_BOUNDS_S) + 1)
        self.latency_sum_s = 0.0


class ServiceLevels:
    """Counts the ends of callers' requests, by class of work."""

    def __init__(self) -> None:
        self.classes: dict[str, _ClassLevels] = {}

    def _levels(self, class_name: str) -> _ClassLevels:
        levels = self.classes.get(class_name)
        if levels is None:
            levels = self.classes[class_name] = _ClassLevels()
        return levels

    def set_configuration(self, configuration: Configuration) -> None:
        """Forgets classes that are no longer in force."""
        names = {work_class.name for work_class in configuration.classes}
        for name in self.classes.keys() - names:
            del self.classes[name]

    def note_end(
        self, now_s: float, work_class: WorkClass, outcome: str, end: RequestEnd
    ) -> None:
        """Counts the end of one request.

        Args:
            now_s: The time.
            work_class: Its class, which must be in force.
            outcome: One of a few words, as "answered" or "refused".
            end: How it ended.
        """
        levels = self._levels(work_class.name)
        levels.history.record(now_s, count_end(end, work_class.targets))
        levels.outcome_counts[outcome] += 1
        if not end.is_answered:
            return
        index = bisect.bisect_left(LATENCY_BOUNDS_S, end.latency_s)
        levels.latency_counts[index] += 1
        levels.latency_sum_s += end.latency_s

    def note_bad_attempt(
        self, now_s: float, class_name: str, server_id: str, is_failed: bool
    ) -> None:
        """Counts one attempt that was slow or failed."""
        self._levels(class_name).servers.note(now_s, server_id, is_failed)

    def burn(
        self, now_s: float, configuration: Configuration, fleet: Fleet
    ) -> tuple[ClassBurn, ...]:
        """Returns the counts of the classes in force."""
        return tuple(
            self._class_burn(now_s, work_class, fleet)
            for work_class in configuration.classes
        )

    def _class_burn(
        self, now_s: float, work_class: WorkClass, fleet: Fleet
    ) -> ClassBurn:
        levels = self._levels(work_class.name)
        return ClassBurn(
            name=work_class.name,
            targets=work_class.targets,
            short=levels.history.window(now_s, SHORT_WINDOW_S),
            long=levels.history.window(now_s, LONG_WINDOW_S),
            since_start=levels.history.total,
            series=levels.history.series(now_s),
            contributors=levels.servers.worst(now_s, fleet),
        )
