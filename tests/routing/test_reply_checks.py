"""Tests of the check of single replies."""

import pytest

from bramleyrouter.codes import Code
from bramleyrouter.homes.messages import GroupReply
from bramleyrouter.routing.coverage import check_reply


class TestCheckReply:
    """Guard against a reply that counts though it is not the request's own.

    The query path discards replies of other servers earlier, so that only a
    test of the check by itself notices when this second guard is lost.
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
    def test_only_the_whole_reply_of_the_asked_server_counts(self, changes, expected):
        values = dict(
            server_id="s",
            attempt=1,
            version="v2",
            code=Code.OK,
            results={"a": b"1", "b": b"1"},
        )
        reply = GroupReply(**{**values, **changes})
        assert check_reply(reply, "v2", "s", ("a", "b")) is expected
