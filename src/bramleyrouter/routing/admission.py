"""Admission control: early refusal and a fair queue for running permits.

A request that can't finish by its deadline is refused at once. Other requests
wait for a permit to run, in a queue that is fair between classes and tenants.
"""

import asyncio
from collections import Counter, OrderedDict, deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from result import Err, Ok, Result

from bramleyrouter.codes import Code
from bramleyrouter.conf.settings import ClassSettings, Settings, TenantSettings
from bramleyrouter.failures import Failure
from bramleyrouter.ids import ClassName, TenantName
from bramleyrouter.routing.concurrency_limit import (
    ConcurrencyLimit,
    build_concurrency_limit,
    update_peak_running,
)
from bramleyrouter.routing.messages import Query, Submission

# Largest expected wait of a request, as a share of the time that remains after
# an average run. With a larger share, queued requests would miss their deadlines.
MAX_WAIT_SHARE = 0.5
# Weight of one run in the moving average of run times.
RUN_TIME_WEIGHT = 0.05
# Requests of classes that are not in the settings share one queue of this name.
UNLISTED_CLASSES = ClassName("")

Request = Query | Submission
# Releases a permit. The argument says whether an attempt was shed or timed out.
Release = Callable[[bool], None]


@dataclass(eq=False, slots=True)
class Waiter:
    """Hold one waiting request; ``start`` acquires a permit and ends the wait."""

    tenant: TenantName
    class_name: ClassName
    start: Callable[[], None]


@dataclass
class ClassQueue:
    """Hold the waiters of one class by tenant.

    ``virtual_time`` grows by 1 / weight with each start. The class with the
    lowest virtual time is next (start-time fair queueing).
    """

    weight: int
    virtual_time: float = 0.0
    waiting: int = 0
    tenants: OrderedDict[TenantName, deque[Waiter]] = field(default_factory=OrderedDict)


@dataclass
class AdmissionState:
    """Count running and waiting requests.

    ``mean_run_s`` is the moving average of run times in seconds.
    ``fractional_permits`` sums the fractional parts of the limit: each time it
    reaches 1, one start gets an extra permit.
    """

    limit: ConcurrencyLimit
    max_waiting: int
    running: int = 0
    waiting: int = 0
    mean_run_s: float = 0.0
    fractional_permits: float = 0.0
    has_extra_permit: bool = False
    virtual_time: float = 0.0
    running_by_tenant: Counter = field(default_factory=Counter)
    waiting_by_tenant: Counter = field(default_factory=Counter)
    classes: dict[ClassName, ClassQueue] = field(default_factory=dict)


class Admission(NamedTuple):
    """Bundle the closures over one state.

    ``admit(request)`` waits for a permit and returns the closure that releases
    it, or a failure at once if the request is refused. ``is_overloaded()``
    returns whether requests wait or the servers were overloaded within the last
    second.
    """

    admit: Callable[[Request], Awaitable[Result[Release, Failure]]]
    is_overloaded: Callable[[], bool]
    state: AdmissionState


def build_admission(cfg: Settings, clock: Callable[[], float]) -> Admission:
    """Return an admission without running or waiting requests."""
    limit = build_concurrency_limit(cfg.max_running_queries, clock())
    state = AdmissionState(limit, cfg.max_waiting_queries)

    async def admit(req: Request) -> Result[Release, Failure]:
        remaining_s = req.deadline - clock()
        if remaining_s <= 0:
            return Err(_build_refusal(state, Code.DEADLINE_PASSED))
        if can_start(state, req.tenant, _get_tenant_share(cfg, req.tenant)):
            return Ok(_acquire_permit(state, cfg, clock, req.tenant))
        code = check_wait(state, cfg, req.tenant, req.class_name, remaining_s)
        if code is not Code.OK:
            return Err(_build_refusal(state, code))
        return await wait_for_permit(req, remaining_s)

    async def wait_for_permit(
        req: Request, remaining_s: float
    ) -> Result[Release, Failure]:
        loop = asyncio.get_running_loop()
        future: asyncio.Future[Result[Release, Failure]] = loop.create_future()

        def start() -> None:
            # If the waiting task was cancelled, its future is done, but its waiter
            # stays queued until the task resumes.
            if not future.done():
                future.set_result(Ok(_acquire_permit(state, cfg, clock, req.tenant)))

        def expire() -> None:
            if not future.done():
                future.set_result(Err(_build_refusal(state, Code.QUEUE_DEADLINE)))

        waiter = Waiter(req.tenant, _resolve_class_name(cfg, req.class_name), start)
        timer = loop.call_later(max(0.0, remaining_s - state.mean_run_s), expire)
        add_waiter(state, cfg, waiter)
        start_waiters(state, cfg)
        try:
            return await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled() and future.result().is_ok():
                future.result().unwrap()(False)
            raise
        finally:
            timer.cancel()
            remove_waiter(state, waiter)

    def is_overloaded() -> bool:
        return state.waiting > 0 or clock() < state.limit.overloaded_until

    return Admission(admit, is_overloaded, state)


def can_start(state: AdmissionState, tenant: TenantName, share: float) -> bool:
    """Return whether a request of ``tenant`` may start without a wait.

    No request may start before one that already waits.
    """
    return (
        state.waiting == 0
        and state.running < _compute_permits(state)
        and state.running_by_tenant[tenant] < _compute_tenant_permits(state, share)
    )


def check_wait(
    state: AdmissionState,
    cfg: Settings,
    tenant: TenantName,
    class_name: ClassName,
    remaining_s: float,
) -> Code:
    """Return OK if a request may wait, or the code of its refusal.

    The expected wait is the number of requests ahead in its class, plus one,
    times the average run time, divided by the permits that the class gets among
    the classes that wait.
    """
    if remaining_s <= 0:
        return Code.DEADLINE_PASSED
    share = _get_tenant_share(cfg, tenant)
    tenant_requests = state.running_by_tenant[tenant] + state.waiting_by_tenant[tenant]
    if share < 1 and tenant_requests >= share * (state.limit.value + state.max_waiting):
        return Code.TENANT_LIMIT
    if state.waiting >= state.max_waiting:
        return Code.OVERLOADED
    name = _resolve_class_name(cfg, class_name)
    weight = _get_class_settings(cfg, name).weight
    other_weights = sum(
        queue.weight
        for other, queue in state.classes.items()
        if queue.waiting and other != name
    )
    ahead = state.classes[name].waiting if name in state.classes else 0
    permits = max(1.0, state.limit.value * weight / (weight + other_weights))
    wait_s = (ahead + 1) * state.mean_run_s / permits
    if wait_s > MAX_WAIT_SHARE * (remaining_s - state.mean_run_s):
        return Code.OVERLOADED
    return Code.OK


def add_waiter(state: AdmissionState, cfg: Settings, waiter: Waiter) -> None:
    """Append a waiter to its tenant's queue in its class."""
    queue = state.classes.get(waiter.class_name)
    if queue is None:
        weight = _get_class_settings(cfg, waiter.class_name).weight
        queue = state.classes[waiter.class_name] = ClassQueue(weight)
    if not queue.waiting:
        # A class gains no advantage from the time in which it had no waiter.
        queue.virtual_time = max(queue.virtual_time, state.virtual_time)
    queue.tenants.setdefault(waiter.tenant, deque()).append(waiter)
    queue.waiting += 1
    state.waiting += 1
    state.waiting_by_tenant[waiter.tenant] += 1


def remove_waiter(state: AdmissionState, waiter: Waiter) -> None:
    """Remove a waiter from its queue; do nothing if it is not queued."""
    queue = state.classes[waiter.class_name]
    tenant_waiters = queue.tenants.get(waiter.tenant)
    if tenant_waiters is None or waiter not in tenant_waiters:
        return
    tenant_waiters.remove(waiter)
    if not tenant_waiters:
        del queue.tenants[waiter.tenant]
    queue.waiting -= 1
    state.waiting -= 1
    _decrement(state.waiting_by_tenant, waiter.tenant)


def pop_next_waiter(state: AdmissionState, cfg: Settings) -> Waiter | None:
    """Remove and return the next waiter to start, or None.

    The class with the lowest virtual time comes first; its tenants take turns.
    Tenants that use all of their permits are skipped.
    """
    waiting_queues = [queue for queue in state.classes.values() if queue.waiting]
    for queue in sorted(waiting_queues, key=lambda queue: queue.virtual_time):
        for tenant, waiters in queue.tenants.items():
            permits = _compute_tenant_permits(state, _get_tenant_share(cfg, tenant))
            if state.running_by_tenant[tenant] >= permits:
                continue
            waiter = waiters[0]
            queue.tenants.move_to_end(tenant)
            remove_waiter(state, waiter)
            state.virtual_time = queue.virtual_time
            queue.virtual_time += 1 / queue.weight
            return waiter
    return None


def start_waiters(state: AdmissionState, cfg: Settings) -> None:
    """Start waiters while permits are available."""
    while state.waiting and state.running < _compute_permits(state):
        waiter = pop_next_waiter(state, cfg)
        if waiter is None:
            return
        waiter.start()


def _acquire_permit(state, cfg, clock, tenant: TenantName) -> Release:
    state.running += 1
    state.running_by_tenant[tenant] += 1
    state.fractional_permits += state.limit.value % 1
    state.has_extra_permit = state.fractional_permits >= 1
    if state.has_extra_permit:
        state.fractional_permits -= 1
    update_peak_running(state.limit, state.running)
    started = clock()

    def return_permit() -> None:
        state.running -= 1
        _decrement(state.running_by_tenant, tenant)
        start_waiters(state, cfg)

    def release(had_drops: bool) -> None:
        run_s = clock() - started
        if had_drops and run_s < state.mean_run_s:
            # A request that failed fast on full queues leaves attempts behind
            # that are still executing. Its permit stays in use for an average
            # run time, or the next requests would fail on the same queues.
            loop = asyncio.get_running_loop()
            loop.call_later(state.mean_run_s - run_s, return_permit)
            return
        if state.mean_run_s == 0.0:
            state.mean_run_s = run_s
        state.mean_run_s += RUN_TIME_WEIGHT * (run_s - state.mean_run_s)
        return_permit()

    return release


def _compute_permits(state: AdmissionState) -> int:
    """Return the limit as a whole number of permits.

    The share of starts for which it is rounded up equals its fractional part.
    With many daemons over few slots, each limit is one to two queries; if it were
    always rounded down, every decrease would halve it.
    """
    return int(state.limit.value) + state.has_extra_permit


def _compute_tenant_permits(state: AdmissionState, share: float) -> int:
    return max(1, int(share * _compute_permits(state)))


def _get_tenant_share(cfg: Settings, tenant: TenantName) -> float:
    return cfg.tenants.get(tenant, TenantSettings()).max_share


def _resolve_class_name(cfg: Settings, name: ClassName) -> ClassName:
    return name if name in cfg.classes else UNLISTED_CLASSES


def _get_class_settings(cfg: Settings, name: ClassName) -> ClassSettings:
    return cfg.classes.get(name, ClassSettings())


def _decrement(counter: Counter, key: TenantName) -> None:
    counter[key] -= 1
    if counter[key] <= 0:
        del counter[key]


def _build_refusal(state: AdmissionState, code: Code) -> Failure:
    text = (
        f"{code.name}: {state.running} requests run, {state.waiting} wait; the limit "
        f"is {int(state.limit.value)} now."
    )
    return Failure(code, text)
