"""Requests that wait for one of the connections that a daemon may hold.

They wait here and not in the HTTP client: so the deadline that a server is told
is that of the moment of sending, one that nobody waits for any more never
leaves, and the order is chosen. All here is pure: time is passed in, and what
starts or ends a request is a closure.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple


class Urgency(NamedTuple):
    """Hold what orders waiting requests.

    ``objective_at`` is the time at which the request's objective ends, by the
    loop's clock in seconds; ``priority`` is that of its route, 0 the highest.
    """

    objective_at: float
    priority: int


@dataclass(eq=False)
class QueuedRequest:
    """Hold one request that waits; ``start`` sends it."""

    urgency: Urgency
    start: Callable[[], None]


@dataclass
class ServerQueue:
    """Hold the requests of one daemon to one server.

    ``running`` counts those that occupy a connection.
    """

    running: int = 0
    waiting: list[QueuedRequest] = field(default_factory=list)


def choose_next_request(waiting: Iterable[QueuedRequest], now: float) -> QueuedRequest:
    """Return the request that gets the next connection.

    Answers the burst that comes back after a restart or a server's pause, where
    more requests wait than can be answered in time: those past their objective
    go last, as an answer is worth little then, and of the others the one of the
    highest priority that has the least time left.
    """

    def sort_key(item: QueuedRequest) -> tuple[bool, int, float]:
        is_past_objective = item.urgency.objective_at <= now
        return is_past_objective, item.urgency.priority, item.urgency.objective_at

    return min(waiting, key=sort_key)


def compute_expected_wait(
    queue: ServerQueue, max_connections: int, median_s: float
) -> float:
    """Return the seconds until a request that comes now gets a connection.

    ``typical_s`` is how long a request occupies one. For example, 0.6 s behind 5
    waiting requests on 2 connections of 0.2 s each.
    """
    if queue.running < max_connections:
        return 0.0
    rounds = (len(queue.waiting) + 1) / max(1, max_connections)
    return rounds * median_s


def acquire_connection(
    queue: ServerQueue, item: QueuedRequest, max_connections: int
) -> bool:
    """Start a request or let it wait; return whether it was started."""
    if queue.running < max_connections:
        queue.running += 1
        item.start()
        return True
    queue.waiting.append(item)
    return False


def release_connection(queue: ServerQueue, now: float) -> None:
    """Free the connection of a request that ended, and start the next."""
    if queue.waiting:
        item = choose_next_request(queue.waiting, now)
        queue.waiting.remove(item)
        item.start()
        return
    queue.running -= 1


def remove_waiting(queue: ServerQueue, item: QueuedRequest) -> None:
    """Take out a request that waits."""
    queue.waiting.remove(item)
