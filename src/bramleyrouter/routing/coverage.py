"""What a reply counts for, and what an answer says that it covers."""

from collections.abc import Collection, Iterable, Mapping

from bramleyrouter.codes import Code
from bramleyrouter.failures import Failure, Finding
from bramleyrouter.homes.messages import GroupReply
from bramleyrouter.ids import IndexVersion, Revision, ServerId, ShardName
from bramleyrouter.routing.messages import Answer, MissingShard, Query, ShardKey

# Missing shards that a failure names one by one; the rest is counted.
MAX_NAMED_SHARDS = 100

# The reason that an answer gives for a shard whose last request ended with a
# code that is no reason of its own.
_REASON_BY_CODE = {
    Code.PEER_UNREACHABLE: Code.SHARD_HOME_LOST,
    Code.QUEUE_DEADLINE: Code.SHARD_TIMEOUT,
    Code.DEADLINE_PASSED: Code.SHARD_TIMEOUT,
    Code.CANCELLED_IN_QUEUE: Code.SHARD_CANCELLED,
    Code.VERSION_NOT_HELD: Code.SHARD_NO_REPLICA,
    Code.NO_SERVER: Code.SHARD_NO_REPLICA,
    Code.CONNECT_FAILED: Code.SHARD_CONNECTION_LOST,
}


def check_reply(
    reply: GroupReply,
    version: IndexVersion,
    server_id: ServerId,
    shards: Collection[ShardName],
) -> Code:
    """Return OK when the reply is whole and belongs to the request, or why not.

    The caller has found the request by its attempt. Nothing of a reply that
    lacks one of its shards is used: the server may have been cut off in the
    middle of the others.
    """
    if reply.server_id != server_id:
        return Code.SHARD_WRONG_IDENTITY
    if reply.code is not Code.OK:
        return reply.code
    if reply.version != version:
        return Code.SHARD_WRONG_VERSION
    for shard in shards:
        if shard not in reply.results:
            return Code.SHARD_TRUNCATED
    if len(reply.results) != len(shards):
        return Code.SHARD_WRONG_IDENTITY
    return Code.OK


def get_missing_reason(code: Code) -> Code:
    """Return the numbered reason (4xx) for a shard that ended with ``code``."""
    if 400 <= code < 500:
        return code
    return _REASON_BY_CODE.get(code, Code.SHARD_RETRIES_SPENT)


def build_answer(
    query: Query,
    version: IndexVersion,
    revision: Revision,
    keys: Iterable[ShardKey],
    results: dict[ShardKey, bytes],
    reasons: Mapping[ShardKey, Code],
) -> Answer:
    """Return the answer; a shard without a result is missing, with its reason."""
    keys = tuple(keys)
    included = tuple(key for key in keys if key in results)
    missing = tuple(
        MissingShard(
            key.service,
            key.shard,
            get_missing_reason(reasons.get(key, Code.SHARD_TIMEOUT)),
        )
        for key in keys
        if key not in results
    )
    return Answer(query.request_id, version, revision, included, missing, results)


def build_partial_failure(answer: Answer) -> Failure:
    """Return the failure of a query for full coverage that lacks shards.

    Shards that were given up because of others come after those.
    """
    ordered = sorted(
        answer.missing, key=lambda missing: missing.code is Code.SHARD_CANCELLED
    )
    findings = tuple(
        Finding(
            str(int(missing.code)),
            "error",
            f"{missing.service}/{missing.shard}",
            f"The shard is missing: {missing.code.name}.",
        )
        for missing in ordered[:MAX_NAMED_SHARDS]
    )
    total = len(answer.included) + len(answer.missing)
    names = ", ".join(finding.place for finding in findings[:5])
    text = f"{len(ordered)} of {total} shards are missing, such as {names}."
    return Failure(Code.COVERAGE_NOT_REACHED, text, findings)
