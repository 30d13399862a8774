"""Tests that links between the pages lead somewhere."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
PAGES = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]


class TestLinks:
    """Guard against pages that were moved or never written."""

    @pytest.mark.parametrize("page", PAGES, ids=lambda page: page.stem)
    def test_relative_links_exist(self, page):
        links = re.findall(r"\]\(([^)#:]+)\)", page.read_text())
        assert [link for link in links if not (page.parent / link).exists()] == []
