"""Metrics read from the components' own counters when they are scraped.

The hot path only counts; labels and families are made here, once per scrape.
"""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Final, Literal, NamedTuple

from prometheus_client import CollectorRegistry, ProcessCollector
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest
from prometheus_client.metrics_core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

PREFIX: Final = "mulberrybay_"
CONTENT_TYPE: Final = CONTENT_TYPE_LATEST


class MetricSpec(NamedTuple):
    """One metric; a counter's name ends in _total when it is scraped.

    Attributes:
        name: Its name without the prefix, with the unit as a suffix.
        kind: What it measures.
        meaning: Its help text.
        labels: The names of its labels, of few values each.
    """

    name: str
    kind: Literal["counter", "gauge", "histogram"]
    meaning: str
    labels: tuple[str, ...] = ()


class HistogramValue(NamedTuple):
    """The counts between bounds, the last one above all, and the sum."""

    bounds: Sequence[float]
    counts: Sequence[int]
    sum_value: float


class Sample(NamedTuple):
    """One value of a metric, under its labels' values."""

    name: str
    value: float | HistogramValue
    labels: tuple[str, ...] = ()


def count_samples(name: str, counts: Mapping[str, int]) -> Iterator[Sample]:
    """Returns one sample for each value of a metric's only label."""
    for label, count in counts.items():
        yield Sample(name, count, (label,))


class SampleSource:
    """What a collector reads; a base class for sources."""

    specs: tuple[MetricSpec, ...] = ()

    def read_samples(self) -> Iterable[Sample]:
        """Returns the present values."""
        return ()


class _SourceCollector(Collector):
    """Turns the samples of a source into families."""

    def __init__(self, source: SampleSource) -> None:
        self._source = source

    def describe(self) -> Iterable[Metric]:
        """Returns the families without values."""
        return [_make_family(spec) for spec in self._source.specs]

    def collect(self) -> Iterable[Metric]:
        """Returns the families with the present values."""
        families = {
            spec.name: _make_family(spec) for spec in self._source.specs
        }
        for sample in self._source.read_samples():
            _add_sample(families[sample.name], sample)
        return families.values()


Family = CounterMetricFamily | GaugeMetricFamily | HistogramMetricFamily


def _make_family(spec: MetricSpec) -> Family:
    name = PREFIX + spec.name
    match spec.kind:
        case "counter":
            return CounterMetricFamily(name, spec.meaning, labels=spec.labels)
        case "gauge":
            return GaugeMetricFamily(name, spec.meaning, labels=spec.labels)
        case "histogram":
            return HistogramMetricFamily(name, spec.meaning, labels=spec.labels)


def _add_sample(family: Family, sample: Sample) -> None:
    if isinstance(sample.value, HistogramValue):
        if isinstance(family, HistogramMetricFamily):
            family.add_metric(
                sample.labels,
                _cumulate(sample.value),
                sample.value.sum_value,
            )
    elif not isinstance(family, HistogramMetricFamily):
        family.add_metric(sample.labels, sample.value)


def _cumulate(value: HistogramValue) -> list[tuple[str, float]]:
    buckets = []
    total = 0.0
    bounds = [*(str(bound) for bound in value.bounds), "+Inf"]
    for bound, count in zip(bounds, value.counts, strict=True):
        total += count
        buckets.append((bound, total))
    return buckets


class MetricsPage:
    """The page that is scraped: the source's metrics and the process's."""

    def __init__(self, source: SampleSource) -> None:
        self._registry = CollectorRegistry()
        self._registry.register(_SourceCollector(source))
        ProcessCollector(registry=self._registry)

    def render(self) -> bytes:
        """Returns the page in the Prometheus text format."""
        return generate_latest(self._registry)
