"""Test configuration shared by all packages."""

import re
from pathlib import Path

import pytest
from hypothesis import settings

from standins.testing import start_standin

__all__ = ["start_standin"]

# Derandomized, and without a time limit per example: the same verdict on every machine and run.
settings.register_profile("fixed", derandomize=True, deadline=None, max_examples=100, database=None)
settings.load_profile("fixed")

KNOWN_RED = Path(__file__).with_name("KNOWN-RED.txt")


def known_red_tests() -> dict[str, bool]:
    """Return the ids of the tests that KNOWN-RED.txt lists, and whether they fail each time."""
    pattern = r"^\s+test( \(at times\))?:\s+(\S+::\S+)$"
    found = re.findall(pattern, KNOWN_RED.read_text(), re.MULTILINE)
    return {node_id: not at_times for at_times, node_id in found}


def pytest_collection_modifyitems(items):
    """Expect the listed tests to fail; one that passes fails the run until its entry is removed.

    Those that fail at times may also pass.
    """
    listed = known_red_tests()
    for item in items:
        if item.nodeid in listed:
            strict = listed[item.nodeid]
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=strict))


def pytest_terminal_summary(terminalreporter):
    """Print the listed tests."""
    for node_id in known_red_tests():
        terminalreporter.write_line(f"known red: {node_id}")
