"""Tests that the page of capacity figures agrees with the benchmark."""

import importlib
import re
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def test_page_names_every_measured_slope(monkeypatch):
    """Guards against figures on the page that the benchmark it names no longer measures."""
    monkeypatch.syspath_prepend(str(ROOT / "benchmarks"))
    slopes = importlib.import_module("bench_capacity").all_slopes()
    page = (ROOT / "docs" / "CAPACITY.md").read_text(encoding="utf-8")

    rows = re.findall(r"^\| `([a-z_]+\.[a-z_]+)` \|", page, re.MULTILINE)

    assert sorted(rows) == sorted(slope.name for slope in slopes)


def test_each_slope_has_at_least_three_sizes(monkeypatch):
    """Guards against a fit through two points, which has no residual to judge it by."""
    monkeypatch.syspath_prepend(str(ROOT / "benchmarks"))
    slopes = importlib.import_module("bench_capacity").all_slopes()

    assert [slope.name for slope in slopes if len(set(slope.sizes)) < 3] == []
