"""The page of capacity figures."""

import importlib
import re
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def test_page_names_every_measured_slope(monkeypatch):
    """Guards against a page whose figures no longer come from the command that it names."""
    monkeypatch.syspath_prepend(str(ROOT / "benchmarks"))
    slopes = importlib.import_module("bench_capacity").all_slopes()
    page = (ROOT / "docs" / "CAPACITY.md").read_text(encoding="utf-8")

    rows = re.findall(r"^\| `([a-z_]+\.[a-z_]+)` \|", page, re.MULTILINE)

    assert sorted(rows) == sorted(slope.name for slope in slopes)


def test_each_slope_has_at_least_three_sizes(monkeypatch):
    """Guards against a line through two points, whose error cannot be seen."""
    monkeypatch.syspath_prepend(str(ROOT / "benchmarks"))
    slopes = importlib.import_module("bench_capacity").all_slopes()

    assert [slope.name for slope in slopes if len(set(slope.sizes)) < 3] == []
