"""Tests that the example settings and manifests are valid."""

from pathlib import Path

import msgspec
import pytest

from bramleyrouter.board.sections import Manifest
from bramleyrouter.conf.settings import read_settings

EXAMPLES = Path(__file__).parents[2] / "examples"
SETTINGS = sorted(EXAMPLES.glob("*/[ce]*-*.json"))
MANIFESTS = sorted(EXAMPLES.glob("*/manifest.json"))


class TestExamples:
    """Guard against example files that the daemons reject."""

    @pytest.mark.parametrize("path", SETTINGS, ids=lambda path: path.stem)
    def test_settings_are_valid(self, path):
        assert read_settings(str(path)).is_ok()

    @pytest.mark.parametrize("path", MANIFESTS, ids=lambda path: path.parent.name)
    def test_manifest_has_the_service_sizes_of_its_deployment(self, path):
        manifest = msgspec.json.decode(path.read_bytes(), type=Manifest)
        two_replica_services = [
            item for item in manifest.services if item.replicas == 2
        ]
        other_replica_counts = [
            item.replicas for item in manifest.services if item.replicas != 2
        ]
        assert len(two_replica_services) == 50
        assert sum(other_replica_counts) in (7, 8)
