"""Expect the failures that KNOWN-RED.txt lists, and no others."""

from pathlib import Path

import pytest

KNOWN_RED_PATH = Path(__file__).parents[1] / "KNOWN-RED.txt"
TEST_PREFIX = "test: "


def read_known_red():
    """Return the ids of the tests that are listed."""
    if not KNOWN_RED_PATH.exists():
        return set()
    lines = KNOWN_RED_PATH.read_text().splitlines()
    return {
        line[len(TEST_PREFIX) :].strip()
        for line in lines
        if line.startswith(TEST_PREFIX)
    }


def pytest_collection_modifyitems(items):
    """Expect listed tests to fail; one that passes is an error (outdated list)."""
    listed = read_known_red()
    for item in items:
        if item.nodeid in listed:
            reason = f"listed in {KNOWN_RED_PATH.name}"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True))


def pytest_terminal_summary(terminalreporter):
    """Print the listed tests."""
    for name in sorted(read_known_red()):
        terminalreporter.write_line(f"known red: {name}")
