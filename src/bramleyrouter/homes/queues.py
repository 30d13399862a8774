"""Queue work of one server by deadline, with fair shares for classes."""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, Protocol, TypeVar

from bramleyrouter.ids import ClassName


class QueueItem(Protocol):
    """Define the attributes that the queue needs of an item."""

    deadline: float
    class_name: ClassName


T = TypeVar("T", bound=QueueItem)


@dataclass
class FairQueue(Generic[T]):
    """Hold queued items by class, each class in the order of deadlines.

    Classes share the queue by stride scheduling (Waldspurger and Weihl 1995): each
    class has a pass value, which grows by one over the class's weight whenever an
    item is popped, and the class with the lowest pass is next. A class that was
    empty starts at the current pass, so that it gains no credit while idle.
    ``arrival_numbers`` breaks ties between equal deadlines in the order of arrival.
    """

    get_weight: Callable[[ClassName], int]
    heaps: dict[ClassName, list[tuple[float, int, T]]] = field(default_factory=dict)
    passes: dict[ClassName, float] = field(default_factory=dict)
    current_pass: float = 0.0
    size: int = 0
    arrival_numbers: itertools.count = field(default_factory=itertools.count)


def push(queue: FairQueue[T], item: T) -> None:
    """Add an item to its class."""
    heap = queue.heaps.get(item.class_name)
    if heap is None:
        heap = queue.heaps[item.class_name] = []
        queue.passes[item.class_name] = queue.current_pass
    heapq.heappush(heap, (item.deadline, next(queue.arrival_numbers), item))
    queue.size += 1


def pop(queue: FairQueue[T]) -> T | None:
    """Remove and return the next item, or None if the queue is empty."""
    if not queue.heaps:
        return None
    name = min(queue.heaps, key=lambda key: (queue.passes[key], key))
    heap = queue.heaps[name]
    item = heapq.heappop(heap)[2]
    queue.size -= 1
    queue.current_pass = queue.passes[name]
    queue.passes[name] += 1.0 / max(1, queue.get_weight(name))
    if not heap:
        del queue.heaps[name]
        del queue.passes[name]
    return item


def remove(queue: FairQueue[T], item: T) -> bool:
    """Remove an item; return whether it was in the queue."""
    heap = queue.heaps.get(item.class_name, [])
    for index, (_, _, other) in enumerate(heap):
        if other is item:
            heap[index] = heap[-1]
            heap.pop()
            heapq.heapify(heap)
            queue.size -= 1
            if not heap:
                del queue.heaps[item.class_name]
                del queue.passes[item.class_name]
            return True
    return False


def pop_all(queue: FairQueue[T]) -> list[T]:
    """Remove and return all items."""
    items = [item for heap in queue.heaps.values() for _, _, item in heap]
    queue.heaps.clear()
    queue.passes.clear()
    queue.size = 0
    return items


def count_ahead(queue: FairQueue[T], deadline: float) -> int:
    """Return how many items have an earlier or equal deadline."""
    return sum(
        1 for heap in queue.heaps.values() for queued in heap if queued[0] <= deadline
    )
