"""The last decisions, kept to explain what happened to a request."""

import asyncio
from collections import deque
from collections.abc import Callable
from itertools import islice
from typing import NamedTuple

from bramleyrouter.routing.interfaces import Decision


class RecentDecisions(NamedTuple):
    """Bundle the closures over a bounded ring.

    ``record(build)`` calls ``build`` at a later turn of the loop, so that the
    answer does not wait for the record.
    """

    record: Callable[[Callable[[], Decision]], None]
    recent: Callable[[int], tuple[Decision, ...]]


def build_recent_decisions(capacity: int) -> RecentDecisions:
    """Return an empty ring; the oldest of more than ``capacity`` is dropped."""
    ring: deque[Decision] = deque(maxlen=max(capacity, 0))

    def record(build: Callable[[], Decision]) -> None:
        asyncio.get_running_loop().call_soon(lambda: ring.append(build()))

    def recent(limit: int) -> tuple[Decision, ...]:
        return tuple(islice(reversed(ring), max(limit, 0)))

    return RecentDecisions(record, recent)
