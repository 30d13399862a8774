"""Tests of the operators' endpoints over loopback."""

import asyncio
import json

import pytest
from tornado.httpclient import AsyncHTTPClient

from bramleyrouter.codes import Code
from bramleyrouter.edges.listeners import listen_http
from bramleyrouter.edges.operators.handlers import (
    MAX_SMALL_BODY_BYTES,
    build_operator_endpoints,
)
from bramleyrouter.utils.ports import reserve_address
from tests.control.direct_access import DirectControl

TOKEN = "t" * 32
MANIFEST = {
    "generation": 1,
    "services": [{"name": "a", "shards": ["s1"], "versions": ["v1"]}],
}
CHANGE = {"request_id": "r1", "operator": "anna"}
PATHS = {
    "/v1/config": "GET",
    "/v1/config/status": "GET",
    "/v1/control": "GET",
    "/v1/rollouts": "GET",
    "/v1/config/manifest": "POST",
    "/v1/config/availability": "POST",
    "/v1/control/members": "POST",
}


def run_with_endpoints(scenario):
    """Run ``scenario(control, fetch)`` against a server on loopback."""

    async def run():
        control = DirectControl()
        address = reserve_address()
        stop = listen_http(
            address, build_operator_endpoints(control.build_access(), TOKEN)
        )
        client = AsyncHTTPClient(force_instance=True)

        async def fetch(path, body=None, token=TOKEN, **parts):
            if body is not None and not isinstance(body, bytes):
                body = json.dumps(body).encode()
            response = await client.fetch(
                f"http://{address}{path}",
                method="GET" if body is None and not parts else "POST",
                body=body,
                headers={"Authorization": f"Bearer {token}"} if token else {},
                raise_error=False,
                **parts,
            )
            return response.code, json.loads(response.body)

        try:
            return await scenario(control, fetch)
        finally:
            client.close()
            await stop()

    return asyncio.run(run())


class TestToken:
    """Guard against operators' requests without a valid token."""

    @pytest.mark.parametrize("token", ["", "wrong", TOKEN[:-1], TOKEN + "t", "\xe9"])
    def test_every_endpoint_refuses_and_changes_nothing(self, token):
        async def scenario(control, fetch):
            replies = []
            for path, method in PATHS.items():
                body = {**CHANGE, "manifest": MANIFEST} if method == "POST" else None
                replies.append(await fetch(path, body, token))
            # A large body is refused with the same reply before it is read.
            replies.append(await fetch("/v1/config/availability", b"x" * 10**6, token))
            return replies, control.operations, control.state_machine.config().revision

        replies, operations, revision = run_with_endpoints(scenario)
        for status, fields in replies:
            assert (status, fields["code"]) == (401, Code.UNAUTHORIZED)
        assert (operations, revision) == ([], 0)


class TestChanges:
    """Guard against changes that are misread, malformed or oversized."""

    def test_manifest_and_availability_are_accepted_and_shown(self):
        async def scenario(control, fetch):
            published = await fetch(
                "/v1/config/manifest", {**CHANGE, "manifest": MANIFEST}
            )
            again = await fetch(
                "/v1/config/manifest",
                {"request_id": "r2", "operator": "ben", "manifest": MANIFEST},
            )
            out = {**CHANGE, "request_id": "r3", "is_out": True}
            taken_out = await fetch(
                "/v1/config/availability", {**out, "server_id": "s9"}
            )
            return published, again, taken_out, await fetch("/v1/config")

        published, again, taken_out, shown = run_with_endpoints(scenario)
        assert published == (
            200,
            {"code": 0, "name": "OK", "revision": 1, "generation": 1},
        )
        assert again[0] == 409 and "anna" in again[1]["text"]
        assert (taken_out[1]["revision"], taken_out[1]["is_known"]) == (2, False)
        assert shown[1]["servers_out"] == ["s9"]
        assert (shown[1]["revision"], shown[1]["here"]["revision"]) == (2, 0)

    @pytest.mark.parametrize(
        "path, body, code",
        [
            ("manifest", b"{", Code.MALFORMED_REQUEST),
            ("manifest", {**CHANGE, "manifest": {}}, Code.INVALID_MANIFEST),
            (
                "manifest",
                {**CHANGE, "request_id": "a b", "manifest": MANIFEST},
                Code.MALFORMED_REQUEST,
            ),
            ("availability", {**CHANGE, "is_out": True}, Code.MALFORMED_REQUEST),
            (
                "availability",
                {**CHANGE, "is_out": 1, "data_centre": "dc1"},
                Code.MALFORMED_REQUEST,
            ),
            (
                "availability",
                {**CHANGE, "is_out": True, "data_centre": "\x00"},
                Code.MALFORMED_REQUEST,
            ),
            ("availability", b"x" * (MAX_SMALL_BODY_BYTES + 1), Code.BODY_TOO_LARGE),
            ("availability", b"[" * MAX_SMALL_BODY_BYTES, Code.MALFORMED_REQUEST),
        ],
    )
    def test_invalid_body_gets_an_error_code(self, path, body, code):
        async def scenario(control, fetch):
            return await fetch(f"/v1/config/{path}", body), control.operations

        (status, fields), operations = run_with_endpoints(scenario)
        assert (fields["code"], operations) == (code, [])
        assert status in (400, 413)

    def test_body_without_a_length_is_limited(self):
        async def produce(write):
            for _ in range(3):
                await write(b"x" * MAX_SMALL_BODY_BYTES)

        async def scenario(control, fetch):
            return await fetch("/v1/config/availability", body_producer=produce)

        status, fields = run_with_endpoints(scenario)
        assert (status, fields["code"]) == (413, Code.BODY_TOO_LARGE)


class TestReads:
    """Guard against replies that show a wrong state."""

    def test_rollout_is_of_the_requested_revision(self):
        async def scenario(control, fetch):
            control.behind = [[("e7", 1)], [("e7", 1)], ()]
            await fetch("/v1/config/manifest", {**CHANGE, "manifest": MANIFEST})
            out = {**CHANGE, "request_id": "r2", "is_out": True, "data_centre": "dc1"}
            await fetch("/v1/config/availability", out)
            path = "/v1/config/status"
            replies = [await fetch(path + query) for query in ("", "?revision=1")]
            replies.append(await fetch(path + "?revision=3"))
            control.silent = ("e8",)
            replies.append(await fetch(path))
            return replies, await fetch(path + "?revision=x")

        replies, invalid = run_with_endpoints(scenario)
        fields = [one for _, one in replies]
        assert [one["is_complete"] for one in fields] == [False, True, False, False]
        assert [one["revision"] for one in fields] == [2, 1, 3, 2]
        assert fields[0]["behind"] == [{"daemon_id": "e7", "revision": 1}]
        assert (fields[1]["behind"], fields[3]["silent"]) == ([], ["e8"])
        assert (invalid[0], invalid[1]["code"]) == (400, Code.MALFORMED_REQUEST)

    def test_log_is_shown_if_a_member_is_unreachable(self):
        async def scenario(control, fetch):
            return await fetch("/v1/control")

        status, fields = run_with_endpoints(scenario)
        first, second = fields["control"]
        assert (status, first["is_leader"], first["failure"]) == (200, True, None)
        assert second["failure"]["code"] == Code.PEER_UNREACHABLE
