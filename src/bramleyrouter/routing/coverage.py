"""Validation of replies, and the coverage that an answer reports."""

from collections.abc import Collection, Iterable, Mapping

from bramleyrouter.codes import Code
from bramleyrouter.failures import Failure, Finding
from bramleyrouter.homes.messages import GroupReply
from bramleyrouter.ids import IndexVersion, Revision, ServerId, ShardName
from bramleyrouter.routing.messages import Answer, MissingShard, Query, ShardKey

# Maximum number of missing shards that a failure lists as findings.
MAX_LISTED_SHARDS = 100

# Reason reported for a missing shard when the code of its last attempt is not
# itself a reason (4xx).
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
    """Return OK if the reply is complete and matches the attempt, or an error code.

    The calling function has already found the attempt by its number. If a reply
    lacks one of its shards, none of it is used: the server may have been
    interrupted while it wrote the other results.
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
    """Return the reason (4xx) for a missing shard whose attempt ended with ``code``."""
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
    """Return the answer; shards without a result are listed as missing.

    Each missing shard has a reason, by default a timeout.
    """
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
    """Return the failure of a query that requires full coverage and lacks shards.

    Shards that were only cancelled because others failed are listed last.
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
        for missing in ordered[:MAX_LISTED_SHARDS]
    )
    total = len(answer.included) + len(answer.missing)
    names = ", ".join(finding.place for finding in findings[:5])
    text = f"{len(ordered)} of {total} shards are missing, such as {names}."
    return Failure(Code.COVERAGE_NOT_REACHED, text, findings)
