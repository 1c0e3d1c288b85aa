"""Measuring one cost at several sizes, and the least-squares line through the results."""

import gc
import math
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

# The shortest of several runs is least disturbed by other processes on the machine.
RUNS = 3


@dataclass(slots=True, frozen=True)
class Slope:
    """A cost that is measured at several sizes.

    :param size_unit: what is counted by the sizes.
    :param full: size at which the line is evaluated.
    """

    name: str
    unit: str
    size_unit: str
    sizes: tuple[int, ...]
    full: float
    measure: Callable[[int], float]


@dataclass(slots=True, frozen=True)
class Fit:
    """Line through the measured points.

    :param slope_error: standard error of the slope.
    :param error: root mean square of the residuals over the mean of the points.
    :param at_full: value of the line at the full size; the mean of the points if the line falls.
    """

    slope: Slope
    points: tuple[float, ...]
    base: float
    per_size: float
    slope_error: float
    error: float
    at_full: float


def fit(slope: Slope, points: list[float]) -> Fit:
    """Fit a line by least squares."""
    sizes, count = slope.sizes, len(points)
    mean_x, mean_y = sum(sizes) / count, sum(points) / count
    spread = sum((x - mean_x) ** 2 for x in sizes)
    pairs = list(zip(sizes, points, strict=True))
    per_size = sum((x - mean_x) * (y - mean_y) for x, y in pairs) / spread
    base = mean_y - per_size * mean_x
    squares = sum((y - base - per_size * x) ** 2 for x, y in pairs)
    slope_error = math.sqrt(squares / max(1, count - 2) / spread)
    error = math.sqrt(squares / count) / mean_y if mean_y else 0.0
    # A line that falls is noise around a cost that does not depend on the size.
    at_full = base + per_size * slope.full if per_size > 0 else mean_y
    return Fit(slope, tuple(points), base, per_size, slope_error, error, at_full)


def cpu_us(call: Callable[[], Any], repeats: int = 1) -> float:
    """Return the processor time of one call, in microseconds."""
    best = math.inf
    for _ in range(RUNS):
        start = time.process_time()
        for _ in range(repeats):
            call()
        best = min(best, time.process_time() - start)
    return best / repeats * 1e6


def cpu_us_fresh(prepare: Callable[[], Any], call: Callable[[Any], Any]) -> float:
    """Return the processor time of a call that changes its argument, in microseconds."""
    best = math.inf
    for _ in range(RUNS):
        argument = prepare()
        start = time.process_time()
        call(argument)
        best = min(best, time.process_time() - start)
    return best * 1e6


def allocated(build: Callable[[], Any]) -> int:
    """Return the bytes that an object keeps allocated, as tracemalloc counts them."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return size
