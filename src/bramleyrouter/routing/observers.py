"""Callbacks through which the query path reports metrics."""

from collections.abc import Callable
from typing import NamedTuple

from bramleyrouter.codes import Code
from bramleyrouter.ids import ClassName, ServiceName, TenantName


def _ignore(*_values) -> None:
    return None


class RoutingObserver(NamedTuple):
    """Bundle the callbacks; each must return quickly, and by default does nothing.

    ``query_finished`` gets the tenant, the class, the code, the latency in
    seconds and the covered share from 0 to 1. ``shard_request_finished`` gets
    the service, the latency in seconds and the code of one attempt.
    ``attempts_planned`` gets the seconds that planning took and the number of
    planned attempts.
    """

    query_finished: Callable[[TenantName, ClassName, Code, float, float], None] = (
        _ignore
    )
    submission_finished: Callable[[TenantName, ClassName, Code, float], None] = _ignore
    shard_request_finished: Callable[[ServiceName, float, Code], None] = _ignore
    hedged: Callable[[ServiceName], None] = _ignore
    retried: Callable[[ServiceName, Code], None] = _ignore
    refused: Callable[[TenantName, ClassName, Code], None] = _ignore
    attempts_planned: Callable[[float, int], None] = _ignore
