"""Tests of decoding and checking settings."""

import json

from bramleyrouter.conf.settings import decode_settings

VALID = {
    "daemon_id": "entry-1",
    "data_centre": "dc1",
    "internal_address": "127.0.0.1:7000",
    "http_address": "127.0.0.1:8000",
    "cluster_key": "c" * 32,
    "operator_token": "o" * 32,
    "control": ["127.0.0.1:7100"],
}


class TestDecodeSettings:
    """Guard against invalid settings that are accepted.

    All findings are reported together, so that an operator can fix them in one step.
    """

    def decode(self, **changes):
        return decode_settings(json.dumps({**VALID, **changes}).encode())

    def test_valid_settings_are_accepted(self):
        """Guards against a check that rejects valid settings."""
        assert self.decode().ok_value.daemon_id == "entry-1"

    def test_every_finding_is_listed_at_once(self):
        """Guards against checks that stop at the first finding."""
        failure = self.decode(
            control=[], hedge_budget=2, cluster_key="short", http_address="host:1"
        ).err_value
        codes = {finding.code for finding in failure.findings}
        assert codes == {
            "settings.E006",
            "settings.E007",
            "settings.E008",
            "settings.E010",
        }

    def test_unknown_and_mistyped_keys_are_errors(self):
        """Guards against a misspelt setting that is ignored."""
        failure = self.decode(hedge_bugdet=0.1, control="x").err_value
        codes = {finding.code for finding in failure.findings}
        assert codes == {"settings.E003", "settings.E005"}

    def test_text_that_is_not_json_is_an_error(self):
        """Guards against a decoder that raises instead of returning a finding."""
        assert decode_settings(b"{").err_value.findings[0].code == "settings.E001"
