"""Tests that the reference pages list what the code has."""

import re
from pathlib import Path

import msgspec

from bramleyrouter.codes import Code
from bramleyrouter.conf.settings import Settings

REFERENCE = Path(__file__).parents[2] / "docs" / "reference"


class TestCodesPage:
    """Guard against a result code that no reader can look up."""

    def test_page_lists_every_code_with_its_number(self):
        text = (REFERENCE / "codes.md").read_text()
        rows = re.findall(r"^\| (\d+) \| ([A-Z_]+) \|", text, re.MULTILINE)
        assert {(int(number), name) for number, name in rows} == {
            (int(code), code.name) for code in Code
        }


class TestSettingsPage:
    """Guard against a setting without a description."""

    def test_page_lists_every_setting_with_its_default(self):
        text = (REFERENCE / "settings.md").read_text()
        rows = dict(re.findall(r"^\| `(\w+)` \| ([^|]+) \|", text, re.MULTILINE))
        fields = msgspec.structs.fields(Settings)
        assert set(rows) == {field.name for field in fields}
        for field in fields:
            if isinstance(field.default, int | float):
                assert float(rows[field.name]) == field.default, field.name
