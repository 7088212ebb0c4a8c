"""Plots latency and coverage over time for a scenario."""

from __future__ import annotations

import statistics
from collections import defaultdict
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Final

import matplotlib

from mulberrybay_testing.load_generator import Sample
from mulberrybay_testing.scenario import Scenario

matplotlib.use("Agg")

from matplotlib import pyplot as plt

WINDOW_S: Final = 0.5


def plot_scenario(
    scenario: Scenario,
    samples_by_arm: Mapping[str, Sequence[Sample]],
    path: Path,
) -> None:
    """Plots the slowest answer and the mean coverage of each time window.

    Vertical lines mark the actions of the scenario.

    Args:
        scenario: The scenario.
        samples_by_arm: The samples of one run for each policy arm.
        path: The image file to write.
    """
    figure, (latency_axes, coverage_axes) = plt.subplots(
        2, 1, sharex=True, figsize=(9, 6)
    )
    for arm, samples in samples_by_arm.items():
        windows: dict[float, list[Sample]] = defaultdict(list)
        for sample in samples:
            windows[int(sample.at_s / WINDOW_S) * WINDOW_S].append(sample)
        times = sorted(windows)
        slowest_ms = [_slowest_answer_ms(windows[time_s]) for time_s in times]
        coverage_percents = [
            _mean_coverage(windows[time_s]) for time_s in times
        ]
        latency_axes.plot(times, slowest_ms, label=arm)
        coverage_axes.plot(times, coverage_percents, label=arm)
    for action in scenario.actions:
        latency_axes.axvline(action["at_s"], color="grey", linestyle=":")
        coverage_axes.axvline(action["at_s"], color="grey", linestyle=":")
    latency_axes.set(
        title=scenario.name, ylabel="slowest answer (ms)", yscale="log"
    )
    coverage_axes.set(xlabel="time (s)", ylabel="coverage, 0 if unanswered (%)")
    latency_axes.legend()
    figure.savefig(path, dpi=80)
    plt.close(figure)


def _slowest_answer_ms(samples: Sequence[Sample]) -> float:
    return max((s.latency_ms for s in samples if s.status == 200), default=1.0)


def _mean_coverage(samples: Sequence[Sample]) -> float:
    return statistics.fmean(sample.coverage_percent for sample in samples)
