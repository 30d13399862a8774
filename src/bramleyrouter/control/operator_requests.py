"""Results of operators' requests, stored so that a resend gets the same reply."""

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


class StoredResult(NamedTuple):
    """Hold the digest of a request's body and its encoded result."""

    body_digest: bytes
    result: bytes


@dataclass
class OperatorRequests:
    """Hold the results by (operator, request id), oldest first.

    ``result_bytes`` is the size of all encoded results together.
    """

    results: dict[RequestKey, StoredResult] = field(default_factory=dict)
    result_bytes: int = 0


def find_result(
    requests: OperatorRequests, operation: Publish | SetAvailability
) -> OperatorResult | None:
    """Return the stored result for a resend, or none for a new request.

    The same id with another body is refused; the stored result does not change.
    """
    stored = requests.results.get((operation.operator, operation.request_id))
    if stored is None:
        return None
    first = msgspec.msgpack.decode(stored.result, type=OperatorResult)
    if stored.body_digest == digest_operation(operation):
        return first
    text = (
        f'Request id "{operation.request_id}" of "{operation.operator}" was used '
        "before with another body; a new change needs a new id."
    )
    failure = Failure(Code.OPERATOR_REQUEST_REUSED, text)
    return OperatorResult(first.revision, first.generation, failure)


def store_result(
    requests: OperatorRequests,
    operation: Publish | SetAvailability,
    result: OperatorResult,
) -> None:
    """Store the result of a request and evict the oldest beyond the limits."""
    stored = StoredResult(digest_operation(operation), msgspec.msgpack.encode(result))
    requests.results[(operation.operator, operation.request_id)] = stored
    requests.result_bytes += len(stored.result)
    while (
        len(requests.results) > MAX_OPERATOR_RESULTS
        or requests.result_bytes > MAX_OPERATOR_RESULT_BYTES
    ):
        oldest = next(iter(requests.results))
        requests.result_bytes -= len(requests.results.pop(oldest).result)
