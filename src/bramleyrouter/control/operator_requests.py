"""Answers to operators' requests, kept so that a resend gets the first one."""

from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from bramleyrouter.codes import Code
from bramleyrouter.control.digests import digest_operation
from bramleyrouter.control.limits import (
    MAX_OPERATOR_RESULT_BYTES,
    MAX_OPERATOR_RESULTS,
)
from bramleyrouter.control.messages import (
    OperatorResult,
    Publish,
    SetAvailability,
)
from bramleyrouter.failures import Failure

RequestKey = tuple[str, str]


class KeptResult(NamedTuple):
    """Hold the digest of a request's body and its encoded result."""

    body_digest: bytes
    result: bytes


@dataclass
class OperatorRequests:
    """Hold results by operator and request id, the oldest first."""

    results: dict[RequestKey, KeptResult] = field(default_factory=dict)
    bytes: int = 0


def find_result(
    requests: OperatorRequests, operation: Publish | SetAvailability
) -> OperatorResult | None:
    """Return the first answer to a resend, or none for a new request.

    The same id with another body is refused, and the first answer stays.
    """
    kept = requests.results.get((operation.operator, operation.request_id))
    if kept is None:
        return None
    first = msgspec.msgpack.decode(kept.result, type=OperatorResult)
    if kept.body_digest == digest_operation(operation):
        return first
    text = (
        f'Request id "{operation.request_id}" of "{operation.operator}" was used '
        "before with another body; a new change needs a new id."
    )
    failure = Failure(Code.OPERATOR_REQUEST_REUSED, text)
    return OperatorResult(first.revision, first.generation, failure)


def keep_result(
    requests: OperatorRequests,
    operation: Publish | SetAvailability,
    result: OperatorResult,
) -> None:
    """Keep the answer to a request, and drop the oldest beyond the bounds."""
    kept = KeptResult(digest_operation(operation), msgspec.msgpack.encode(result))
    requests.results[(operation.operator, operation.request_id)] = kept
    requests.bytes += len(kept.result)
    while (
        len(requests.results) > MAX_OPERATOR_RESULTS
        or requests.bytes > MAX_OPERATOR_RESULT_BYTES
    ):
        oldest = next(iter(requests.results))
        requests.bytes -= len(requests.results.pop(oldest).result)
