"""Tests that the operations page relies on lines that are written."""

import re
from pathlib import Path

ROOT = Path(__file__).parents[2]
PAGE = (ROOT / "docs" / "OPERATIONS.md").read_text()
SOURCES = "\n".join(
    path.read_text() for path in (ROOT / "src" / "bramleyrouter").rglob("*.py")
)
EVENTS = (
    "gather_ended",
    "gather_cancelled",
    "request_ended",
    "shard_failed",
    "send_failed",
    "relay_failed",
    "control_heard",
    "control_lost",
    "table",
    "fetch_failed",
    "bad_heartbeat",
    "order_open",
    "leader",
    "left_out",
    "starting",
    "signal",
    "settings_read",
    "built",
    "started",
    "ended",
    "callback_failed",
    "stopped",
    "start_failed",
    "start_delayed",
    "start_resumed",
    "reloaded",
    "reload_failed",
    "restart_needed",
    "permit_refused",
    "customer_refused",
    "client_refused",
    "not_forwarded",
    "start_reserve",
    "membership",
    "version_tried",
)


class TestOperationsPage:
    """Guard against a page that leads to lines which no daemon writes."""

    def test_every_event_of_the_page_is_written(self):
        for event in EVENTS:
            assert event in PAGE, event
            assert f'"{event}"' in SOURCES, event

    def test_every_field_of_the_examples_is_written(self):
        examples = re.findall(r"^ {4,}.*(?:\n {6,}.*)*", PAGE, re.MULTILINE)
        names = set(re.findall(r"\b([a-z_]+)=", "\n".join(examples)))
        assert {"reason", "included", "waited_ms", "end", "ran"} <= names
        for name in names:
            assert re.search(rf"\b{name}=", SOURCES), name

    def test_no_name_of_the_wire(self):
        for name in ("Bramleyrouter-", "timeoutMs", "warmupLeftMs", "gather_ms"):
            assert name not in PAGE
