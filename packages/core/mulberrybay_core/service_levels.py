"""A node's counters for the service-level report, in bounded memory."""

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
    count_request,
)
from mulberrybay_core.burn_merge import rank_contributors
from mulberrybay_core.configuration import Configuration, WorkClass
from mulberrybay_core.fleet import Fleet

LATENCY_BOUNDS_S: Final = (
    *(0.005, 0.01, 0.025, 0.05, 0.075, 0.1),
    *(0.15, 0.25, 0.4, 0.6, 1.0, 2.5),
)
# Bounds the counters of bad attempts that a node stores and the contributors
# that it reports.
MAX_TRACKED_SERVER_COUNT: Final = 512


class _BadAttemptCounts:
    """Bad attempts by backend server, in this period and the previous one.

    A period is as long as the long window.
    """

    def __init__(self) -> None:
        self._period_start_s = 0.0
        self._current: Counter[tuple[str, bool]] = Counter()
        self._previous: Counter[tuple[str, bool]] = Counter()

    def record(self, now_s: float, server_id: str, is_failed: bool) -> None:
        """Counts one bad attempt."""
        self._rotate(now_s)
        self._current[server_id, is_failed] += 1
        if len(self._current) > 2 * MAX_TRACKED_SERVER_COUNT:
            self._current = Counter(
                dict(self._current.most_common(MAX_TRACKED_SERVER_COUNT))
            )

    def _rotate(self, now_s: float) -> None:
        age_s = now_s - self._period_start_s
        if age_s < LONG_WINDOW_S:
            return
        # After two idle periods, both counters are out of date.
        is_recent = age_s < 2 * LONG_WINDOW_S
        self._previous = self._current if is_recent else Counter()
        self._current = Counter()
        self._period_start_s = now_s

    def top_contributors(
        self, now_s: float, fleet: Fleet
    ) -> tuple[Contributor, ...]:
        """Returns the servers with the most bad attempts.

        These are more than a report shows, because a server that is not among
        the worst on any node may be the worst over all nodes.
        """
        self._rotate(now_s)
        items = (
            Contributor(
                server_id=server_id,
                failure_domain=_find_domain(fleet, server_id),
                slow_count=0 if is_failed else count,
                failed_count=count if is_failed else 0,
            )
            for counts in (self._previous, self._current)
            for (server_id, is_failed), count in counts.items()
        )
        return rank_contributors(items, MAX_TRACKED_SERVER_COUNT)


def _find_domain(fleet: Fleet, server_id: str) -> str:
    server = fleet.server(server_id)
    return server.failure_domain if server else "unlisted"


class _ClassCounters:
    """The counters of one class of work."""

    def __init__(self) -> None:
        self.history = BurnHistory()
        self.servers = _BadAttemptCounts()
        self.outcome_counts: Counter[str] = Counter()
        self.latency_counts = [0] * (len(LATENCY_BOUNDS_S) + 1)
        self.latency_sum_s = 0.0


class ServiceLevels:
    """Counts the outcomes of callers' requests, by class of work."""

    def __init__(self) -> None:
        self.classes: dict[str, _ClassCounters] = {}

    def _class_counters(self, class_name: str) -> _ClassCounters:
        counters = self.classes.get(class_name)
        if counters is None:
            counters = self.classes[class_name] = _ClassCounters()
        return counters

    def set_configuration(self, configuration: Configuration) -> None:
        """Drops the counters of classes that the configuration lacks."""
        names = {work_class.name for work_class in configuration.classes}
        for name in self.classes.keys() - names:
            del self.classes[name]

    def record_end(
        self, now_s: float, work_class: WorkClass, outcome: str, end: RequestEnd
    ) -> None:
        """Counts the end of one request.

        Args:
            now_s: The current time, which never goes back.
            work_class: Its class, which must be in the current configuration.
            outcome: A label of the counter, such as "answered" or "refused".
            end: How it ended.
        """
        counters = self._class_counters(work_class.name)
        counters.history.record(now_s, count_request(end, work_class.targets))
        counters.outcome_counts[outcome] += 1
        if not end.is_answered:
            return
        index = bisect.bisect_left(LATENCY_BOUNDS_S, end.latency_s)
        counters.latency_counts[index] += 1
        counters.latency_sum_s += end.latency_s

    def record_bad_attempt(
        self, now_s: float, class_name: str, server_id: str, is_failed: bool
    ) -> None:
        """Counts one attempt at a backend server that was slow or failed."""
        self._class_counters(class_name).servers.record(
            now_s, server_id, is_failed
        )

    def burn(
        self, now_s: float, configuration: Configuration, fleet: Fleet
    ) -> tuple[ClassBurn, ...]:
        """Returns the counts of each class in the configuration."""
        return tuple(
            self._class_burn(now_s, work_class, fleet)
            for work_class in configuration.classes
        )

    def _class_burn(
        self, now_s: float, work_class: WorkClass, fleet: Fleet
    ) -> ClassBurn:
        counters = self._class_counters(work_class.name)
        return ClassBurn(
            name=work_class.name,
            targets=work_class.targets,
            short=counters.history.window(now_s, SHORT_WINDOW_S),
            long=counters.history.window(now_s, LONG_WINDOW_S),
            since_start=counters.history.total,
            series=counters.history.series(now_s),
            contributors=counters.servers.top_contributors(now_s, fleet),
        )
