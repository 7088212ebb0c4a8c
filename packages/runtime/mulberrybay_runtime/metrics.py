"""Metrics that are read from the components' counters at each scrape.

The hot path only increments counters. Labels and metric families are created
here, once per scrape.
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
    """The definition of a metric.

    Attributes:
        name: Its name without PREFIX, with the unit as a suffix. The scraped
            name of a counter also ends in _total.
        kind: The Prometheus type.
        help_text: The description shown when scraped.
        labels: The names of its labels. Each label has few values.
    """

    name: str
    kind: Literal["counter", "gauge", "histogram"]
    help_text: str
    labels: tuple[str, ...] = ()


class HistogramValue(NamedTuple):
    """The value of a histogram.

    Attributes:
        bounds: The upper bounds of the buckets, without the last bucket.
        counts: The count of each bucket, not cumulated. The last bucket is
            above all bounds.
        sum_value: The sum of all observed values.
    """

    bounds: Sequence[float]
    counts: Sequence[int]
    sum_value: float


class Sample(NamedTuple):
    """One value of a metric, with the values of its labels."""

    name: str
    value: float | HistogramValue
    labels: tuple[str, ...] = ()


def count_samples(name: str, counts: Mapping[str, int]) -> Iterator[Sample]:
    """Returns one sample for each label value of a metric with one label."""
    for label, count in counts.items():
        yield Sample(name, count, (label,))


class SampleSource:
    """Base class of sources from which a collector reads samples."""

    specs: tuple[MetricSpec, ...] = ()

    def read_samples(self) -> Iterable[Sample]:
        """Returns the current values."""
        return ()


class _SourceCollector(Collector):
    """Converts the samples of a source into metric families."""

    def __init__(self, source: SampleSource) -> None:
        self._source = source

    def describe(self) -> Iterable[Metric]:
        """Returns the metric families without values."""
        return [_make_family(spec) for spec in self._source.specs]

    def collect(self) -> Iterable[Metric]:
        """Returns the metric families with the current values."""
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
            return CounterMetricFamily(name, spec.help_text, labels=spec.labels)
        case "gauge":
            return GaugeMetricFamily(name, spec.help_text, labels=spec.labels)
        case "histogram":
            return HistogramMetricFamily(
                name, spec.help_text, labels=spec.labels
            )


def _add_sample(family: Family, sample: Sample) -> None:
    if isinstance(sample.value, HistogramValue):
        if isinstance(family, HistogramMetricFamily):
            family.add_metric(
                sample.labels,
                _cumulative_buckets(sample.value),
                sample.value.sum_value,
            )
    elif not isinstance(family, HistogramMetricFamily):
        family.add_metric(sample.labels, sample.value)


def _cumulative_buckets(value: HistogramValue) -> list[tuple[str, float]]:
    buckets = []
    total = 0.0
    bounds = [*(str(bound) for bound in value.bounds), "+Inf"]
    for bound, count in zip(bounds, value.counts, strict=True):
        total += count
        buckets.append((bound, total))
    return buckets


class MetricsPage:
    """The page that is scraped, with metrics of a source and the process."""

    def __init__(self, source: SampleSource) -> None:
        self._registry = CollectorRegistry()
        self._registry.register(_SourceCollector(source))
        ProcessCollector(registry=self._registry)

    def render(self) -> bytes:
        """Returns the page in the Prometheus text format."""
        return generate_latest(self._registry)
