"""Plots of latency and coverage over the time of a scenario."""

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
    scenario: Scenario, curves: Mapping[str, Sequence[Sample]], path: Path
) -> None:
    """Draws the latency of the slowest percent and the full answers."""
    figure, (upper, lower) = plt.subplots(2, 1, sharex=True, figsize=(9, 6))
    for arm, samples in curves.items():
        windows: dict[float, list[Sample]] = defaultdict(list)
        for sample in samples:
            windows[int(sample.at_s / WINDOW_S) * WINDOW_S].append(sample)
        times = sorted(windows)
        slow = [_slow_latency_ms(windows[time_s]) for time_s in times]
        good = [_mean_coverage(windows[time_s]) for time_s in times]
        upper.plot(times, slow, label=arm)
        lower.plot(times, good, label=arm)
    for action in scenario.actions:
        upper.axvline(action["at_s"], color="grey", linestyle=":")
        lower.axvline(action["at_s"], color="grey", linestyle=":")
    upper.set(title=scenario.name, ylabel="slowest answer (ms)", yscale="log")
    lower.set(xlabel="time (s)", ylabel="coverage, 0 if unanswered (%)")
    upper.legend()
    figure.savefig(path, dpi=80)
    plt.close(figure)


def _slow_latency_ms(samples: Sequence[Sample]) -> float:
    return max((s.latency_ms for s in samples if s.status == 200), default=1.0)


def _mean_coverage(samples: Sequence[Sample]) -> float:
    return statistics.fmean(sample.coverage_percent for sample in samples)
