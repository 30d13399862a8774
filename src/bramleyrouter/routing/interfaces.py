"""Interface of the query path for the HTTP edge."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

import msgspec
from result import Result

from bramleyrouter.failures import Failure
from bramleyrouter.routing.messages import (
    Answer,
    Query,
    Submission,
    SubmissionAnswer,
)


class Decision(msgspec.Struct, frozen=True):
    """Describe one finished query or submission, without bodies or secrets."""

    request_id: str
    tenant: str
    class_name: str
    at_s: float
    code: int
    version: str
    latency_s: float
    shards: int
    missing: int
    hedges: int
    retries: int
    servers: tuple[str, ...]
    notes: tuple[str, ...] = ()


class Router(NamedTuple):
    """Bundle what ``build_router`` returns.

    ``drain()`` returns when no request runs any more; it also waits a few seconds
    for outcomes that the ledger has not confirmed. ``recent(limit)`` returns the
    newest decisions first.
    """

    query: Callable[[Query], Awaitable[Result[Answer, Failure]]]
    submit: Callable[[Submission], Awaitable[SubmissionAnswer]]
    recent: Callable[[int], tuple[Decision, ...]]
    drain: Callable[[], Awaitable[None]]
