"""Adds up the counts of several nodes, by class of work."""

from collections import Counter
from collections.abc import Iterable
from typing import Final

from mulberrybay_core.burn import ClassBurn, Contributor, add_counts
from mulberrybay_core.operator_messages import NodeBurn

REPORTED_CONTRIBUTOR_COUNT: Final = 10


def rank_contributors(
    items: Iterable[Contributor], max_count: int
) -> tuple[Contributor, ...]:
    """Returns the `max_count` worst servers, with duplicates added up."""
    slow: Counter[tuple[str, str]] = Counter()
    failed: Counter[tuple[str, str]] = Counter()
    for item in items:
        key = (item.server_id, item.failure_domain)
        slow[key] += item.slow_count
        failed[key] += item.failed_count
    merged = [Contributor(*key, slow[key], failed[key]) for key in slow]
    merged.sort(key=lambda item: (-item.bad_count, item.server_id))
    return tuple(merged[:max_count])


def rank_domains(items: Iterable[Contributor]) -> list[tuple[str, int]]:
    """Returns failure domains and their bad attempts, worst first."""
    counts: Counter[str] = Counter()
    for item in items:
        counts[item.failure_domain] += item.bad_count
    return sorted(counts.items(), key=lambda pair: (-pair[1], pair[0]))


def merge_nodes(nodes: Iterable[NodeBurn]) -> tuple[ClassBurn, ...]:
    """Returns the sum for each class, with the newest revision's targets."""
    by_name: dict[str, list[ClassBurn]] = {}
    for node in sorted(nodes, key=lambda node: node.revision):
        for item in node.classes:
            by_name.setdefault(item.name, []).append(item)
    return tuple(_merge_class(burns) for _, burns in sorted(by_name.items()))


def _merge_class(burns: list[ClassBurn]) -> ClassBurn:
    return ClassBurn(
        name=burns[-1].name,
        targets=burns[-1].targets,
        short=add_counts(burn.short for burn in burns),
        long=add_counts(burn.long for burn in burns),
        since_start=add_counts(burn.since_start for burn in burns),
        series=tuple(
            add_counts(steps)
            for steps in zip(*(burn.series for burn in burns), strict=True)
        ),
        contributors=rank_contributors(
            (item for burn in burns for item in burn.contributors),
            REPORTED_CONTRIBUTOR_COUNT,
        ),
    )
