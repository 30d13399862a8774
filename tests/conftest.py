"""Expect the failures that KNOWN-RED.txt lists, and no others."""

from pathlib import Path

import pytest

LIST = Path(__file__).parents[1] / "KNOWN-RED.txt"
MARK = "test: "


def known_red():
    """Return the ids of the tests that are listed."""
    if not LIST.exists():
        return set()
    lines = LIST.read_text().splitlines()
    return {line[len(MARK) :].strip() for line in lines if line.startswith(MARK)}


def pytest_collection_modifyitems(items):
    """Expect listed tests to fail; one that passes is an error (outdated list)."""
    listed = known_red()
    for item in items:
        if item.nodeid in listed:
            reason = f"listed in {LIST.name}"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True))


def pytest_terminal_summary(terminalreporter):
    """Print the listed tests."""
    for name in sorted(known_red()):
        terminalreporter.write_line(f"known red: {name}")
