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


def known_red_tests() -> list[str]:
    """Return the ids of the tests that KNOWN-RED.txt lists as failing."""
    return re.findall(r"^\s+test:\s+(\S+::\S+)$", KNOWN_RED.read_text(), re.MULTILINE)


def pytest_collection_modifyitems(items):
    """Expect the listed tests to fail; one that passes fails the run until its entry is removed."""
    listed = set(known_red_tests())
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=True))


def pytest_terminal_summary(terminalreporter):
    """Print the listed tests."""
    for node_id in known_red_tests():
        terminalreporter.write_line(f"known red: {node_id}")
