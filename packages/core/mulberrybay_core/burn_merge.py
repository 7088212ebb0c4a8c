"""Adds up what several nodes counted for their classes of work."""

from collections import Counter
from collections.abc import Iterable
from typing import Final

from mulberrybay_core.burn import ClassBurn, Contributor, add_counts
from mulberrybay_core.operator_messages import NodeBurn

CONTRIBUTOR_COUNT: Final = 10


def rank_contributors(
    items: Iterable[Contributor], most_count: int
) -> tuple[Contributor, ...]:
    """Adds up servers that occur twice and returns the worst."""
    slow: Counter[tuple[str, str]] = Counter()
    failed: Counter[tuple[str, str]] = Counter()
    for item in items:
        place = (item.server_id, item.failure_domain)
        slow[place] += item.slow_count
        failed[place] += item.failed_count
    merged = [Contributor(*place, slow[place], failed[place]) for place in slow]
    merged.sort(key=lambda item: (-item.bad_count, item.server_id))
    return tuple(merged[:most_count])


def rank_domains(items: Iterable[Contributor]) -> list[tuple[str, int]]:
    """Returns failure domains with their bad attempts, the worst first."""
    counts: Counter[str] = Counter()
    for item in items:
        counts[item.failure_domain] += item.bad_count
    return sorted(counts.items(), key=lambda pair: (-pair[1], pair[0]))


def merge_nodes(nodes: Iterable[NodeBurn]) -> tuple[ClassBurn, ...]:
    """Returns one sum for each class, under its newest targets."""
    by_name: dict[str, list[ClassBurn]] = {}
    for node in sorted(nodes, key=lambda node: node.revision):
        for item in node.classes:
            by_name.setdefault(item.name, []).append(item)
    return tuple(_merge(parts) for _, parts in sorted(by_name.items()))


def _merge(parts: list[ClassBurn]) -> ClassBurn:
    return ClassBurn(
        name=parts[-1].name,
        targets=parts[-1].targets,
        short=add_counts(part.short for part in parts),
        long=add_counts(part.long for part in parts),
        since_start=add_counts(part.since_start for part in parts),
        series=tuple(
            add_counts(steps)
            for steps in zip(*(part.series for part in parts), strict=True)
        ),
        contributors=rank_contributors(
            (item for part in parts for item in part.contributors),
            CONTRIBUTOR_COUNT,
        ),
    )
