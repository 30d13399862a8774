"""Queue requests until a connection to their server is free.

Requests wait here and not in the HTTP client, for three reasons: the server gets the
deadline that is left at the moment of sending, a request that is no longer needed is
never sent, and the order can be chosen. The functions perform no I/O: the time is a
parameter, and requests are started by closures.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from bramleyrouter.gateway.customers import Priority


class Urgency(NamedTuple):
    """Hold the criteria that order waiting requests.

    ``objective_at`` is the loop time in seconds at which the request's objective ends;
    ``priority`` orders them by customer and route; the lowest one goes first.
    """

    objective_at: float
    priority: Priority


@dataclass(eq=False)
class QueuedRequest:
    """Hold one waiting request.

    ``start`` sends it, and ``abandon`` ends it because its server wants no requests.
    """

    urgency: Urgency
    start: Callable[[], None]
    abandon: Callable[[], None] = lambda: None


@dataclass
class ServerQueue:
    """Hold the requests of this daemon to one server.

    ``running`` counts the requests that occupy a connection.
    """

    running: int = 0
    waiting: list[QueuedRequest] = field(default_factory=list)


def choose_next_request(waiting: Iterable[QueuedRequest], now: float) -> QueuedRequest:
    """Return the waiting request that gets the next free connection.

    Requests past their objective go last, because their replies are worth little. Among
    the others, the highest priority goes first, and within it the request with the
    least time left. This limits the damage of a burst after a restart or a pause of a
    server, when more requests wait than can be served in time.
    """

    def sort_key(item: QueuedRequest) -> tuple[bool, Priority, float]:
        is_past_objective = item.urgency.objective_at <= now
        return is_past_objective, item.urgency.priority, item.urgency.objective_at

    return min(waiting, key=sort_key)


def compute_expected_wait(
    queue: ServerQueue, max_connections: int, median_s: float
) -> float:
    """Return the seconds until a request that arrives now gets a connection.

    ``median_s`` is how long a request occupies a connection. For example, the wait is
    0.6 s behind 5 waiting requests on 2 connections of 0.2 s each.
    """
    if queue.running < max_connections:
        return 0.0
    rounds = (len(queue.waiting) + 1) / max(1, max_connections)
    return rounds * median_s


def acquire_connection(
    queue: ServerQueue, item: QueuedRequest, max_connections: int
) -> bool:
    """Start a request or queue it; return whether it was started."""
    if queue.running < max_connections:
        queue.running += 1
        item.start()
        return True
    queue.waiting.append(item)
    return False


def release_connection(queue: ServerQueue, now: float) -> None:
    """Release the connection of a finished request and start the next one."""
    if queue.waiting:
        item = choose_next_request(queue.waiting, now)
        queue.waiting.remove(item)
        item.start()
        return
    queue.running -= 1


def abandon_waiting(queue: ServerQueue) -> None:
    """End all waiting requests, so that they go to other servers at once."""
    waiting, queue.waiting = queue.waiting, []
    for item in waiting:
        item.abandon()


def remove_waiting(queue: ServerQueue, item: QueuedRequest) -> None:
    """Remove a waiting request from the queue."""
    queue.waiting.remove(item)
