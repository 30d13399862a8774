"""Tests of ``bramleyctl`` against the operators' interface on loopback."""

import asyncio
import json
from pathlib import Path

import pytest

from bramleyrouter.codes import Code
from bramleyrouter.commands.exits import MEANINGS, Exit
from bramleyrouter.commands.main import build_parser, run_command
from bramleyrouter.edges.listeners import listen_http
from bramleyrouter.edges.operators.handlers import build_operator_endpoints
from bramleyrouter.utils.ports import reserve_address
from tests.control.direct_access import DirectControl
from tests.edges.operators.test_operator_routes import MANIFEST, TOKEN

REFERENCE_PAGE = Path(__file__).parents[2] / "docs" / "reference" / "bramleyctl.md"


@pytest.fixture
def token_file(tmp_path):
    path = tmp_path / "token"
    path.write_text(TOKEN + "\n")
    return str(path)


@pytest.fixture
def manifest_file(tmp_path):
    path = tmp_path / "manifest.json"
    path.write_text(json.dumps(MANIFEST))
    return str(path)


def run(control, token_file, *commands, timeout="5"):
    """Run command lines in turn; nothing listens on the first URL."""

    async def scenario():
        address, unused_address = reserve_address(), reserve_address()
        stop = listen_http(
            address, build_operator_endpoints(control.build_access(), TOKEN)
        )
        common = ["--url", f"http://{unused_address}", "--url", f"http://{address}"]
        common += ["--token-file", token_file, "--timeout", timeout]
        codes = [await run_command([*command, *common]) for command in commands]
        await stop()
        return codes

    return asyncio.run(scenario())


class TestExitCodes:
    """Guard against exit codes that let scripts continue after a failure."""

    def test_codes_follow_the_results(self, token_file, manifest_file, capsys):
        control = DirectControl()
        publish = ["publish", manifest_file, "--operator", "anna"]
        codes = run(
            control,
            token_file,
            [*publish, "--request-id", "r1"],
            [*publish, "--request-id", "r1"],
            [*publish, "--request-id", "r2"],
            ["out", "--data-centre", "dc1"],
            ["in", "--server", "typo"],
            ["out", "--data-centre", "not a name"],
        )
        assert codes == [0, 0, Exit.CONFLICT, 0, 0, Exit.REFUSED]
        assert control.state_machine.config().data_centres_out == ("dc1",)
        seen = capsys.readouterr()
        assert '"anna" with request "r1" as revision 1' in seen.err
        assert '"typo" is not known' in seen.err

    def test_rollouts_are_ordered_once_and_shown(self, token_file, capsys):
        control = DirectControl()
        start = ["rollout", "start", "a", "v2", "--duration", "12"]
        codes = run(
            control,
            token_file,
            ["rollout", "show", "a"],
            start,
            start,
            ["rollout", "start", "a", "v3", "--duration", "12"],
            ["rollout", "start", "a", "v2", "--duration", "-1"],
            ["rollout", "show", "a"],
        )
        assert codes == [Exit.REFUSED, 0, 0, Exit.CONFLICT, Exit.REFUSED, 0]
        assert control.state_machine.rollouts().sequence == 1
        assert 'rollout 1 of "a" to "v2" within 12 s: active' in capsys.readouterr().out

    def test_wrong_token_is_unauthorized(self, tmp_path, manifest_file):
        path = tmp_path / "wrong"
        path.write_text("wrong")
        commands = ["publish", manifest_file], ["status"], ["control", "status"]
        codes = run(DirectControl(), str(path), *commands)
        assert codes == [Exit.UNAUTHORIZED] * 3

    def test_help_and_page_list_every_exit_code(self):
        text, page = build_parser().format_help(), REFERENCE_PAGE.read_text()
        for code, meaning in MEANINGS.items():
            assert f"  {int(code)}  {meaning}" in text
            assert f"| {int(code)} | {meaning} |" in page

    @pytest.mark.parametrize(
        "arguments",
        [
            ["publish", "/no/such/file"],
            ["out", "--data-centre", "dc1", "--server", "s1"],
            ["status", "--url", "ftp://x"],
            ["status", "--url", "http://127.0.0.1:1", "--token-file", "/no/such"],
            ["control", "add"],
        ],
    )
    def test_unusable_arguments_are_usage_errors(self, arguments):
        with pytest.raises(SystemExit) as exc:
            asyncio.run(run_command(arguments))
        assert exc.value.code == Exit.USAGE


class TestCheck:
    """Guard against a check that stops at the first finding."""

    def test_all_findings_are_printed(self, tmp_path, manifest_file, capsys):
        bad = tmp_path / "bad.json"
        bad.write_text('{"generation": 0, "services": [{"name": "a"}], "x": 1}')
        codes = [
            asyncio.run(run_command(["check", path]))
            for path in (manifest_file, str(bad))
        ]
        assert codes == [Exit.DONE, Exit.INVALID_MANIFEST]
        assert capsys.readouterr().err.count("(manifest.E002)") == 3

    @pytest.mark.parametrize("cut", [None, -20])
    def test_a_route_table_given_by_mistake_shows_no_key(self, tmp_path, capsys, cut):
        path = tmp_path / "routes.json"
        tenants = [{"name": "a", "apiKeys": ["s3cret-k1"]}]
        path.write_text(json.dumps({"tenants": tenants, "services": tenants})[:cut])
        code = asyncio.run(run_command(["check", str(path)]))
        seen = capsys.readouterr()
        assert code == Exit.INVALID_MANIFEST
        assert "k1" not in seen.out + seen.err


class TestResends:
    """Guard against a lost reply that makes a change take effect twice or fail."""

    def test_resend_keeps_its_request_id(self, token_file):
        control = DirectControl(
            refusals=[Code.NO_MAJORITY], is_refused_change_applied=True
        )
        assert run(control, token_file, ["out", "--data-centre", "dc1"]) == [0]
        first, second = control.operations
        assert first == second
        assert control.state_machine.config().revision == 1

    def test_uncertain_change_names_the_id_to_repeat(self, token_file, capsys):
        control = DirectControl(refusals=[Code.NO_MAJORITY] * 100)
        codes = run(
            control,
            token_file,
            ["out", "--data-centre", "dc1", "--request-id", "r9"],
            timeout="0.2",
        )
        assert codes == [Exit.UNCERTAIN]
        assert "--request-id r9" in capsys.readouterr().err

    def test_removal_whose_reply_was_lost_is_done(self, token_file):
        control = DirectControl(
            refusals=[Code.PEER_TIMEOUT], is_refused_change_applied=True
        )
        commands = [["control", "remove", "m1"], ["control", "remove", "m8"]]
        assert run(control, token_file, commands[0]) == [Exit.DONE]
        # The first URL refuses connections, so that attempt can't have removed it.
        assert run(DirectControl(), token_file, commands[1]) == [Exit.REFUSED]


class TestStatus:
    """Guard against a wait that ends early or hides the daemons behind."""

    def test_wait_ends_with_the_rollout(self, token_file, capsys):
        control = DirectControl(behind=[[("e1", 0), ("e2", 0)], [("e2", 0)]])
        commands = [["out", "--data-centre", "dc1"], ["status", "--wait"]]
        assert run(control, token_file, *commands) == [0, 0]
        assert "confirmed by all 3 daemons" in capsys.readouterr().out
        assert control.behind == []

    def test_wait_that_is_over_names_the_daemons_behind(self, token_file, capsys):
        control = DirectControl(behind=[[("e2", 3)]] * 100, silent=("e3",))
        command = ["status", "--wait", "--revision", "4"]
        assert run(control, token_file, command, timeout="0.3") == [Exit.NOT_IN_TIME]
        seen = capsys.readouterr().out
        assert "behind: e2 at revision 3" in seen
        assert "no acknowledgement from 1: e3" in seen


class TestControl:
    """Guard against a replacement that leaves fewer voters than before."""

    def test_replacement_adds_before_it_removes(self, token_file, capsys):
        control = DirectControl()
        replace = ["control", "replace", "m1", "127.0.0.1:7300"]
        assert run(control, token_file, replace, ["control", "status"]) == [0, 0]
        assert control.members == {"m2": "127.0.0.1:7300"}
        lines = capsys.readouterr().out.splitlines()
        assert lines[:2] == [
            "the control daemon at 127.0.0.1:7300 is a member",
            '"m1" is no member any more',
        ]
        assert 'member "m2" at 127.0.0.1:7300: voter' in lines

    def test_lost_member_stays_when_the_new_one_is_refused(self, token_file):
        control = DirectControl(refusals=[Code.MEMBERSHIP_CHANGE_PENDING])
        replace = ["control", "replace", "m1", "127.0.0.1:7300"]
        assert run(control, token_file, replace) == [Exit.CONFLICT]
        assert control.members == {"m1": "127.0.0.1:7100"}
