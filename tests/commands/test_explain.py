"""Tests of ``bramleyctl explain``."""

import asyncio

from bramleyrouter.commands.exits import Exit
from bramleyrouter.commands.explain import find_events, format_event
from bramleyrouter.commands.main import run_command

LINES = [
    '2.5 front-1 {"at":2.5,"daemon":"front-1","part":"gateway",'
    '"event":"gather_ended","id":"q1","outcome":"failed","reason":""}',
    '{"at":1.5,"daemon":"front-1","part":"gateway","event":"shard_failed",'
    '"id":"q1","server":"i-1","status":0}',
    '{"at":1.0,"daemon":"front-2","part":"gateway","event":"gather_ended","id":"q2"}',
    '{"at":1.0,"daemon":"front-2","id":"q1',
    "no event of q1",
]


class TestExplain:
    """Guard against events of other requests and against lost or unsorted ones."""

    def run(self, tmp_path, request_id):
        path = tmp_path / "log"
        path.write_text("\n".join(LINES))
        return asyncio.run(run_command(["explain", request_id, str(path)]))

    def test_prints_one_request_in_order(self, tmp_path, capsys):
        assert self.run(tmp_path, "q1") == Exit.DONE
        printed = capsys.readouterr().out.splitlines()
        assert printed == [
            "1.5 front-1 gateway shard_failed: server=i-1 status=0",
            "2.5 front-1 gateway gather_ended: outcome=failed",
        ]

    def test_prints_the_requests_that_name_a_server(self, tmp_path, capsys):
        assert self.run(tmp_path, "i-1") == Exit.DONE
        printed = capsys.readouterr().out.splitlines()
        assert printed == [
            "1.5 front-1 gateway shard_failed: id=q1 server=i-1 status=0"
        ]

    def test_request_without_events_is_refused(self, tmp_path):
        assert self.run(tmp_path, "q9") == Exit.REFUSED

    def test_missing_file_is_a_usage_error(self, tmp_path):
        missing = ["explain", "q1", str(tmp_path / "none")]
        assert asyncio.run(run_command(missing)) == Exit.USAGE

    def test_ids_within_other_fields_do_not_count(self):
        line = '{"at":1,"id":"q2","reason":"q1"}'
        assert list(find_events("q1", [line])) == []

    def test_missing_fields_are_shown_as_dashes(self):
        assert format_event({"at": 1, "id": "q"}) == "1 - - -: "
