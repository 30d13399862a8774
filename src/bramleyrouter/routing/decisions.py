"""Ring buffer of recent routing decisions, for operators who trace a request."""

import asyncio
from collections import deque
from collections.abc import Callable
from itertools import islice
from typing import NamedTuple

from bramleyrouter.routing.interfaces import Decision


class RecentDecisions(NamedTuple):
    """Bundle the closures over a ring buffer.

    ``record(build)`` calls ``build`` in a later iteration of the event loop, so
    that the answer is not delayed. ``recent(limit)`` returns the newest
    decisions first.
    """

    record: Callable[[Callable[[], Decision]], None]
    recent: Callable[[int], tuple[Decision, ...]]


def build_recent_decisions(capacity: int) -> RecentDecisions:
    """Return an empty ring buffer that holds the last ``capacity`` decisions."""
    ring: deque[Decision] = deque(maxlen=max(capacity, 0))

    def record(build: Callable[[], Decision]) -> None:
        asyncio.get_running_loop().call_soon(lambda: ring.append(build()))

    def recent(limit: int) -> tuple[Decision, ...]:
        return tuple(islice(reversed(ring), max(limit, 0)))

    return RecentDecisions(record, recent)
