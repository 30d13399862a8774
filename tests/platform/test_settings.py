"""Tests of the platform's settings file."""

from result import Err

from bramleyrouter.codes import Code
from bramleyrouter.platform.settings import read_settings

SETTINGS_FILE = """
node = "front-1"
role = "entry"
ip = "10.1.0.9"
zone = "se-a"
internalPorts = [7380,7395]
seeds = ["10.1.0.12:8106","10.2.0.23:8106"]
bootstrap = true
heartbeatMs = 1200
later = 1
[zones]
se-a = "south-east"
se-b = "south-east"
[listen]
front = "10.1.0.9:8104"
ready = "10.1.0.9:8108"
[limits]
cpuShare = 0.25
cores = 2
memoryMb = 300
maxConnections = 70
[faultTolerance]
machines = 2
[bounds]
drainMs = 3000
graceS = 6
retryBudget = 0.2
budgetSlack = 56
warmupFactor = 1.5
quotaSlack = 30
"""


def read(tmp_path, text):
    path = tmp_path / "boot.toml"
    path.write_text(text)
    return read_settings(str(path))


class TestReadSettings:
    """Guard against misread settings and wrong codes for invalid ones."""

    def test_complete_file(self, tmp_path):
        cfg = read(tmp_path, SETTINGS_FILE).ok_value
        assert cfg.daemon_id == "front-1"
        assert cfg.internal_address == "10.1.0.9:7380"
        assert cfg.seeds == ("10.1.0.12:7380", "10.2.0.23:7380")
        assert cfg.is_first_start
        assert cfg.data_centres == ("se-a", "se-b")
        assert cfg.tolerated_losses == 2
        assert cfg.cores == 0.5
        assert cfg.memory_bytes == 300_000_000
        assert cfg.max_connections == 70
        assert (cfg.bounds.drain_s, cfg.bounds.stop_s) == (3.0, 6.0)
        assert (cfg.bounds.extra_ratio, cfg.bounds.extra_slack) == (0.2, 56.0)
        assert (cfg.bounds.quota_window_s, cfg.bounds.quota_slack) == (5.0, 30.0)

    def test_without_a_memory_limit_the_least_one_is_assumed(self, tmp_path):
        text = SETTINGS_FILE.replace("memoryMb = 300\n", "")
        assert read(tmp_path, text).ok_value.memory_bytes == 200_000_000

    def test_missing_file_is_unreadable(self):
        failure = read_settings("/nowhere/boot.toml")
        assert isinstance(failure, Err)
        assert failure.err_value.code is Code.SETTINGS_UNREADABLE

    def test_invalid_toml_is_unreadable(self, tmp_path):
        assert read(tmp_path, "node =").err_value.code is Code.SETTINGS_UNREADABLE

    def test_field_of_a_wrong_type_is_invalid(self, tmp_path):
        failure = read(tmp_path, SETTINGS_FILE.replace("[7380,7395]", "7380"))
        assert failure.err_value.code is Code.SETTINGS_INVALID
