"""Tests of the validation of replies."""

import pytest

from bramleyrouter.codes import Code
from bramleyrouter.homes.messages import GroupReply
from bramleyrouter.routing.coverage import check_reply


class TestCheckReply:
    """Guard against the use of replies that do not match their attempt.

    The query path discards replies of other servers before this check, so only a
    test of the function itself detects that the check was lost.
    """

    @pytest.mark.parametrize(
        "changes, expected",
        [
            ({}, Code.OK),
            ({"server_id": "other"}, Code.SHARD_WRONG_IDENTITY),
            ({"version": "v1"}, Code.SHARD_WRONG_VERSION),
            ({"results": {"a": b"1"}}, Code.SHARD_TRUNCATED),
            ({"results": {"a": b"1", "c": b"1"}}, Code.SHARD_TRUNCATED),
            (
                {"results": {"a": b"1", "b": b"1", "c": b"1"}},
                Code.SHARD_WRONG_IDENTITY,
            ),
        ],
    )
    def test_only_a_complete_reply_of_the_right_server_is_valid(
        self, changes, expected
    ):
        values = dict(
            server_id="s",
            attempt=1,
            version="v2",
            code=Code.OK,
            results={"a": b"1", "b": b"1"},
        )
        reply = GroupReply(**{**values, **changes})
        assert check_reply(reply, "v2", "s", ("a", "b")) is expected
