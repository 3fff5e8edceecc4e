"""Fit a straight line to measured sizes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import numpy as np


@dataclass(frozen=True, slots=True)
class Measure:
    """Describe what is measured at several sizes.

    ``run`` returns one figure for a size; ``target`` is the size asked for.
    """

    name: str
    unit: str
    size_name: str
    sizes: tuple[int, ...]
    target: int
    run: Callable[[int], float]


@dataclass(frozen=True, slots=True)
class Fit:
    """Hold the figures, their least-squares line, and how far they are from it.

    ``residual`` is the largest distance of a figure from the line, as a share of the
    figure at the largest size.
    """

    measure: Measure
    figures: tuple[float, ...]
    slope: float
    intercept: float
    residual: float

    def at(self, size: float) -> float:
        """Return the line's value at a size."""
        return self.intercept + self.slope * size

    @property
    def at_target(self) -> float:
        """Return the line's value at the target size."""
        return self.at(self.measure.target)


def fit(measure: Measure) -> Fit:
    """Measure at every size and fit the line."""
    figures = tuple(measure.run(size) for size in measure.sizes)
    sizes = np.array(measure.sizes, dtype=float)
    values = np.array(figures)
    slope, intercept = np.polyfit(sizes, values, 1)
    distance = np.abs(values - (intercept + slope * sizes)).max()
    largest = max(abs(figures[-1]), 1e-12)
    return Fit(
        measure, figures, float(slope), float(intercept), float(distance / largest)
    )
